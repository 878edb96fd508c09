// Sends requests through real processes and checks what callers receive.
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "small_deployment.h"

namespace bulrushway::testing {
namespace {

using json = nlohmann::json;

struct running_deployment {
  running_deployment() : fleet("requests") { StartSmallDeployment(fleet); }

  uint64_t ExecutionsOf(const std::string& service_prefix) {
    uint64_t total = 0;
    for (const std::string& node : fleet.Nodes()) {
      if (!node.starts_with(service_prefix)) continue;
      total += json::parse(fleet.Executions(node))["executions"].get<uint64_t>();
    }
    return total;
  }

  test_fleet fleet;
};

std::string Reason(const http_answer& answer) {
  return FindHeader(answer.headers, "X-Bulrush-Reason");
}

std::string RunState(const http_answer& answer) {
  return FindHeader(answer.headers, "X-Bulrush-Run-State");
}

BOOST_AUTO_TEST_SUITE(a_request)

BOOST_FIXTURE_TEST_CASE(travels_whole_and_keeps_its_promises, running_deployment) {
  BOOST_TEST_CONTEXT("a keyed request reaches the one owner from every entry") {
    std::string owner;
    for (const std::string& node : fleet.Nodes()) {
      const auto answer = fleet.Post(node, "cronometraje", "bib-1");
      BOOST_TEST(answer.status == 200);
      const std::string target = answer.body.substr(0, answer.body.find('\n'));
      if (owner.empty()) owner = target;
      BOOST_TEST(target == owner);
    }
  }

  BOOST_TEST_CONTEXT("a lookup request is answered") {
    const auto answer = fleet.Get("l1", "/corredores/bibs/1");
    BOOST_TEST(answer.status == 200);
  }

  BOOST_TEST_CONTEXT("a repeat under the same idempotency key is not run again") {
    const uint64_t executions_before = ExecutionsOf("k");
    const header_list headers = {{"Idempotency-Key", "finish-7"}};
    const auto first = fleet.Post("k1", "cronometraje", "bib-7", headers);
    const auto repeated = fleet.Post("l3", "cronometraje", "bib-7", headers);
    BOOST_TEST(first.status == 200);
    BOOST_TEST(repeated.status == 200);
    BOOST_TEST(FindHeader(repeated.headers, "X-Bulrush-Repeated") == "1");
    BOOST_TEST(repeated.body == first.body);
    BOOST_TEST(ExecutionsOf("k") == executions_before + 1);
  }

  BOOST_TEST_CONTEXT("the same idempotency key with another body is the caller's mistake") {
    const header_list headers = {{"Idempotency-Key", "finish-7"}};
    const auto other = fleet.Post("k1", "cronometraje", "bib-7", headers, "another time");
    BOOST_TEST(other.status == 400);
    BOOST_TEST(RunState(other) == "not run");
  }

  BOOST_TEST_CONTEXT("a request bound to cusco is refused in lima and served in cusco only") {
    const header_list bound = {{"X-Bulrush-Tenant", "bound"}};
    const auto refused = fleet.Post("k1", "cronometraje", "bib-2", bound);
    BOOST_TEST(refused.status == 421);
    BOOST_TEST(Reason(refused) == "home_region");
    BOOST_TEST(RunState(refused) == "not run");
    BOOST_TEST(FindHeader(refused.headers, "X-Bulrush-Home-Regions") == "cusco");
    for (int i = 0; i < 20; ++i) {
      const auto served = fleet.Post("k3", "cronometraje", "bib-" + std::to_string(i), bound);
      BOOST_TEST(served.status == 200);
      const std::string target = served.body.substr(0, served.body.find('\n'));
      const bool in_cusco =
          target.ends_with("k3") || target.ends_with("k4") || target.ends_with("k6");
      BOOST_TEST(in_cusco, target);
    }
  }

  BOOST_TEST_CONTEXT("a malformed request gets an explanation and runs nowhere") {
    const uint64_t executions_before = ExecutionsOf("k");
    BOOST_TEST(fleet.Call(fleet.Http("k1"), {"POST", "/cronometraje/do", {}, "x"}).status == 400);
    BOOST_TEST(fleet.Get("k1", "/nobody/x").status == 404);
    const auto malformed =
        fleet.Post("k1", "cronometraje", "b", {{"X-Bulrush-Deadline-Ms", "soon"}});
    BOOST_TEST(malformed.status == 400);
    BOOST_TEST(malformed.body.find("soon") != std::string::npos);
    BOOST_TEST(ExecutionsOf("k") == executions_before);
  }

  BOOST_TEST_CONTEXT("a crossed answer is not delivered, and its outcome is reported as unknown") {
    const std::string owner = fleet.OwnerOf("k1", "cronometraje", "bib-9");
    fleet.TargetFaults(owner, R"({"cross_next": 1})");
    const auto crossed = fleet.Post("k1", "cronometraje", "bib-9");
    BOOST_TEST(Reason(crossed) == "answer_crossed");
    BOOST_TEST(RunState(crossed) == "outcome unknown");
  }

  BOOST_TEST_CONTEXT("a truncated answer is not delivered") {
    const std::string owner = fleet.OwnerOf("k1", "cronometraje", "bib-9");
    fleet.TargetFaults(owner, R"({"truncate_next": 1})");
    const auto truncated = fleet.Post("k1", "cronometraje", "bib-9");
    BOOST_TEST(truncated.status == 502);
    BOOST_TEST(RunState(truncated) == "outcome unknown");
  }

  BOOST_TEST_CONTEXT("a frozen target's request ends at its deadline, outcome unknown") {
    const std::string owner = fleet.OwnerOf("k1", "cronometraje", "bib-9");
    fleet.TargetFaults(owner, R"({"freeze": true})");
    const auto late = fleet.Post("k1", "cronometraje", "bib-9", {{"X-Bulrush-Deadline-Ms", "200"}});
    BOOST_TEST(late.status == 504);
    BOOST_TEST(RunState(late) == "outcome unknown");
    fleet.TargetFaults(owner, R"({"freeze": false})");
    BOOST_TEST(
        fleet.Until([&] { return fleet.Post("k1", "cronometraje", "bib-9").status == 200; }));
  }

  BOOST_TEST_CONTEXT("a data centre that is taken out gets no new work until it is back") {
    BOOST_TEST(fleet.Ctl({"out", "lima-a"}).first == 0);
    BOOST_TEST(fleet.Until([&] {
      return fleet.Get("k1", "/-/status").body.find("\"state\":\"out\"") != std::string::npos;
    }));
    BOOST_TEST(fleet.Until([&] { return fleet.OwnerOf("k2", "cronometraje", "bib-1") != "k1"; }));
    const uint64_t executions_before = json::parse(fleet.Executions("l1"))["executions"];
    for (int i = 0; i < 20; ++i) BOOST_TEST(fleet.Get("l2", "/corredores/bibs/1").status == 200);
    BOOST_TEST(json::parse(fleet.Executions("l1"))["executions"] == executions_before);
    BOOST_TEST(fleet.Ctl({"back", "lima-a"}).first == 0);
    BOOST_TEST(fleet.Until([&] {
      fleet.Get("l1", "/corredores/bibs/1");
      return json::parse(fleet.Executions("l1"))["executions"] != executions_before;
    }));
  }

  BOOST_TEST_CONTEXT("a request that crashes targets is quarantined") {
    const header_list headers = {{"X-Bulrush-Idempotent", "1"}};
    const auto poison = [&] {
      return fleet.Call(fleet.Http("l1"), {"GET", "/corredores/poison", headers, {}});
    };
    const auto crash_again = [&] {
      for (const std::string node : {"l1", "l2", "l3"}) fleet.RestartTarget(node);
      return Reason(poison()) == "quarantined";
    };
    BOOST_TEST(fleet.Until(crash_again, std::chrono::seconds{20}));
    for (const std::string node : {"l1", "l2", "l3"}) fleet.RestartTarget(node);
    BOOST_TEST(fleet.Get("l2", "/corredores/bibs/1").status == 200);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bulrushway::testing
