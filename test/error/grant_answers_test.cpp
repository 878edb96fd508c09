// Answers to grants and releases do not name their call. A copy of an earlier answer must not be
// taken for that to a later call.

#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>

#include "grant_client.h"
#include "scripted_peer.h"

namespace bulrushway {
namespace {

using std::chrono::milliseconds;
using testing::scripted_server;

const std::string kDone = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const std::string kReleased =
    "HTTP/1.1 200 OK\r\nX-Bulrushway-Handover: ab\r\nContent-Length: 0\r\n\r\n";
const std::string kConflict = "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n";

// A target that answers calls by a script.
struct called_target {
  explicit called_target(std::vector<scripted_server::step> script)
      : server(loop, std::move(script)) {}

  grant_call_outcome SendAndWait(grant_call::kind kind, uint64_t session = 0) {
    grant_call call;
    call.type = kind;
    call.id = ++calls;
    call.target = {"t1", 1000};
    call.range = {{0, 9}, calls, ""};
    call.hold = milliseconds(4000);
    call.timeout = milliseconds(500);
    call.session = session;
    std::optional<grant_call_outcome> result;
    client.Send(call, [&](instant, const grant_call_outcome& outcome) {
      result = outcome;
      loop.Stop();
    });
    timer stop(loop, [this](instant) { loop.Stop(); });
    stop.Once(std::chrono::seconds(5));
    loop.Run();
    BOOST_REQUIRE(result.has_value());
    return *result;
  }

  event_loop loop;
  scripted_server server;
  platform::grant_client client{loop, server.address(), [] {}};
  uint64_t calls = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(an_answer_to_an_earlier_call)

BOOST_AUTO_TEST_CASE(that_refused_a_grant_does_not_refuse_a_newer_one) {
  called_target fixture({{kConflict}, {.text = kDone, .stray = kConflict}});
  BOOST_TEST(Name(fixture.SendAndWait(grant_call::kind::kGrant).result) ==
             Name(grant_call_result::kHigherFence));
  BOOST_TEST(Name(fixture.SendAndWait(grant_call::kind::kGrant).result) ==
             Name(grant_call_result::kDone));
}

BOOST_AUTO_TEST_CASE(that_made_a_grant_does_not_say_that_keys_are_released) {
  called_target fixture({{kDone}, {.text = kReleased, .stray = kDone}});
  BOOST_TEST(Name(fixture.SendAndWait(grant_call::kind::kGrant).result) ==
             Name(grant_call_result::kDone));
  BOOST_TEST(fixture.SendAndWait(grant_call::kind::kRelease).handover == "ab");
}

BOOST_AUTO_TEST_CASE(that_released_keys_does_not_say_that_others_are_released) {
  called_target fixture({{kReleased}, {.text = "", .stray = kReleased}});
  BOOST_TEST(fixture.SendAndWait(grant_call::kind::kRelease).handover == "ab");
  const grant_call_outcome second = fixture.SendAndWait(grant_call::kind::kRelease);
  BOOST_TEST(Name(second.result) == Name(grant_call_result::kUnknown));
  BOOST_TEST(second.handover.empty());
}

BOOST_AUTO_TEST_CASE(leaves_its_connection_to_the_next_grant) {
  called_target fixture({{kDone}, {kDone}});
  fixture.SendAndWait(grant_call::kind::kGrant);
  fixture.SendAndWait(grant_call::kind::kGrant);
  BOOST_TEST(fixture.server.Connections() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

// The target's process may have been replaced by another one when its connection was closed.
BOOST_AUTO_TEST_CASE(a_grant_for_a_session_that_has_ended_is_not_sent) {
  const std::string last = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
  called_target fixture({{last}, {kDone}});
  BOOST_TEST(fixture.SendAndWait(grant_call::kind::kGrant).session == 1U);
  const std::string received = fixture.server.Received();
  const grant_call_outcome outcome = fixture.SendAndWait(grant_call::kind::kGrant, 1);
  BOOST_TEST(Name(outcome.result) == Name(grant_call_result::kNotDone));
  BOOST_TEST(outcome.withheld);
  BOOST_TEST(!outcome.connection_lost);
  BOOST_TEST(outcome.session == 2U);
  BOOST_TEST(fixture.server.Received() == received);
}

}  // namespace bulrushway
