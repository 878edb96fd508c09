// Callers that send further requests before the first is answered, with real processes. Such
// requests used to run one after the other, so that each waited for the work of all before it.

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "platform_deployment.h"
#include "raw_caller.h"

namespace bulrushway::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A state that is not reached within this time is not reached at all, also on a busy machine.
constexpr seconds kLimit{40};

std::string Route(const std::string& name, const std::string& kind) {
  return R"({"type":"routes","metadata":{"name":")" + name +
         R"("},"spec":{"host":"h","prefix":"/)" + name + R"(/","kind":")" + kind +
         R"(","timeout_s":30,"latency_target_s":20,"priority":1,"service":"plain",)"
         R"("attempts":2}},)";
}

const std::string kConfiguration =
    R"({"version":"00000001","resources":[)" + Route("look", "safe") + Route("put", "unsafe") +
    R"({"type":"services","metadata":{"name":"plain"},"spec":{"max_conns":64}},)"
    R"({"type":"services","metadata":{"name":"keyed"},"spec":{"max_conns":64,"sharded":true}},)"
    R"({"type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":100000,)"
    R"("header_timeout_s":3,"idle_timeout_s":15}}]})";

// The answer to a request has a body of `bytes`, from which a test can tell answers apart.
std::string Request(const std::string& method, const std::string& path, const std::string& id,
                    milliseconds work, size_t bytes, const std::string& more_headers = "") {
  return method + " " + path + "?work_ms=" + std::to_string(work.count()) +
         "&bytes=" + std::to_string(bytes) +
         " HTTP/1.1\r\nHost: h\r\nX-Bulrushway-Request-Id: " + id +
         "\r\nX-Bulrushway-Request-Timeout: 30000\r\nContent-Length: 0\r\n" + more_headers + "\r\n";
}

using bytes_list = std::vector<size_t>;

struct pipelined_deployment {
  pipelined_deployment() {
    fleet.store().Put("op", "config", kConfiguration);
    BOOST_REQUIRE(fleet.WaitUntilSettled());
    // A target is sent few requests until it has answered the first.
    for (int i = 0; i < 4; ++i) {
      const std::string id = "first" + std::to_string(i);
      BOOST_REQUIRE(fleet.Until([&] { return fleet.StatusOf(0, "/look/x", id) == 200; }, kLimit));
    }
    // The process listens by now.
    caller.emplace(fleet.machines()[0].Address(kCallersPort));
  }

  // Waits for this number of answers, and checks that all have status 200.
  void WaitForAnswers(size_t answers) {
    const auto received = [&] { return caller->Statuses().size() >= answers; };
    BOOST_TEST(fleet.Until(received, kLimit));
    BOOST_TEST(caller->Statuses() == std::vector<int>(answers, 200));
  }
  // Lengths of the bodies received, which consist of the letter a, in their order.
  bytes_list BodyLengths() {
    static constexpr std::string_view kHeadEnd = "\r\n\r\n";
    const std::string& text = caller->Receive();
    bytes_list lengths;
    for (size_t at = text.find(kHeadEnd); at != std::string::npos; at = text.find(kHeadEnd, at)) {
      at += kHeadEnd.size();
      const size_t end = std::min(text.find_first_not_of('a', at), text.size());
      lengths.push_back(end - at);
    }
    return lengths;
  }
  // The request was run once; returns what is known of that.
  standin::execution Execution(const std::string& id) {
    std::vector<standin::execution> found;
    for (const standin::execution& one : fleet.machines()[0].target->Executions()) {
      if (one.request_id == id) found.push_back(one);
    }
    BOOST_REQUIRE_EQUAL(found.size(), 1U);
    return found.front();
  }

  platform_deployment fleet{false, {{"plain"}, {"keyed"}}};
  std::optional<raw_caller> caller;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(pipelined_requests)

BOOST_AUTO_TEST_CASE(run_at_the_same_time_and_are_answered_in_order) {
  pipelined_deployment test;
  // The first is the last to end.
  test.caller->Send(Request("GET", "/look/x", "one", seconds(3), 101) +
                    Request("GET", "/look/x", "two", seconds(2), 102) +
                    Request("GET", "/look/x", "three", milliseconds(20), 103) +
                    Request("GET", "/look/x", "four", milliseconds(20), 104));
  test.WaitForAnswers(4);
  BOOST_TEST(test.BodyLengths() == (bytes_list{101, 102, 103, 104}));
  uint32_t most = 0;
  for (const std::string id : {"one", "two", "three", "four"}) {
    most = std::max(most, test.Execution(id).running);
  }
  BOOST_TEST(most >= 2U);
}

// A request that is not safe must see what those before it did, and must not run when its caller
// gives up on them.
BOOST_AUTO_TEST_CASE(that_are_not_safe_run_alone) {
  pipelined_deployment test;
  test.caller->Send(Request("GET", "/look/x", "one", seconds(1), 101) +
                    Request("GET", "/look/x", "two", seconds(1), 102) +
                    Request("POST", "/put/x", "three", seconds(1), 103) +
                    Request("GET", "/look/x", "four", milliseconds(20), 104) +
                    Request("POST", "/put/x", "five", milliseconds(20), 105));
  test.WaitForAnswers(5);
  BOOST_TEST(test.BodyLengths() == (bytes_list{101, 102, 103, 104, 105}));
  for (const std::string id : {"three", "four", "five"}) {
    BOOST_TEST_CONTEXT(id) { BOOST_TEST(test.Execution(id).running == 1U); }
  }
}

BOOST_AUTO_TEST_CASE(are_not_run_behind_one_that_closes_the_connection) {
  pipelined_deployment test;
  test.caller->Send(Request("GET", "/look/x", "one", seconds(1), 101) +
                    Request("GET", "/look/x", "two", seconds(1), 102, "Connection: close\r\n") +
                    Request("GET", "/look/x", "three", milliseconds(20), 103));
  test.WaitForAnswers(2);
  BOOST_TEST(test.BodyLengths() == (bytes_list{101, 102}));
  // A request of another caller that is sent later has run: the third would have run before.
  BOOST_TEST(test.fleet.StatusOf(0, "/look/x", "later") == 200);
  BOOST_TEST(test.fleet.machines()[0].target->Runs().count("three") == 0U);
  BOOST_TEST(test.caller->Statuses().size() == 2U);
}

BOOST_AUTO_TEST_CASE(are_answered_before_the_rejection_of_a_malformed_one) {
  pipelined_deployment test;
  test.caller->Send(Request("GET", "/look/x", "one", seconds(1), 101) +
                    Request("GET", "/look/x", "two", milliseconds(20), 102) +
                    "no request at all\r\n\r\n");
  const auto rejected = [&] { return test.caller->Statuses().size() >= 3; };
  BOOST_TEST(test.fleet.Until(rejected, kLimit));
  BOOST_TEST(test.caller->Statuses() == (std::vector<int>{200, 200, 400}));
  for (const std::string id : {"one", "two"}) test.Execution(id);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway::testing
