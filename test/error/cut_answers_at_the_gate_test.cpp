// What the sender of a request gets from the gate when the target's answer is cut, its framing is
// contradictory or its head is invalid: a refusal that leaves open whether the request has run, and
// never a success.

#include <fcntl.h>

#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "broken_answers.h"
#include "open_gate.h"
#include "scripted_peer.h"

namespace bulrushway {
namespace {

using std::chrono::milliseconds;
using testing::scripted_server;
using end = scripted_server::step::end;

constexpr milliseconds kPatience{5000};
constexpr milliseconds kShortPatience{1000};

const std::string kHead = "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\n";

header_names Names() {
  header_names names;
  names.time_left = "Time-Left";
  names.caller = "Caller";
  names.target_instance = "Target";
  names.request_id = "Id";
  names.signature = "Seal";
  names.not_run = "Not-Run";
  return names;
}

/// A gate in front of a target that sends scripted bytes, and one request through it.
class scripted_target {
 public:
  scripted_target(event_loop& loop, decision_log& log, scripted_server::step step)
      : server_(loop, {std::move(step)}),
        target_({"lookup", server_.address()}),
        gate_(loop, metrics_, log, target_, {server_.address(), "lookup", "r", Names()},
              OpenGatePorts(), 1) {
    const instant now = boot_clock::now();
    target_.OnHeartbeat(now, ReadyHeartbeat("lookup", server_.address()));
    gate_.SetPolicy(now, 130, 0, 1);
    gate_.Tick(now);
  }

  void Offer(milliseconds time_left, std::function<void()> done) {
    dispatch_request request;
    request.service = "lookup";
    request.request_id = "1";
    request.time_left = time_left;
    request.latency_target_left = time_left;
    request.max_queue_wait = milliseconds(100);
    request.request = {"GET", "/", {{"Host", "a"}, {"Id", "1"}}, {}};
    gate_.Handle(boot_clock::now(), std::move(request),
                 [this, done = std::move(done)](instant, const dispatch_answer& received) {
                   answer = received;
                   done();
                 });
  }

  std::optional<dispatch_answer> answer;

