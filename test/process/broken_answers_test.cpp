// Targets whose answers are invalid HTTP, with real processes: whatever the request and the way to
// its target, callers get a failure of the system's own, and no part of such an answer.

#include "broken_answers.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <fstream>
#include <functional>
#include <sstream>
#include <string>
#include <vector>

#include "raw_caller.h"
#include "workspace_deployment.h"

namespace bulrushway::testing {
namespace {

using std::chrono::seconds;

constexpr int kBadGateway = 502;

std::string Replaced(std::string text, const std::string& what, const std::string& by) {
  const size_t at = text.find(what);
  return at == std::string::npos ? text : text.replace(at, what.size(), by);
}

// The ways to reach a target: the process that takes the request, the path, and the key of the
// keyed service.
struct way {
  size_t entry;
  std::string path;
  int key;
};
const std::vector<way> kWays = {{0, "/look/x", -1},  {1, "/look/x", -1}, {0, "/order/x", -1},
                                {1, "/order/x", -1}, {0, "/read/x", 7},  {1, "/read/x", 7},
                                {0, "/pay/x", 7},    {1, "/pay/x", 7}};

bool MayRepeat(const way& each) { return each.path == "/look/x" || each.path == "/read/x"; }

// A plain target beside process 0 and a keyed one beside process 1, which answer through paths.
struct broken_deployment : workspace_deployment {
  broken_deployment()
      : workspace_deployment({{"plain", "a", "r", true}, {"keyed", "a", "r", true}}) {
    Configure(Configuration(1, Route("order", "unsafe", "plain") + Route("read", "safe", "keyed")));
    for (const way& each : kWays) {
      BOOST_REQUIRE_EQUAL(Status(each.entry, each.path, {}, each.key), 200);
    }
  }
  void EditAnswers(const std::function<std::string(std::string)>& edit) {
    for (const machine& each : fleet.machines()) each.path_to_target->EditAnswers(edit);
  }
  void CheckFailsInAllWays() {
    for (const way& each : kWays) {
      BOOST_TEST_CONTEXT(each.path << " at process " << each.entry) {
        BOOST_TEST(Status(each.entry, each.path, {}, each.key) == kBadGateway);
        BOOST_TEST(FindHeader(answer.headers, "X-Bulrushway-Server-Seal").empty());
        BOOST_TEST(answer.body.empty());
        const size_t runs = Executions(last_id).size();
        BOOST_TEST(runs >= 1U);
        BOOST_TEST(runs <= (MayRepeat(each) ? 2U : 1U));
      }
    }
  }
  void CheckServedInAllWays() {
    for (const way& each : kWays) {
      BOOST_TEST_CONTEXT(each.path << " at process " << each.entry) {
        BOOST_TEST(Status(each.entry, each.path, {}, each.key) == 200);
        BOOST_TEST(answer.body.starts_with("work of"));
      }
    }
  }
  std::string LogOf(size_t index) {
    std::ostringstream log;
    log << std::ifstream(fleet.machines()[index].settings_file + ".log").rdbuf();
    return log.str();
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(an_answer_of_a_target)

BOOST_AUTO_TEST_CASE(with_a_status_outside_the_protocol_is_not_passed_on) {
  broken_deployment test;
  for (const std::string& status : kBrokenStatuses) {
    BOOST_TEST_CONTEXT("status " << status) {
      test.EditAnswers([&status](std::string answer) {
        return Replaced(std::move(answer), "HTTP/1.1 200", "HTTP/1.1 " + status);
      });
      test.CheckFailsInAllWays();
    }
  }
  BOOST_TEST_CONTEXT("its log names the cause") {
    const std::string cause = "The answer has the status 0, which is outside 100 to 599.";
    for (size_t i = 0; i < 2; ++i) {
      BOOST_TEST(
          test.fleet.Until([&] { return test.LogOf(i).find(cause) != std::string::npos; }, kLimit));
    }
  }
  BOOST_TEST_CONTEXT("sound answers follow") {
    test.EditAnswers({});
    test.CheckServedInAllWays();
  }
}

// The target says that it has not run the request, in an answer that cannot be relied on.
BOOST_AUTO_TEST_CASE(with_a_status_outside_the_protocol_is_not_believed) {
  broken_deployment test;
  test.EditAnswers([](std::string answer) {
    return Replaced(std::move(answer), "HTTP/1.1 200 OK\r\n",
                    "HTTP/1.1 000 -\r\nX-Bulrushway-Not-Executed: 1\r\n");
  });
  test.CheckFailsInAllWays();
}

BOOST_AUTO_TEST_CASE(with_an_invalid_field_name_is_not_passed_on) {
  broken_deployment test;
  for (const std::string& line : kBrokenFieldLines) {
    BOOST_TEST_CONTEXT("field line " << line) {
      test.EditAnswers([&line](std::string answer) {
        return Replaced(std::move(answer), "OK\r\n", "OK\r\n" + line + "\r\n");
      });
      test.CheckFailsInAllWays();
    }
  }
  BOOST_TEST_CONTEXT("sound answers follow") {
    test.EditAnswers({});
    test.CheckServedInAllWays();
  }
}

BOOST_AUTO_TEST_CASE(that_is_invalid_leaves_the_answers_to_pipelined_requests_in_order) {
  broken_deployment test;
  // The second answer that passes is broken.
  int passed = 0;
  test.EditAnswers([&passed](std::string answer) {
    return ++passed == 2 ? Replaced(std::move(answer), "200 OK", "000 -") : answer;
  });
  const auto request = [](const std::string& id) {
    return "POST /order/x HTTP/1.1\r\nHost: h\r\nX-Bulrushway-Request-Id: " + id +
           "\r\nX-Bulrushway-Request-Timeout: 3000\r\nContent-Length: 0\r\n\r\n";
  };
  raw_caller caller(test.fleet.machines()[1].Address(kCallersPort));
  caller.Send(request("p-1") + request("p-2") + request("p-3"));
  BOOST_TEST(test.fleet.Until([&] { return caller.Statuses().size() >= 3; }, seconds(5)));
  const std::vector<int> statuses = caller.Statuses();
  BOOST_TEST(statuses.size() == 3U);
  BOOST_TEST(std::count(statuses.begin(), statuses.end(), 200) == 2);
  BOOST_TEST(std::count(statuses.begin(), statuses.end(), kBadGateway) == 1);
  BOOST_TEST(caller.Receive().find("HTTP/1.1 0") == std::string::npos);
  size_t at = 0;
  for (const std::string id : {"p-1", "p-2", "p-3"}) {
    at = caller.Receive().find("X-Bulrushway-Request-Id: " + id, at);
    BOOST_TEST(at != std::string::npos, id);
    BOOST_TEST(test.Executions(id).size() == 1U);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway::testing
