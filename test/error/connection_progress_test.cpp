// Distinguishes a dead connection from a slow or idle one.
#include "connection_progress.h"

#include <boost/test/unit_test.hpp>

namespace bulrushway::test {
namespace {

using std::chrono::milliseconds;

constexpr instant kStart{std::chrono::seconds(100)};

struct connection_fixture {
  connection_verdict Evaluate(milliseconds elapsed,
                              std::optional<milliseconds> peer_received_after = std::nullopt) {
    std::optional<instant> peer_last_received;
    if (peer_received_after) peer_last_received = kStart + *peer_received_after;
    return connection.Evaluate(peer_last_received, kStart + elapsed);
  }
  connection_progress connection{progress_settings{}, kStart};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(silent_connections, connection_fixture)

BOOST_AUTO_TEST_CASE(an_idle_connection_is_not_silent) {
  BOOST_TEST((Evaluate(std::chrono::hours(1)) == connection_verdict::kWorking));
}

BOOST_AUTO_TEST_CASE(silence_after_a_request_is_probed_first) {
  connection.OnSent(kStart);
  BOOST_TEST((Evaluate(milliseconds(99)) == connection_verdict::kWorking));
  BOOST_TEST((Evaluate(milliseconds(100)) == connection_verdict::kProbe));
}

BOOST_AUTO_TEST_CASE(it_is_replaced_soon_while_the_peer_answers_on_a_newer_one) {
  connection.OnSent(kStart);
  BOOST_TEST((Evaluate(milliseconds(250), milliseconds(200)) == connection_verdict::kReplace));
  BOOST_TEST((Evaluate(milliseconds(250), milliseconds(-10)) == connection_verdict::kProbe));
}

BOOST_AUTO_TEST_CASE(it_is_given_up_in_any_case_after_a_second) {
  connection.OnSent(kStart);
  // Further requests do not restart the timeout.
  connection.OnSent(kStart + milliseconds(900));
  BOOST_TEST((Evaluate(milliseconds(1000)) == connection_verdict::kReplace));
}

BOOST_AUTO_TEST_CASE(each_answer_starts_the_wait_anew) {
  connection.OnSent(kStart);
  connection.OnReceived(true, kStart + milliseconds(900));
  BOOST_TEST((Evaluate(milliseconds(950)) == connection_verdict::kWorking));
  connection.OnReceived(false, kStart + milliseconds(960));
  BOOST_TEST((Evaluate(milliseconds(5000)) == connection_verdict::kWorking));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway::test
