// The target beside a process: which incarnation runs, and which requests it may receive.

#include "own_target.h"

#include <boost/test/unit_test.hpp>

namespace bulrushway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr instant kStart = instant{} + std::chrono::hours(1);
const socket_address kAddress{"10.0.0.1", 8080};

own_target MakeTarget() {
  return own_target({"corredores", kAddress, milliseconds(870), milliseconds(2500)});
}

target_heartbeat Heartbeat(const std::string& id, int64_t started_ms, uint64_t sequence) {
  target_heartbeat heartbeat;
  heartbeat.incarnation = {id, started_ms};
  heartbeat.service = "corredores";
  heartbeat.address = kAddress;
  heartbeat.slots = 12;
  heartbeat.sequence = sequence;
  return heartbeat;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(the_target_beside_a_process)

BOOST_AUTO_TEST_CASE(takes_requests_once_it_has_said_who_it_is) {
  own_target target = MakeTarget();
  BOOST_TEST(!target.Accepting(kStart));
  BOOST_TEST((target.OnHeartbeat(kStart, Heartbeat("a", 100, 1)) == heartbeat_verdict::kAccepted));
  BOOST_TEST(target.Accepting(kStart));
  BOOST_TEST(target.slots() == 12U);
}

BOOST_AUTO_TEST_SUITE(is_not_confused_by_a_heartbeat)

BOOST_AUTO_TEST_CASE(of_another_service_or_address) {
  own_target target = MakeTarget();
  target_heartbeat other = Heartbeat("a", 100, 1);
  other.service = "cronometraje";
  BOOST_TEST((target.OnHeartbeat(kStart, other) == heartbeat_verdict::kForeign));
  other = Heartbeat("a", 100, 1);
  other.address.port = 9;
  BOOST_TEST((target.OnHeartbeat(kStart, other) == heartbeat_verdict::kForeign));
  BOOST_TEST(!target.Accepting(kStart));
}

BOOST_AUTO_TEST_CASE(that_was_overtaken) {
  own_target target = MakeTarget();
  target_heartbeat leaving = Heartbeat("a", 100, 5);
  leaving.draining = true;
  target.OnHeartbeat(kStart, leaving);
  BOOST_TEST((target.OnHeartbeat(kStart, Heartbeat("a", 100, 4)) == heartbeat_verdict::kOutdated));
  BOOST_TEST(target.Leaving());
}

BOOST_AUTO_TEST_CASE(of_an_earlier_incarnation_that_arrives_late) {
  own_target target = MakeTarget();
  target.OnHeartbeat(kStart, Heartbeat("b", 200, 1));
  BOOST_TEST((target.OnHeartbeat(kStart, Heartbeat("a", 100, 9)) == heartbeat_verdict::kOutdated));
  BOOST_TEST(target.incarnation().id == "b");
}

BOOST_AUTO_TEST_CASE(of_a_new_incarnation_with_the_same_id_and_a_restarted_sequence) {
  own_target target = MakeTarget();
  target.OnHeartbeat(kStart, Heartbeat("a", 100, 50));
  BOOST_TEST((target.OnHeartbeat(kStart, Heartbeat("a", 101, 1)) == heartbeat_verdict::kAccepted));
  BOOST_TEST(target.incarnation().started_ms == 101);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(gets_no_new_request)

BOOST_AUTO_TEST_CASE(once_it_is_leaving_while_it_serves_the_keys_it_holds_for_a_while) {
  own_target target = MakeTarget();
  target_heartbeat leaving = Heartbeat("a", 100, 1);
  leaving.draining = true;
  target.OnHeartbeat(kStart, leaving);
  BOOST_TEST(!target.Accepting(kStart));
  BOOST_TEST(target.Serving(kStart + seconds(2)));
  BOOST_TEST(!target.Serving(kStart + milliseconds(2200)));
}

BOOST_AUTO_TEST_CASE(after_it_said_that_it_is_gone_before_it_drained) {
  own_target target = MakeTarget();
  target.OnHeartbeat(kStart, Heartbeat("a", 100, 1));
  BOOST_TEST(!target.OnLeave(kStart, "another"));
  BOOST_TEST(target.OnLeave(kStart, "a"));
  BOOST_TEST(!target.Accepting(kStart));
}

BOOST_AUTO_TEST_CASE(
    after_another_target_has_answered_at_its_address_until_that_one_says_who_it_is) {
  own_target target = MakeTarget();
  target.OnHeartbeat(kStart, Heartbeat("a", 100, 1));
  target.OnMisdirected(kStart);
  BOOST_TEST(!target.Accepting(kStart + seconds(1)));
  BOOST_TEST(!target.Serving(kStart + seconds(1)));
  target.OnHeartbeat(kStart + seconds(1), Heartbeat("b", 200, 1));
  BOOST_TEST(target.Accepting(kStart + seconds(1)));
}

BOOST_AUTO_TEST_CASE(while_its_port_refuses_and_is_down_when_it_has_missed_a_heartbeat_too) {
  own_target target = MakeTarget();
  target.OnHeartbeat(kStart, Heartbeat("a", 100, 1));
  target.OnConnectionRefused(kStart + milliseconds(100), kStart + milliseconds(99));
  BOOST_TEST(!target.Accepting(kStart + milliseconds(200)));
  BOOST_TEST((target.Condition(kStart + milliseconds(200)) == target_condition::kReady));
  BOOST_TEST((target.Condition(kStart + milliseconds(1200)) == target_condition::kDown));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(is_cold_for_as_long_as_it_says) {
  own_target target = MakeTarget();
  target_heartbeat cold = Heartbeat("a", 100, 1);
  cold.cold_left = milliseconds(3000);
  target.OnHeartbeat(kStart, cold);
  BOOST_TEST(target.Cold(kStart + milliseconds(2900)));
  BOOST_TEST(!target.Cold(kStart + milliseconds(3100)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
