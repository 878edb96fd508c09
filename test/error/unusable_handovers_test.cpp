// Handovers with bytes that are no text, in answers of targets, in heartbeats and in the stored key
// map. One such byte used to end the process of the next owner whenever it granted the keys.

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "grant_client.h"
#include "heartbeats.h"
#include "range_controller.h"

namespace bulrushway {
namespace {

using std::chrono::milliseconds;

// Late enough that no grant of an earlier process can still take effect.
constexpr instant kStarted = instant{} + std::chrono::hours(1);
constexpr instant kStart = kStarted + std::chrono::seconds(30);
constexpr milliseconds kLease{5000};
const target_incarnation kIncarnation{"t1", 1000};
const socket_address kTarget{"127.0.0.1", 8080};

// Handovers with each byte that is no text by itself, and one that is too long.
std::vector<std::string> UnusableHandovers() {
  std::vector<std::string> handovers{std::string(1025, 'a'), "ab\xc3", "\xed\xa0\x80"};
  for (int byte = 0; byte < 256; ++byte) {
    const bool printable = byte >= 0x20 && byte < 0x7f;
    if (!printable) handovers.push_back("5c0e" + std::string(1, static_cast<char>(byte)) + "7a");
  }
  return handovers;
}

// The owner of all keys, whose target is ready.
class owner {
 public:
  owner(grant_delivery_kind delivery, const std::string& stored_handover)
      : controller(Settings(delivery), kStarted) {
    key_map map = AssignEvenly({{"n1", kIncarnation}}, 1);
    map.ranges[0].handover = stored_handover;
    controller.SetTarget(kStart, target_condition::kReady, kIncarnation);
    controller.OnMap(kStart, map, 10);
  }

  static range_controller_settings Settings(grant_delivery_kind delivery) {
    range_controller_settings settings;
    settings.node = "n1";
    settings.delivery = delivery;
    return settings;
  }
  // The keys are to move to another node, since the target leaves.
  void Leave() {
    controller.SetTarget(kStart, target_condition::kLeaving, kIncarnation);
    controller.NextAction(kStart, Candidates(), true);
    BOOST_REQUIRE(controller.HasPendingReleases());
  }
  static std::vector<range_candidate> Candidates() {
    return {{"n1", kIncarnation, true, false, true, 0, 0.01},
            {"n2", {"t2", 1000}, true, true, true, 0, 0.01}};
  }
  // The handovers with which the other node gets the keys, once they are released.
  std::vector<std::string> HandoversToOther(instant now) {
    BOOST_REQUIRE((controller.NextAction(now, Candidates(), true) == range_action::kCommitChange));
    std::vector<std::string> handovers;
    for (const owned_range& range : controller.change().map.ranges) {
      if (range.owner.node == "n2") handovers.push_back(range.handover);
    }
    BOOST_REQUIRE(!handovers.empty());
    return handovers;
  }

  target_heartbeat Heartbeat() {
    target_heartbeat heartbeat;
    heartbeat.incarnation = kIncarnation;
    heartbeat.sequence = ++sequence;
    return heartbeat;
  }

  range_controller controller;
  uint64_t sequence = 0;
};

// The answer to a release, as the target sends it.
grant_call_outcome Released(const grant_call& call, const std::string& handover) {
  return platform::ReadGrantAnswer(call, {200, {{"X-Bulrushway-Handover", handover}}, {}});
}

}  // namespace

BOOST_AUTO_TEST_SUITE(a_handover_that_is_no_text)

BOOST_AUTO_TEST_SUITE(in_the_stored_map)

BOOST_AUTO_TEST_CASE(does_not_keep_its_keys_from_being_granted_in_the_answer_to_a_heartbeat) {
  for (const std::string& handover : UnusableHandovers()) {
    owner fixture(grant_delivery_kind::kHeartbeat, handover);
    const auto grant = fixture.controller.OnHeartbeat(kStart, fixture.Heartbeat(), kLease);
    BOOST_REQUIRE(grant.has_value());
    http_answer answer;
    BOOST_REQUIRE_NO_THROW(answer = platform::HeartbeatAnswer(grant));
    const auto body = nlohmann::json::parse(answer.body);
    BOOST_REQUIRE_EQUAL(body["holds"].size(), 1U);
    BOOST_TEST(body["holds"][0][3] == "");
  }
}

BOOST_AUTO_TEST_CASE(does_not_keep_its_keys_from_being_granted_by_a_call) {
  for (const std::string& handover : UnusableHandovers()) {
    owner fixture(grant_delivery_kind::kCall, handover);
    fixture.controller.OnHeartbeat(kStart, fixture.Heartbeat(), kLease);
    const auto calls = fixture.controller.NextCalls(kStart, kLease);
    BOOST_REQUIRE_EQUAL(calls.size(), 1U);
    http_request request;
    BOOST_REQUIRE_NO_THROW(request = platform::GrantRequest(calls[0], kTarget));
    BOOST_TEST(!nlohmann::json::parse(request.body).contains("handover"));
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_a_target_that_leaves)

BOOST_AUTO_TEST_CASE(is_not_passed_on_when_it_answers_a_release) {
  for (const std::string& handover : UnusableHandovers()) {
    owner fixture(grant_delivery_kind::kCall, {});
    fixture.controller.OnHeartbeat(kStart, fixture.Heartbeat(), kLease);
    for (const grant_call& call : fixture.controller.NextCalls(kStart, kLease)) {
      fixture.controller.OnCallOutcome(kStart, call, {.result = grant_call_result::kDone});
    }
    fixture.Leave();
    for (const grant_call& call : fixture.controller.NextCalls(kStart, kLease)) {
      fixture.controller.OnCallOutcome(kStart, call, Released(call, handover));
    }
    for (const std::string& passed_on : fixture.HandoversToOther(kStart)) {
      BOOST_TEST(passed_on.empty());
    }
  }
}

BOOST_AUTO_TEST_CASE(is_not_passed_on_when_a_heartbeat_brings_it) {
  for (const std::string& handover : UnusableHandovers()) {
    owner fixture(grant_delivery_kind::kHeartbeat, {});
    fixture.controller.OnHeartbeat(kStart, fixture.Heartbeat(), kLease);
    fixture.Leave();
    target_heartbeat heartbeat = fixture.Heartbeat();
    heartbeat.released = {{{0, kLastKey}, handover}};
    fixture.controller.OnHeartbeat(kStart, heartbeat, kLease);
    for (const std::string& passed_on : fixture.HandoversToOther(kStart)) {
      BOOST_TEST(passed_on.empty());
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(of_other_alphabets_is_passed_on) {
  const std::string handover = "5c0e \xc3\xa9\xe2\x82\xac\xf0\x9f\x94\x91";
  owner fixture(grant_delivery_kind::kHeartbeat, handover);
  const auto grant = fixture.controller.OnHeartbeat(kStart, fixture.Heartbeat(), kLease);
  BOOST_REQUIRE(grant.has_value());
  const auto body = nlohmann::json::parse(platform::HeartbeatAnswer(grant).body);
  BOOST_TEST(body["holds"][0][3] == handover);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
