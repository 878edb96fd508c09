// A faulty target writes an earlier refusal once more on a kept connection. A request that the
// target runs must not be reported as not run.

#include <fcntl.h>

#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>

#include "open_gate.h"
#include "scripted_peer.h"

namespace bulrushway {
namespace {

using std::chrono::milliseconds;
using testing::scripted_server;
using step = scripted_server::step;

constexpr int kOk = 200;
constexpr int kRequestTimeout = 408;
constexpr int kMisdirected = 421;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

std::string MakeAnswer(const std::string& id, int status, const std::string& extra) {
  const std::string echo = id.empty() ? "" : "X-Request-Id: " + id + "\r\n";
  return "HTTP/1.1 " + std::to_string(status) + " -\r\n" + echo + extra +
         "Content-Length: 2\r\n\r\nok";
}

std::string MakeSuccess(const std::string& id) { return MakeAnswer(id, 200, "Seal: s\r\n"); }

std::string MakeRefusal(const std::string& id, int status = kMisdirected) {
  return MakeAnswer(id, status, "Not-Run: 1\r\n");
}

// A gate in front of a target that follows a script.
class scripted_target {
 public:
  explicit scripted_target(std::vector<step> script) : server_(loop_, std::move(script)) {
    target_.OnHeartbeat(boot_clock::now(), ReadyHeartbeat("lookup", server_.address()));
    gate_.SetPolicy(boot_clock::now(), 130, 0, 1);
    gate_.Tick(boot_clock::now());
  }

  dispatch_answer SendAndWait(const std::string& id) {
    dispatch_request request;
    request.service = "lookup";
    request.request_id = id;
    request.time_left = milliseconds(500);
    request.latency_target_left = milliseconds(500);
    request.max_queue_wait = milliseconds(100);
    request.request = {"POST", "/", {{"Host", "a"}, {"X-Request-Id", id}}, "x"};
    std::optional<dispatch_answer> result;
    gate_.Handle(boot_clock::now(), std::move(request), [&](instant, dispatch_answer answer) {
      result = std::move(answer);
      loop_.Stop();
    });
    timer stop(loop_, [this](instant) { loop_.Stop(); });
    stop.Once(std::chrono::seconds(5));
    if (!result) loop_.Run();
    BOOST_REQUIRE(result.has_value());
    return *result;
  }
  scripted_server& server() { return server_; }

 private:
  event_loop loop_;
  scripted_server server_;
  decision_log log_{loop_, "test", open("/dev/null", O_WRONLY | O_CLOEXEC)};
  metrics metrics_;
  own_target target_{{"lookup", server_.address()}};
  target_gate gate_{loop_,
                    metrics_,
                    log_,
                    target_,
                    {server_.address(), "lookup", "r", ScriptedHeaderNames()},
                    OpenGatePorts(),
                    1};
};

bool SaysNotRun(const dispatch_answer& answer) {
  return answer.reason != refusal_reason::kNone && answer.state == run_state::kNotRun;
}

bool IsSuccess(const dispatch_answer& answer) {
  return answer.reason == refusal_reason::kNone && answer.answer.status == kOk;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(a_refusal_that_a_target_writes_once_more)

BOOST_AUTO_TEST_CASE(without_the_id_of_its_request_does_not_refuse_the_next_one) {
  scripted_target fixture({{MakeRefusal("1")}, {MakeRefusal("") + MakeSuccess("2")}});
  BOOST_TEST(SaysNotRun(fixture.SendAndWait("1")));
  const dispatch_answer second = fixture.SendAndWait("2");
  BOOST_TEST(!SaysNotRun(second));
  BOOST_TEST(second.sent_to_target);
}

// A request keeps its id when it is sent again, be it by its entry, through a relay or by another
// entry's attempt.
BOOST_AUTO_TEST_CASE(to_the_same_request_does_not_refuse_its_next_send) {
  scripted_target fixture({{MakeRefusal("1")},
                           {.text = MakeSuccess("1"), .stray = MakeRefusal("1")},
                           {MakeSuccess("2")}});
  BOOST_TEST(SaysNotRun(fixture.SendAndWait("1")));
  BOOST_TEST(IsSuccess(fixture.SendAndWait("1")));
  BOOST_TEST_CONTEXT("and other requests are answered") {
    BOOST_TEST(IsSuccess(fixture.SendAndWait("2")));
    BOOST_TEST(fixture.server().Connections() == 2U);
  }
}

BOOST_AUTO_TEST_CASE(leaves_its_connection_to_other_requests) {
  scripted_target fixture({{MakeRefusal("1")}, {MakeSuccess("2")}});
  BOOST_TEST(SaysNotRun(fixture.SendAndWait("1")));
  BOOST_TEST(IsSuccess(fixture.SendAndWait("2")));
  BOOST_TEST(fixture.server().Connections() == 1U);
}

BOOST_AUTO_TEST_CASE(without_its_id_before_the_next_request_is_sent_refuses_nobody) {
  scripted_target fixture({{MakeRefusal("1")}, {MakeSuccess("2")}});
  BOOST_TEST(SaysNotRun(fixture.SendAndWait("1")));
  fixture.server().WriteNow(MakeRefusal(""));
  BOOST_TEST(IsSuccess(fixture.SendAndWait("2")));
  BOOST_TEST(fixture.server().Connections() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

// These statuses tell a caller that its request has not run and never will.
BOOST_AUTO_TEST_SUITE(a_status_that_promises_not_run)

BOOST_AUTO_TEST_CASE(is_not_passed_on_when_the_target_does_not_say_so) {
  for (const int status : {kRequestTimeout, kTooManyRequests, kUnavailable}) {
    BOOST_TEST_CONTEXT(status) {
      scripted_target fixture({{MakeAnswer("1", status, "Seal: s\r\n")}});
      const dispatch_answer answer = fixture.SendAndWait("1");
      BOOST_TEST(Name(answer.reason) == Name(refusal_reason::kAnswerLost));
      BOOST_TEST(Name(answer.state) == Name(run_state::kUnknown));
      BOOST_TEST(answer.sent_to_target);
    }
  }
}

BOOST_AUTO_TEST_CASE(is_believed_when_the_target_says_so) {
  for (const int status : {kTooManyRequests, kMisdirected, kUnavailable}) {
    BOOST_TEST_CONTEXT(status) {
      scripted_target fixture({{MakeRefusal("1", status)}});
      BOOST_TEST(SaysNotRun(fixture.SendAndWait("1")));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_answer_that_names_no_request)

BOOST_AUTO_TEST_CASE(is_not_delivered_as_a_success) {
  scripted_target fixture({{MakeSuccess("")}});
  const dispatch_answer answer = fixture.SendAndWait("1");
  BOOST_TEST(Name(answer.reason) == Name(refusal_reason::kAnswerLost));
  BOOST_TEST(!SaysNotRun(answer));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
