// How the gate of a target handles requests whose large bodies stay at their senders until it asks
// for them.

#include <fcntl.h>

#include <boost/test/unit_test.hpp>
#include <optional>

#include "open_gate.h"

namespace bulrushway {
namespace {

using std::chrono::milliseconds;

// 10 Mbit/s.
constexpr double kNarrowLink = 1'250'000;
constexpr size_t kBody = 60'000;

// A gate whose target is ready, although nothing listens at its address.
class gate_behind_a_narrow_link {
 public:
  gate_behind_a_narrow_link() {
    target_.OnHeartbeat(now, ReadyHeartbeat("media", kAddress));
    gate.SetPolicy(now, 130, 0, 1);
    gate.Tick(now);
  }

  target_gate::ticket Upload(milliseconds time_left) {
    dispatch_request request;
    request.service = "media";
    request.time_left = time_left;
    request.latency_target_left = time_left;
    request.max_queue_wait = time_left;
    request.separate_body_bytes = kBody;
    return gate.Handle(
        now, std::move(request),
        [this](instant, const dispatch_answer& answer) { last_answer = answer; },
        [this] { ++permits; });
  }

  instant now = boot_clock::now();
  event_loop loop;
  int permits = 0;
  std::optional<dispatch_answer> last_answer;

 private:
  const socket_address kAddress{"127.0.0.1", 9};
  decision_log log_{loop, "test", open("/dev/null", O_WRONLY | O_CLOEXEC)};
  metrics metrics_;
  own_target target_{{"media", kAddress}};

 public:
  target_gate gate{loop,
                   metrics_,
                   log_,
                   target_,
                   {kAddress, "media", "r", {}, kNarrowLink, kNarrowLink},
                   OpenGatePorts(),
                   1};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(requests_whose_bodies_stay_at_their_senders)

BOOST_AUTO_TEST_CASE(are_asked_for_two_at_a_time) {
  gate_behind_a_narrow_link fixture;
  const auto first = fixture.Upload(milliseconds(3000));
  for (int i = 0; i < 3; ++i) fixture.Upload(milliseconds(3000));
  BOOST_TEST(fixture.permits == 2);
  BOOST_TEST(!fixture.gate.MayHaveRun(first));

  BOOST_TEST_CONTEXT("the next when a body has come, which goes to the target") {
    fixture.gate.OnBody(fixture.now, first, std::string(kBody, 'x'));
    BOOST_TEST(fixture.permits == 3);
    BOOST_TEST(fixture.gate.MayHaveRun(first));
  }
  BOOST_TEST_CONTEXT("the body of another request, or a second one, is ignored") {
    fixture.gate.OnBody(fixture.now, first, "again");
    fixture.gate.OnBody(fixture.now, 999, "unknown");
    BOOST_TEST(fixture.gate.Running() == 1U);
  }
}

BOOST_AUTO_TEST_CASE(are_asked_for_in_the_place_of_one_that_is_cancelled) {
  gate_behind_a_narrow_link fixture;
  const auto first = fixture.Upload(milliseconds(3000));
  for (int i = 0; i < 2; ++i) fixture.Upload(milliseconds(3000));
  fixture.gate.Cancel(fixture.now, first);
  BOOST_TEST(!fixture.gate.Contains(first));
  BOOST_TEST(fixture.permits == 3);
}

BOOST_AUTO_TEST_CASE(are_refused_as_not_run_when_their_body_cannot_come_in_time) {
  gate_behind_a_narrow_link fixture;
  for (int i = 0; i < 8; ++i) fixture.Upload(milliseconds(290));
  BOOST_REQUIRE(fixture.last_answer.has_value());
  BOOST_TEST((fixture.last_answer->state == run_state::kNotRun));
  BOOST_TEST((fixture.last_answer->reason == refusal_reason::kQueueFull));

  BOOST_TEST_CONTEXT("also after they have waited") {
    fixture.last_answer.reset();
    fixture.gate.Tick(fixture.now + milliseconds(280));
    BOOST_REQUIRE(fixture.last_answer.has_value());
    BOOST_TEST((fixture.last_answer->state == run_state::kNotRun));
    BOOST_TEST(!fixture.last_answer->sent_to_target);
  }
}

BOOST_AUTO_TEST_CASE(in_pieces_is_asked_for_until_it_is_whole) {
  gate_behind_a_narrow_link fixture;
  const auto upload = fixture.Upload(milliseconds(2000));
  BOOST_TEST(fixture.permits == 1);
  fixture.gate.OnBody(fixture.now, upload, std::string(kBody / 2, 'x'));
  BOOST_TEST(fixture.permits == 2);
  BOOST_TEST(fixture.gate.Running() == 0U);
  fixture.gate.OnBody(fixture.now, upload, std::string(kBody - kBody / 2, 'x'));
  BOOST_TEST(fixture.permits == 2);
  BOOST_TEST(fixture.gate.Running() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
