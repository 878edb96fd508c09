// Answers that are remembered under idempotency keys, also by the previous
// owner. One that cannot be read, or is invalid HTTP, must neither be replayed
// nor let the request run once more.

#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "broken_answers.h"
#include "gate.h"
#include "gate_job.h"
#include "peer_codec.h"
#include "scripted_peer.h"

namespace bulrushway {
namespace {

using std::chrono::milliseconds;
using testing::scripted_server;

constexpr uint32_t kSlice = 7;
const std::string kSound =
    "HTTP/1.1 200 OK\r\nX-Bulrush-Request-Id: "
    "1\r\nContent-Length: 4\r\n\r\nbody";

gate_callbacks OpenCallbacks() {
  return {.check_rules = [](instant, const dispatch_request&) { return std::nullopt; },
          .keyed = [] { return true; },
          .serving_epoch = [](instant, uint32_t) { return std::optional<uint64_t>(1); },
          .lease_expiry = [](instant now) { return now + std::chrono::hours(1); },
          .not_served_reason = [](instant, uint32_t) { return gate_refusal{}; },
          .tenant_share =
              [](const dispatch_request&) {
                return std::pair{1.0, uint8_t{0}};
              },
          .home_regions = [](const dispatch_request&) { return std::vector<std::string>{}; },
          .on_target_state = [](instant, bool) {},
          .on_quarantined = [](instant, uint64_t) {},
          .on_suspects_changed = [](instant) {}};
}

// The gate of a keyed target that answers by a script.
struct keyed_gate {
  explicit keyed_gate(std::vector<scripted_server::step> script)
      : target(loop, std::move(script)),
        under_test(loop, counters, {.target = target.address()}, OpenCallbacks()) {
    under_test.AcquireFreshSlice(kSlice);
  }

  // Sends the same request under the same idempotency key each time.
  dispatch_answer Send() {
    dispatch_request request;
    request.service = "s";
    request.request_id = "1";
    request.key_name = "k";
    request.idempotency_key = "once";
    request.slice = kSlice;
    request.time_left = milliseconds(2000);
    request.request = {"POST", "/s/k", {{"Host", "a"}}, "x"};
    std::optional<dispatch_answer> received;
    under_test.Handle(boot_clock::now(), std::move(request), [&](dispatch_answer answer) {
      received = std::move(answer);
      loop.Stop();
    });
    if (!received) {
      timer stop(loop, [this](instant) { loop.Stop(); });
      stop.Once(std::chrono::seconds(5));
      loop.Run();
    }
    BOOST_REQUIRE(received.has_value());
    return *received;
  }
  // Replaces the answer in the memory, as if the slice came from an owner that
  // remembers this one.
  void Remember(const std::string& answer) {
    const instant now = boot_clock::now();
    under_test.ReleaseSlice(now, kSlice);
    auto memory = under_test.ReleasedSliceMemory(kSlice);
    BOOST_REQUIRE(memory.has_value());
    BOOST_REQUIRE_EQUAL(memory->requests.size(), 1U);
    memory->requests.front().answer = answer;
    under_test.AwaitSliceMemory(now, kSlice);
    under_test.ImportSliceMemory(now, kSlice, *memory);
  }
  size_t Arrivals() const {
    size_t arrivals = 0;
    for (size_t at = target.Received().find("POST "); at != std::string::npos;
         at = target.Received().find("POST ", at + 1)) {
      ++arrivals;
    }
    return arrivals;
  }

  event_loop loop;
  metrics counters;
  scripted_server target;
  gate under_test;
};

void CheckLost(const dispatch_answer& answer, refusal_reason reason = refusal_reason::kAnswerLost) {
  BOOST_TEST(Name(answer.reason) == Name(reason));
  BOOST_TEST(Name(answer.state) == Name(run_state::kUnknown));
  BOOST_TEST(answer.answer.body.empty());
}

}  // namespace

BOOST_AUTO_TEST_SUITE(a_repeat_under_an_idempotency_key)

BOOST_AUTO_TEST_CASE(gets_the_answer_that_is_remembered) {
  keyed_gate fixture({{kSound}});
  for (int attempt = 0; attempt < 2; ++attempt) {
    const dispatch_answer answer = fixture.Send();
    BOOST_TEST(Name(answer.reason) == Name(refusal_reason::kNone));
    BOOST_TEST(answer.answer.body == "body");
  }
  BOOST_TEST(fixture.Arrivals() == 1U);
}

BOOST_AUTO_TEST_CASE(gets_no_invalid_answer_and_does_not_run_once_more) {
  for (const std::string& status : testing::kBrokenStatuses) {
    BOOST_TEST_CONTEXT("status " << status) {
      std::string broken = kSound;
      keyed_gate fixture({{broken.replace(broken.find("200"), 3, status)}, {kSound}});
      CheckLost(fixture.Send(), refusal_reason::kTargetCrashed);
      CheckLost(fixture.Send(), refusal_reason::kAnswerLost);
      BOOST_TEST(fixture.Arrivals() == 1U);
    }
  }
  for (const std::string& line : testing::kBrokenFieldLines) {
    BOOST_TEST_CONTEXT("field line " << line) {
      std::string broken = kSound;
      keyed_gate fixture({{broken.insert(broken.find("X-"), line + "\r\n")}, {kSound}});
      CheckLost(fixture.Send(), refusal_reason::kTargetCrashed);
      CheckLost(fixture.Send(), refusal_reason::kAnswerLost);
      BOOST_TEST(fixture.Arrivals() == 1U);
    }
  }
}

BOOST_AUTO_TEST_CASE(gets_the_answer_that_the_previous_owner_remembers) {
  keyed_gate fixture({{kSound}});
  BOOST_TEST(fixture.Send().answer.body == "body");
  fixture.Remember(EncodeRememberedAnswer({201, {}, "kept"}));
  const dispatch_answer repeated = fixture.Send();
  BOOST_TEST(repeated.answer.status == 201);
  BOOST_TEST(repeated.answer.body == "kept");
  BOOST_TEST(fixture.Arrivals() == 1U);
}

BOOST_AUTO_TEST_CASE(gets_no_part_of_an_answer_that_cannot_be_read) {
  const std::string whole = EncodeRememberedAnswer({200, {}, "kept"});
  const std::string unreadable[] = {
      "", "x", whole.substr(0, whole.size() - 1),
      EncodeFrame(peer_message{cancel_request{1}}).substr(kFrameHeaderSize)};
  for (const std::string& answer : unreadable) {
    keyed_gate fixture({{kSound}});
    BOOST_TEST(fixture.Send().answer.body == "body");
    fixture.Remember(answer);
    CheckLost(fixture.Send());
    BOOST_TEST(fixture.Arrivals() == 1U);
  }
}

BOOST_AUTO_TEST_CASE(gets_no_part_of_an_answer_with_an_invalid_status) {
  for (const int status : {0, 99, 100, 600}) {
    keyed_gate fixture({{kSound}});
    BOOST_TEST(fixture.Send().answer.body == "body");
    fixture.Remember(EncodeRememberedAnswer({status, {}, "kept"}));
    CheckLost(fixture.Send());
    BOOST_TEST(fixture.Arrivals() == 1U);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
