// Runs real processes against stand-ins of the platform's targets and store: requests reach the
// right target and are answered, each key has one owner, and a process that stops drops no request.

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fstream>
#include <functional>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "platform_deployment.h"

namespace bulrushway::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kConfiguration =
    R"({"version":"00000001","resources":[)"
    R"({"type":"routes","metadata":{"name":"look"},"spec":{"host":"h","prefix":"/look/",)"
    R"("kind":"safe","timeout_s":2,"latency_target_s":0.5,"priority":2,"service":"plain",)"
    R"("attempts":2}},)"
    R"({"type":"routes","metadata":{"name":"pay"},"spec":{"host":"h","prefix":"/pay/",)"
    R"("kind":"unsafe","timeout_s":2,"latency_target_s":0.5,"priority":1,"service":"keyed",)"
    R"("attempts":2}},)"
    R"({"type":"services","metadata":{"name":"plain"},"spec":{"max_conns":64,"cold_per_s":22}},)"
    R"({"type":"services","metadata":{"name":"keyed"},"spec":{"max_conns":64,"sharded":true}},)"
    R"({"type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":100000,)"
    R"("header_timeout_s":3,"idle_timeout_s":15}}]})";

void ReplaceInFile(const std::string& path, const std::string& old_text,
                   const std::string& new_text) {
  std::stringstream content;
  content << std::ifstream(path).rdbuf();
  std::string text = content.str();
  BOOST_REQUIRE(text.find(old_text) != std::string::npos);
  std::ofstream(path) << text.replace(text.find(old_text), old_text.size(), new_text);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(processes_on_the_platform)

BOOST_AUTO_TEST_CASE(serve_requests_from_the_first_configuration_on) {
  platform_deployment fleet;
  BOOST_TEST_CONTEXT("without a configuration they are not ready and refuse requests") {
    fleet.Wait(milliseconds(800));
    BOOST_TEST(!fleet.Ready(0));
    BOOST_TEST(fleet.StatusOf(0, "/look/1", "early") == 503);
  }
  fleet.store().Put("op", "config", kConfiguration);
  BOOST_REQUIRE(fleet.WaitUntilSettled());

  BOOST_TEST_CONTEXT("plain requests reach a target of their service, from every process") {
    for (size_t i = 0; i < 4; ++i) {
      BOOST_TEST(fleet.StatusOf(i, "/look/x", "look" + std::to_string(i)) == 200);
    }
  }
  BOOST_TEST_CONTEXT("keyed requests run once each, at the one owner of their key") {
    for (int key = 0; key < 65536; key += 5000) {
      const std::string id = "pay" + std::to_string(key);
      BOOST_TEST(fleet.StatusOf(static_cast<size_t>(key) % 4, "/pay/x", id, key) == 200);
      int runs = 0;
      for (const machine& each : fleet.machines()) {
        const auto found = each.target->Runs().find(id);
        if (found != each.target->Runs().end()) runs += found->second;
      }
      BOOST_TEST(runs == 1);
    }
  }
  BOOST_TEST_CONTEXT(
      "a request without a route is not found, and one without its key is a bad request") {
    BOOST_TEST(fleet.StatusOf(0, "/nowhere/", "n1") == 404);
    BOOST_TEST(fleet.StatusOf(0, "/pay/x", "n2") == 400);
  }
  BOOST_TEST_CONTEXT("a data centre out of service gets nothing until it is back") {
    fleet.store().Put("op", "evacuate/a", "{}");
    fleet.Wait(milliseconds(300));
    BOOST_TEST(fleet.StatusOf(0, "/look/x", "out") == 503);
    fleet.store().Delete("op", "evacuate/a");
    fleet.Wait(milliseconds(600));
    BOOST_TEST(fleet.StatusOf(0, "/look/x", "back") == 200);
  }
  BOOST_TEST_CONTEXT("the store may lose its history, or be unavailable for a while") {
    fleet.store().ForgetHistory();
    fleet.store().SetDown(true);
    fleet.Wait(seconds(2));
    BOOST_TEST(fleet.StatusOf(1, "/look/x", "away") == 200);
    BOOST_TEST(fleet.StatusOf(1, "/pay/x", "away-key", 7) == 200);
    fleet.store().SetDown(false);
    fleet.Wait(seconds(1));
    BOOST_TEST(fleet.StatusOf(1, "/pay/x", "back-key", 7) == 200);
  }
}

BOOST_AUTO_TEST_CASE(lose_no_request_when_one_is_asked_to_stop) {
  platform_deployment fleet;
  fleet.store().Put("op", "config", kConfiguration);
  BOOST_REQUIRE(fleet.WaitUntilSettled());
  std::vector<std::shared_ptr<std::optional<outcome>>> results;
  for (int i = 0; i < 40; ++i) {
    results.push_back(fleet.Send(0, "/look/x", "stop" + std::to_string(i)));
    if (i == 10) fleet.machines()[0].process->Signal(SIGTERM);
    fleet.Wait(milliseconds(10));
  }
  BOOST_TEST(fleet.Until(
      [&] {
        return std::all_of(results.begin(), results.end(),
                           [](const auto& one) { return one->has_value(); });
      },
      seconds(4)));
  for (const auto& result : results) {
    BOOST_REQUIRE((*result)->has_value());
    BOOST_TEST((**result)->status == 200);
  }
  BOOST_TEST(!fleet.Ready(0));
  BOOST_TEST(fleet.machines()[0].process->WaitForEnd(seconds(7)));
  BOOST_TEST(fleet.machines()[0].process->ExitStatus() == 0);
}

BOOST_AUTO_TEST_CASE(answer_what_is_under_way_before_one_that_stops_is_gone) {
  platform_deployment fleet;
  // The work and the request timeout are longer than the time in which a process must stop.
  std::string configuration = kConfiguration;
  const std::string limit = R"("timeout_s":2)";
  configuration.replace(configuration.find(limit), limit.size(), R"("timeout_s":20)");
  fleet.store().Put("op", "config", configuration);
  BOOST_REQUIRE(fleet.WaitUntilSettled());
  for (machine& each : fleet.machines()) each.target->SetWorkTime(seconds(15));
  const auto result = fleet.Send(0, "/look/x", "slow", -1, seconds(12));
  fleet.Wait(milliseconds(200));
  fleet.machines()[0].process->Signal(SIGTERM);
  BOOST_TEST(fleet.Until([&] { return result->has_value(); }, seconds(7)));
  BOOST_REQUIRE(result->has_value());
  BOOST_REQUIRE((*result)->has_value());
  BOOST_TEST((**result)->status == 502);
  BOOST_TEST(fleet.machines()[0].process->WaitForEnd(seconds(2)));
  BOOST_TEST(fleet.machines()[0].process->ExitStatus() == 0);
}

BOOST_AUTO_TEST_CASE(answer_in_time_when_settings_name_a_longer_stop_meanwhile) {
  platform_deployment fleet;
  std::string configuration = kConfiguration;
  const std::string limit = R"("timeout_s":2)";
  configuration.replace(configuration.find(limit), limit.size(), R"("timeout_s":20)");
  fleet.store().Put("op", "config", configuration);
  BOOST_REQUIRE(fleet.WaitUntilSettled());
  for (machine& each : fleet.machines()) each.target->SetWorkTime(seconds(15));
  const auto result = fleet.Send(0, "/look/x", "slow", -1, seconds(12));
  fleet.Wait(milliseconds(200));
  machine& stopped = fleet.machines()[0];
  stopped.process->Signal(SIGTERM);
  ReplaceInFile(stopped.settings_file, "grace_s = 6", "grace_s = 60");
  stopped.process->Signal(SIGHUP);
  stopped.process->Signal(SIGTERM);
  BOOST_TEST(fleet.Until([&] { return result->has_value(); }, seconds(6)));
  BOOST_TEST(stopped.process->WaitForEnd(seconds(1)));
  BOOST_TEST(stopped.process->ExitStatus() == 0);
}

BOOST_AUTO_TEST_CASE(move_the_keys_of_a_draining_target_and_take_a_restart_in_their_stride) {
  platform_deployment fleet;
  fleet.store().Put("op", "config", kConfiguration);
  BOOST_REQUIRE(fleet.WaitUntilSettled());

  BOOST_TEST_CONTEXT("a killed process that restarts serves the keys that its target holds") {
    machine& restarted = fleet.machines()[2];
    restarted.process->Kill();
    fleet.StartProcess(restarted);
    BOOST_REQUIRE(fleet.WaitUntilSettled());
    BOOST_TEST(fleet.Until(
        [&] { return fleet.StatusOf(0, "/pay/x", "again" + std::to_string(rand()), 3) == 200; },
        seconds(6)));
  }
  BOOST_TEST_CONTEXT("a draining target is acknowledged and its keys go to the other") {
    fleet.machines()[2].target->Drain();
    BOOST_TEST(
        fleet.Until([&] { return fleet.machines()[2].target->DrainAcknowledged(); }, seconds(2)));
    BOOST_TEST(fleet.Until(
        [&] {
          const auto& other = *fleet.machines()[3].target;
          return other.Holds(0) && other.Holds(40000) && other.Holds(65535);
        },
        seconds(5)));
    BOOST_TEST(fleet.StatusOf(2, "/pay/x", "moved", 3) == 200);
  }
}

BOOST_AUTO_TEST_CASE(grant_keys_by_calls_that_are_carried_out_late_or_not_answered) {
  platform_deployment fleet(true);
  fleet.store().Put("op", "config", kConfiguration);
  BOOST_REQUIRE(fleet.WaitUntilSettled());
  const auto runs_once = [&fleet](const std::string& id) {
    int runs = 0;
    for (const machine& each : fleet.machines()) {
      const auto found = each.target->Runs().find(id);
      if (found != each.target->Runs().end()) runs += found->second;
    }
    return runs == 1;
  };
  BOOST_TEST_CONTEXT("keyed requests run once each, at the one owner of their key") {
    for (int key = 0; key < 65536; key += 5000) {
      const std::string id = "pay" + std::to_string(key);
      BOOST_TEST(fleet.StatusOf(static_cast<size_t>(key) % 4, "/pay/x", id, key) == 200);
      BOOST_TEST(runs_once(id));
      BOOST_TEST(fleet.CountHolders(static_cast<uint32_t>(key)) == 1);
    }
  }
  BOOST_TEST_CONTEXT("a killed process that restarts serves the keys that its target holds") {
    machine& restarted = fleet.machines()[2];
    restarted.process->Kill();
    fleet.StartProcess(restarted);
    BOOST_REQUIRE(fleet.WaitUntilSettled());
    BOOST_TEST(fleet.Until(
        [&] { return fleet.StatusOf(0, "/pay/x", "again" + std::to_string(rand()), 3) == 200; },
        seconds(6)));
  }
  BOOST_TEST_CONTEXT("a draining target's keys go to the other, and never belong to both") {
    fleet.machines()[2].target->Drain();
    bool held_twice = false;
    BOOST_TEST(fleet.Until(
        [&] {
          const auto& other = *fleet.machines()[3].target;
          held_twice = held_twice || fleet.CountHolders(0) > 1 || fleet.CountHolders(40000) > 1;
          return other.Holds(0) && other.Holds(40000) && other.Holds(65535);
        },
        seconds(8)));
    BOOST_TEST(!held_twice);
    BOOST_TEST(fleet.StatusOf(2, "/pay/x", "moved", 3) == 200);
    BOOST_TEST(runs_once("moved"));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway::testing
