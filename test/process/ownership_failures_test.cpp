// Invariants of ownership while real processes are killed, paused, partitioned and restarted and
// while the platform is unavailable.
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <nlohmann/json.hpp>

#include "execution_audit.h"
#include "small_deployment.h"

namespace bulrushway::testing {
namespace {

using json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kKeys = 12;
// A lease lasts 5.5 s.
constexpr seconds kLongerThanLease{7};

struct failing_deployment {
  explicit failing_deployment(const std::string& name) : fleet(name), audit(fleet) {
    StartSmallDeployment(fleet);
  }

  static std::string Key(int number) { return "bib-" + std::to_string(number); }

  /// Sends a request for each key to the node `entry`; true if all were answered.
  bool AllServed(const std::string& entry) {
    for (int i = 0; i < kKeys; ++i) {
      if (audit.Post(entry, Key(i)).status != 200) return false;
    }
    return true;
  }

  void CheckExecutions() {
    audit.CollectExecutions();
    BOOST_TEST(audit.RunTwice() == 0U);
    BOOST_TEST(audit.RunDespiteNotRun() == 0U);
  }

  bool HasEvent(const std::string& node, int number) {
    const auto answer = fleet.Get(node, "/-/events?limit=500");
    return answer.body.find("\"number\":" + std::to_string(number) + ",") != std::string::npos;
  }