 private:
  metrics metrics_;
  scripted_server server_;
  own_target target_;
  target_gate gate_;
};

std::vector<dispatch_answer> Offer(const std::vector<scripted_server::step>& steps,
                                   milliseconds time_left) {
  event_loop loop;
  decision_log log(loop, "test", open("/dev/null", O_WRONLY | O_CLOEXEC));
  std::vector<std::unique_ptr<scripted_target>> targets;
  size_t left = steps.size();
  for (const auto& step : steps) {
    targets.push_back(std::make_unique<scripted_target>(loop, log, step));
    targets.back()->Offer(time_left, [&left, &loop] {
      if (--left == 0) loop.Stop();
    });
  }
  timer stop(loop, [&loop](instant) { loop.Stop(); });
  stop.Once(std::chrono::seconds(20));
  loop.Run();
  std::vector<dispatch_answer> answers;
  for (auto& target : targets) {
    BOOST_REQUIRE(target->answer.has_value());
    answers.push_back(std::move(*target->answer));
  }
  return answers;
}

std::vector<dispatch_answer> CutEverywhere(const std::string& text, end then,
                                           milliseconds time_left) {
  std::vector<scripted_server::step> steps;
  for (size_t length = 0; length <= text.size(); ++length) {
    steps.push_back({text.substr(0, length), then});
  }
  return Offer(steps, time_left);
}

void CheckRefusedAsUnknown(const dispatch_answer& answer) {
  BOOST_TEST((answer.reason != refusal_reason::kNone),
             "answered " << answer.answer.status << " <" << answer.answer.body << ">");
  BOOST_TEST((answer.state == run_state::kUnknown));
  BOOST_TEST(answer.sent_to_target);
  BOOST_TEST(answer.answer.body.empty());
}

/// Offers a request for each text that follows the head of a success, up to the end of its
/// connection.
void CheckEachRefusedAsUnknown(std::span<const std::string> framings) {
  std::vector<scripted_server::step> steps;
  for (const std::string& framing : framings) steps.push_back({kHead + framing, end::kClose});
  const auto answers = Offer(steps, kPatience);
  for (size_t i = 0; i < answers.size(); ++i) {
    BOOST_TEST_CONTEXT(framings[i]) { CheckRefusedAsUnknown(answers[i]); }
  }
}

void CheckWhole(const dispatch_answer& answer, const std::string& body) {
  BOOST_TEST((answer.reason == refusal_reason::kNone), Name(answer.reason));
  BOOST_TEST(answer.answer.status == 200);
  BOOST_TEST(answer.answer.body == body);
  BOOST_TEST(FindHeader(answer.answer.headers, "Seal") == "s");
}

const std::string kWithLength = kHead + "Content-Length: 4\r\n\r\nbody";
const std::string kInChunks =
    kHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n";

}  // namespace

BOOST_AUTO_TEST_SUITE(a_success_of_a_target_at_its_gate)

BOOST_AUTO_TEST_CASE(that_is_cut_is_refused_as_possibly_run) {
  for (const std::string& text : {kWithLength, kInChunks}) {
    for (const end then : {end::kClose, end::kReset}) {
      const auto answers = CutEverywhere(text, then, kPatience);
      for (size_t length = 0; length < text.size(); ++length) {
        BOOST_TEST_CONTEXT("cut after " << length << " bytes of " << text) {
          CheckRefusedAsUnknown(answers[length]);
        }
      }
      if (then == end::kClose) CheckWhole(answers.back(), "body");
    }
  }
}

BOOST_AUTO_TEST_CASE(that_falls_silent_is_refused_as_possibly_run_at_the_deadline) {
  const auto answers = CutEverywhere(kWithLength, end::kKeep, kShortPatience);
  for (size_t length = 0; length < kWithLength.size(); ++length) {
    BOOST_TEST_CONTEXT("cut after " << length << " bytes") {
      CheckRefusedAsUnknown(answers[length]);
      BOOST_TEST((answers[length].reason == refusal_reason::kDeadlinePassed));
    }
  }
  CheckWhole(answers.back(), "body");
}

BOOST_AUTO_TEST_CASE(that_ends_with_its_connection_needs_its_whole_head) {
  const std::string text = kHead + "\r\nbody";
  const auto closed = CutEverywhere(text, end::kClose, kPatience);
  const auto reset = CutEverywhere(text, end::kReset, kPatience);
  for (size_t length = 0; length <= text.size(); ++length) {
    BOOST_TEST_CONTEXT("cut after " << length << " bytes") {
      if (length < text.size() - 4) CheckRefusedAsUnknown(closed[length]);
      CheckRefusedAsUnknown(reset[length]);
    }
  }
  CheckWhole(closed.back(), "body");
}

BOOST_AUTO_TEST_CASE(without_its_signature_is_refused_as_possibly_run) {
  const auto answers =
      Offer({{"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody", end::kKeep},
             {"HTTP/1.1 200 OK\r\nId: 1\r\nSeal:\r\nContent-Length: 4\r\n\r\nbody", end::kKeep},
             {"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nbody", end::kClose}},
            kPatience);
  for (const dispatch_answer& answer : answers) CheckRefusedAsUnknown(answer);
}

BOOST_AUTO_TEST_CASE(whose_framing_contradicts_itself_is_refused_as_possibly_run) {
  const std::string framings[] = {
      "Content-Length: 5\r\n\r\nbody",
      "Content-Length: 2\r\nContent-Length: 4\r\n\r\nbody",
      "Content-Length: 4\r\nContent-Length: 2\r\n\r\nbody",
      "Content-Length: 4, 2\r\n\r\nbody",
      "Content-Length: -4\r\n\r\nbody",
      "Content-Length: 0x4\r\n\r\nbody",
      "Content-Length: 2 2\r\n\r\nbody",
      "Content-Length:\r\n\r\nbody",
      "Content-Length: 18446744073709551618\r\n\r\nbody",
      "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
      "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
      "Transfer-Encoding: chunked\r\n\r\n2\r\nbody\r\n0\r\n\r\n",
      "Transfer-Encoding: chunked\r\n\r\n-2\r\nbo\r\n0\r\n\r\n",
      "Transfer-Encoding: chunked\r\n\r\n10000000000000002\r\nbo\r\n0\r\n\r\n",
      "Transfer-Encoding: chunked\r\n\r\n\r\nbo\r\n0\r\n\r\n",
  };
  CheckEachRefusedAsUnknown(framings);
}

// Each hop removes the codings of its connection, so that the caller could not undo them.
BOOST_AUTO_TEST_CASE(in_a_transfer_coding_other_than_chunked_is_refused_as_possibly_run) {
  const std::string framings[] = {
      "Transfer-Encoding: gzip\r\n\r\nbody",
      "Transfer-Encoding: gzip\r\nContent-Length: 2\r\n\r\nbody",
      "Transfer-Encoding: gzip, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
      "Transfer-Encoding: chunked, gzip\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
      "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
      "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
  };
  CheckEachRefusedAsUnknown(framings);
}

BOOST_AUTO_TEST_CASE(with_an_invalid_field_name_is_refused_as_possibly_run) {
  std::vector<std::string> framings;
  for (const std::string& line : testing::kBrokenFieldLines) {
    framings.push_back(line + "\r\nContent-Length: 4\r\n\r\nbody");
    framings.push_back("Content-Length: 4\r\n" + line + "\r\n\r\nbody");
    framings.push_back(line + "\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
  }
  CheckEachRefusedAsUnknown(framings);
}

BOOST_AUTO_TEST_CASE(with_bytes_behind_its_length_is_as_long_as_its_length_says) {
  const auto answers = Offer({{kHead + "Content-Length: 2\r\n\r\nbody", end::kClose}}, kPatience);
  CheckWhole(answers.front(), "bo");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_answer_with_a_status_outside_the_protocol)

BOOST_AUTO_TEST_CASE(is_refused_as_possibly_run) {
  std::vector<scripted_server::step> steps;
  for (const std::string& status : testing::kBrokenStatuses) {
    const std::string head = "HTTP/1.1 " + status + " -\r\nId: 1\r\nSeal: s\r\n";
    steps.push_back({head + "Content-Length: 4\r\n\r\nbody", end::kKeep});
    steps.push_back(
        {head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", end::kKeep});
    steps.push_back({head + "\r\nbody", end::kClose});
    // It is not believed either.
    steps.push_back({head + "Not-Run: 1\r\nContent-Length: 0\r\n\r\n", end::kKeep});
    steps.push_back({head + "Content-Length: 0\r\n\r\n" + kWithLength, end::kKeep});
  }
  const auto answers = Offer(steps, kPatience);
  for (size_t i = 0; i < answers.size(); ++i) {
    BOOST_TEST_CONTEXT(steps[i].text) {
      CheckRefusedAsUnknown(answers[i]);
      BOOST_TEST((answers[i].reason == refusal_reason::kAnswerLost));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
