// Quotas of workspaces, with real processes: a workspace must not run more than its quota at all
// processes together, and must be able to use all of it at one process.

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <map>
#include <string>
#include <vector>

#include "workspace_deployment.h"

namespace bulrushway::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kWindow{5};
constexpr double kOverage = 1.1;
constexpr double kSlack = 20;

std::string Quota(double per_second, double burst) {
  return R"(,"rate_per_s":)" + std::to_string(per_second) + R"(,"burst":)" + std::to_string(burst);
}

size_t MostAllowed(double per_second, double burst) {
  return static_cast<size_t>((per_second * 5 + burst) * kOverage + kSlack);
}

// Callers of one workspace, which send at a constant rate.
class workspace_callers {
 public:
  // `name` begins the ids of the requests.
  workspace_callers(workspace_deployment& test, std::string name, std::string key)
      : test_(test), name_(std::move(name)), key_(std::move(key)) {}

  void Send(size_t entry) {
    const std::string id = name_ + std::to_string(requests_.size());
    const instant now = boot_clock::now();
    requests_.push_back(
        {id, now, test_.fleet.Send(entry, "/look/x", id, -1, seconds(5), Bearer(key_))});
  }
  void WaitForAnswers() {
    BOOST_TEST(test_.fleet.Until(
        [this] {
          return std::all_of(requests_.begin(), requests_.end(),
                             [](const sent_request& one) { return one.result->has_value(); });
        },
        kLimit));
  }
  // Number of answers by status; 0: none.
  std::map<int, size_t> Statuses() const {
    std::map<int, size_t> statuses;
    for (const sent_request& one : requests_) {
      if (one.result->has_value()) ++statuses[StatusOf(one)];
    }
    return statuses;
  }
  // Checks that requests over the quota have not run, and that their callers are told a time.
  void RequireRefusalsHold() const {
    for (const sent_request& one : requests_) {
      if (!one.result->has_value() || StatusOf(one) != 429) continue;
      const std::string wait = FindHeader((**one.result)->headers, "Retry-After");
      BOOST_TEST_CONTEXT(one.id << " has to wait for '" << wait << "'") {
        BOOST_TEST(std::atof(wait.c_str()) > 0);
        BOOST_TEST(test_.Executions(one.id).empty());
      }
    }
  }
  // Most requests that were both sent and run within a window.
  size_t MostInAWindow() const {
    std::map<std::string, std::vector<instant>> runs;
    for (const machine& each : test_.fleet.machines()) {
      for (const standin::execution& run : each.target->Executions()) {
        runs[run.request_id].push_back(run.started_at);
      }
    }
    size_t most = 0;
    for (const sent_request& first : requests_) {
      const instant end = first.sent + kWindow;
      size_t count = 0;
      for (const sent_request& one : requests_) {
        const auto found = runs.find(one.id);
        if (one.sent < first.sent || found == runs.end()) continue;
        count += static_cast<size_t>(
            std::count_if(found->second.begin(), found->second.end(),
                          [end](instant started_at) { return started_at <= end; }));
      }
      most = std::max(most, count);
    }
    return most;
  }
  // Requests that started to run in the window that ends now.
  size_t RunsInLastWindow() const {
    const instant start = boot_clock::now() - kWindow;
    size_t count = 0;
    for (const machine& each : test_.fleet.machines()) {
      for (const standin::execution& run : each.target->Executions()) {
        count += run.started_at > start && run.request_id.starts_with(name_) ? 1 : 0;
      }
    }
    return count;
  }

 private:
  struct sent_request {
    std::string id;
    instant sent{};
    std::shared_ptr<std::optional<outcome>> result;
  };

  static int StatusOf(const sent_request& one) {
    return one.result->value().has_value() ? (**one.result)->status : 0;
  }

  workspace_deployment& test_;
  std::string name_;
  std::string key_;
  std::vector<sent_request> requests_;
};