  test_fleet fleet;
  execution_audit audit;
};

BOOST_AUTO_TEST_SUITE(keys_are_served_again)

BOOST_AUTO_TEST_CASE(after_owners_are_lost_with_and_without_the_platform) {
  failing_deployment d("owners_lost");
  BOOST_REQUIRE(d.AllServed("l1"));

  BOOST_TEST_CONTEXT("an owner is lost") {
    const std::string owner = d.fleet.OwnerOf("l1", "cronometraje", d.Key(1));
    d.audit.CollectExecutions();
    d.fleet.KillInstance(owner);
    BOOST_TEST(d.fleet.Until([&] { return d.AllServed("l1"); }));
    BOOST_TEST(d.fleet.OwnerOf("l1", "cronometraje", d.Key(1)) != owner);
    d.fleet.RestartDaemon(owner);
    BOOST_TEST(d.fleet.Until([&] { return d.fleet.AllOwned("cronometraje", kSmallSlices); }));
  }

  BOOST_TEST_CONTEXT("an owner is lost while the platform is unavailable") {
    d.fleet.PlatformFaults(R"({"outage": "refuse"})");
    const std::string owner = d.fleet.OwnerOf("l1", "cronometraje", d.Key(2));
    d.audit.CollectExecutions();
    d.fleet.KillInstance(owner);
    // Only the platform's store decides who owns a key: while it is unavailable no key may be
    // reassigned, and the other owners' leases expire. Requests without a key are still served.
    const auto end = std::chrono::steady_clock::now() + kLongerThanLease;
    while (std::chrono::steady_clock::now() < end) {
      BOOST_TEST(d.fleet.Get("l1", "/corredores/bibs/1").status == 200);
      d.audit.Post("l1", d.Key(2));
      Pause(milliseconds{100});
    }
    d.fleet.PlatformFaults(R"({"outage": "none"})");
    BOOST_TEST(d.fleet.Until([&] { return d.AllServed("l1"); }));
    d.fleet.RestartDaemon(owner);
    BOOST_TEST(d.fleet.Until([&] { return d.fleet.AllOwned("cronometraje", kSmallSlices); }));
  }

  BOOST_TEST_CONTEXT("a whole data centre is lost") {
    d.audit.CollectExecutions();
    d.fleet.KillInstance("k4");
    d.fleet.KillInstance("k6");
    BOOST_TEST(d.fleet.Until([&] { return d.AllServed("l1"); }));
    d.fleet.RestartDaemon("k4");
    d.fleet.RestartDaemon("k6");
    BOOST_TEST(d.fleet.Until([&] { return d.fleet.AllOwned("cronometraje", kSmallSlices); }));
  }
  d.CheckExecutions();
}

BOOST_AUTO_TEST_CASE(after_answers_of_the_platform_are_lost_while_owners_come_and_go) {
  failing_deployment d("lost_answers");
  d.fleet.PlatformFaults(R"({"lose_answers": 0.5, "slow_ms": 50})");
  for (const std::string node : {"k1", "k3"}) {
    d.audit.CollectExecutions();
    d.fleet.KillInstance(node);
    BOOST_TEST(d.fleet.Until([&] { return d.AllServed("l1"); }));
    d.fleet.RestartDaemon(node);
  }
  d.fleet.PlatformFaults(R"({"lose_answers": 0, "slow_ms": 0})");
  BOOST_TEST(d.fleet.Until([&] { return d.fleet.AllOwned("cronometraje", kSmallSlices); }));
  BOOST_TEST(d.fleet.Until([&] { return d.AllServed("l1"); }));
  d.CheckExecutions();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_owner_that_lost_its_lease)

BOOST_AUTO_TEST_CASE(hands_nothing_to_its_target_when_it_wakes_up) {
  failing_deployment d("paused");
  BOOST_REQUIRE(d.AllServed("l1"));
  const std::string owner = d.fleet.OwnerOf("l1", "cronometraje", d.Key(3));
  d.fleet.Daemon(owner).Signal(SIGSTOP);
  BOOST_TEST(d.fleet.Until([&] { return d.AllServed("l1"); }));
  const uint64_t executions_before = json::parse(d.fleet.Executions(owner))["executions"];
  // The request waits in the paused process's socket until it wakes up.
  http_answer late;
  d.fleet.CallWhile(
      d.fleet.Http(owner),
      {"POST",
       "/cronometraje/do",
       {{"X-Bulrush-Key", d.Key(3)}, {"X-Bulrush-Deadline-Ms", "300"}},
       "x"},
      milliseconds{500}, [&] { d.fleet.Daemon(owner).Signal(SIGCONT); }, late);
  BOOST_TEST(json::parse(d.fleet.Executions(owner))["executions"] == executions_before);
  BOOST_TEST(d.fleet.Until([&] { return d.HasEvent(owner, 302); }));
  BOOST_TEST(d.fleet.Until([&] { return d.fleet.AllOwned("cronometraje", kSmallSlices); }));
  BOOST_TEST(d.fleet.Until([&] { return d.AllServed(owner); }));
  d.CheckExecutions();
}

BOOST_AUTO_TEST_CASE(does_not_serve_while_it_is_cut_off_and_returns_afterwards) {
  failing_deployment d("cut_off");
  BOOST_REQUIRE(d.AllServed("l1"));
  const std::string owner = d.fleet.OwnerOf("l1", "cronometraje", d.Key(4));
  const auto cut = [&](bool on) {
    // An owner that reaches the platform keeps its keys even if it reaches no other process.
    d.fleet.Cut("platform", owner, on);
    for (const std::string& other : d.fleet.Nodes()) {
      if (other == owner) continue;
      d.fleet.Cut(owner, other, on);
      d.fleet.Cut(other, owner, on);
    }
  };
  cut(true);
  BOOST_TEST(d.fleet.Until([&] { return d.HasEvent(owner, 302); }));
  BOOST_TEST(d.fleet.Until([&] { return d.AllServed("l1"); }));
  const auto isolated = d.audit.Post(owner, d.Key(4));
  BOOST_TEST(isolated.status != 200);
  BOOST_TEST(FindHeader(isolated.headers, "X-Bulrush-Run-State") == "not run");
  cut(false);
  BOOST_TEST(d.fleet.Until([&] { return d.AllServed(owner); }));
  d.CheckExecutions();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(regions_that_lose_each_other)

BOOST_AUTO_TEST_CASE(keep_their_keys_and_serve_them) {
  failing_deployment d("regions_cut");
  BOOST_REQUIRE(d.AllServed("l1"));
  const std::vector<std::string> lima = {"k1", "k2", "k5", "l1", "l2"};
  const std::vector<std::string> cusco = {"k3", "k4", "k6", "l3"};
  const auto cut = [&](bool on) {
    for (const std::string& a : lima) {
      for (const std::string& b : cusco) {
        d.fleet.Cut(a, b, on);
        d.fleet.Cut(b, a, on);
      }
    }
  };
  const auto owners_now = [&] {
    std::map<std::string, std::string> owners_by_key;
    for (int i = 0; i < kKeys; ++i) {
      owners_by_key[d.Key(i)] = d.fleet.OwnerOf("l1", "cronometraje", d.Key(i));
    }
    return owners_by_key;
  };
  // A key whose handover is under way when the regions are partitioned may end up in either region,
  // so waits until the moves that follow the start are over.
  std::map<std::string, std::string> owners;
  BOOST_REQUIRE(d.fleet.Until([&] {
    owners = owners_now();
    Pause(seconds{2});
    return owners == owners_now();
  }));
  cut(true);
  // Longer than a lease, so that any lease that isn't renewed has expired.
  Pause(kLongerThanLease);
  for (const auto& [key, owner] : owners) {
    const bool in_lima = std::ranges::find(lima, owner) != lima.end();
    const std::string entry = in_lima ? "l1" : "l3";
    BOOST_TEST(d.fleet.OwnerOf(entry, "cronometraje", key) == owner);
    BOOST_TEST(d.audit.Post(entry, key).status == 200, key + " of " + owner);
  }
  cut(false);
  BOOST_TEST(d.fleet.Until([&] { return d.AllServed("l1") && d.AllServed("l3"); }));
  d.CheckExecutions();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_planned_stop)

BOOST_AUTO_TEST_CASE(of_every_process_in_turn_cuts_no_request) {
  failing_deployment d("rolling_restart");
  BOOST_REQUIRE(d.AllServed("l1"));
  for (const std::string node : {"k1", "k2", "k3", "k4", "k5", "k6"}) {
    d.fleet.Daemon(node).Signal(SIGTERM);
    const auto stopped = [&] {
      for (int i = 0; i < kKeys; ++i) d.audit.Post("l1", d.Key(i));
      return !d.fleet.Daemon(node).Running();
    };
    BOOST_TEST(d.fleet.Until(stopped, seconds{40}));
    d.fleet.RestartDaemon(node);
    BOOST_TEST(d.fleet.Until([&] { return d.fleet.AllOwned("cronometraje", kSmallSlices); }));
    BOOST_TEST(d.fleet.Until([&] { return d.AllServed(node); }));
  }
  BOOST_TEST(d.audit.Unknown() == 0U);
  d.CheckExecutions();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_process_that_must_not_serve)

BOOST_AUTO_TEST_CASE(says_why_and_overwrites_nothing) {
  failing_deployment d("refused_rows");
  BOOST_TEST_CONTEXT("a row that cannot be decoded is reported and not overwritten") {
    const std::string garbage = "{\"format\": 99, \"number\": true";
    const json txn = {{"operation", "garbage"},
                      {"conditions", json::array()},
                      {"writes", {{{"key", "leases/cronometraje/k9"}, {"value", garbage}}}}};
    d.fleet.Call(d.fleet.Platform(), {"POST", "/table/txn", {}, txn.dump()});
    d.fleet.StartNode({"k9", "cronometraje", "lima", "lima-a", "r1"});
    BOOST_TEST(d.fleet.Until([&] { return d.HasEvent("k9", 306); }));
    const auto rows = d.fleet.Call(d.fleet.Platform(),
                                   {"GET", "/table/rows?prefix=leases/cronometraje/k9", {}, {}});
    BOOST_TEST(json::parse(rows.body)["rows"][0]["value"] == garbage);
    // The process still forwards requests to other owners.
    BOOST_TEST(d.fleet.Until([&] { return d.AllServed("k9"); }));
  }
  d.CheckExecutions();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bulrushway::testing