std::string Text(const std::map<int, size_t>& statuses) {
  std::string text;
  for (const auto& [status, count] : statuses) {
    text += std::to_string(status) + ": " + std::to_string(count) + " ";
  }
  return text;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(a_quota)

BOOST_AUTO_TEST_CASE(is_not_exceeded_by_callers_at_two_machines) {
  constexpr double kRate = 10;
  constexpr double kBurst = 10;
  workspace_deployment test({{"plain"}, {"plain"}, {"keyed"}, {"keyed"}});
  test.Configure(Configuration(1, Workspace("small", R"("small-key")", Quota(kRate, kBurst)) +
                                      Workspace("zero", R"("zero-key")", Quota(0, 0)) +
                                      Workspace("free", R"("free-key")")));
  BOOST_TEST(test.Status(0, "/look/x", Bearer("free-key")) == 200);
  BOOST_TEST(test.Status(1, "/look/x", Bearer("free-key")) == 200);

  workspace_callers small(test, "small-", "small-key");
  workspace_callers zero(test, "zero-", "zero-key");
  workspace_callers unlimited(test, "free-", "free-key");
  // Ten times the quota, for more than two windows. Callers of other workspaces send as well.
  const instant end = boot_clock::now() + 2 * kWindow + seconds(2);
  for (size_t round = 0; boot_clock::now() < end; ++round) {
    for (size_t entry = 0; entry < 2; ++entry) small.Send(entry);
    if (round % 10 == 0) {
      zero.Send(0);
      unlimited.Send(1);
    }
    test.fleet.Wait(milliseconds(20));
  }
  for (workspace_callers* callers : {&small, &zero, &unlimited}) callers->WaitForAnswers();
  BOOST_TEST_MESSAGE("small " << Text(small.Statuses()) << "most in a window "
                              << small.MostInAWindow());
  BOOST_TEST(small.MostInAWindow() <= MostAllowed(kRate, kBurst));
  BOOST_TEST(small.Statuses()[200] > 0U);
  BOOST_TEST(small.Statuses()[429] > 0U);
  small.RequireRefusalsHold();
  BOOST_TEST_CONTEXT("a workspace without a quota is not limited, nor by the quota of another") {
    BOOST_TEST(zero.Statuses()[429] == 0U);
    BOOST_TEST(unlimited.Statuses()[429] == 0U);
    BOOST_TEST(unlimited.Statuses()[200] > 0U);
  }
  BOOST_TEST_CONTEXT("it is served again afterwards") {
    for (size_t entry = 0; entry < 2; ++entry) {
      const auto served = [&] { return test.Status(entry, "/look/x", Bearer("small-key")) == 200; };
      BOOST_TEST(test.fleet.Until(served, kLimit));
    }
  }
}

BOOST_AUTO_TEST_CASE(can_be_used_in_full_at_one_machine) {
  constexpr double kRate = 20;
  constexpr double kBurst = 20;
  constexpr double kMinShare = 0.9;
  workspace_deployment test({{"plain"}, {"plain"}, {"keyed"}, {"keyed"}});
  test.Configure(Configuration(1, Workspace("small", R"("small-key")", Quota(kRate, kBurst))));
  workspace_callers callers(test, "small-", "small-key");
  // Twice the quota. What the issuers had at first is used up after the first window with refusals.
  // A pause of the machine costs tokens, therefore any of the following windows may be the one in
  // which the quota was used.
  const auto send_for = [&](seconds time, size_t enough) {
    const instant end = boot_clock::now() + time;
    size_t most = 0;
    while (boot_clock::now() < end && most < enough) {
      callers.Send(0);
      test.fleet.Wait(milliseconds(25));
      most = std::max(most, callers.RunsInLastWindow());
    }
    return most;
  };
  constexpr size_t kNever = 1'000'000;
  send_for(kWindow, kNever);
  BOOST_TEST(callers.Statuses()[429] > 0U);
  send_for(kWindow, kNever);
  constexpr auto kEnough = static_cast<size_t>(kRate * 5 * kMinShare);
  const size_t most = send_for(kLimit, kEnough);
  callers.WaitForAnswers();
  BOOST_TEST_MESSAGE("ran " << most << " in a window, answers " << Text(callers.Statuses()));
  BOOST_TEST(most >= kEnough);
  BOOST_TEST(callers.MostInAWindow() <= MostAllowed(kRate, kBurst));
  callers.RequireRefusalsHold();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway::testing
