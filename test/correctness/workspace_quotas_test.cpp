// Quotas of workspaces over several processes. A fleet must never run more than a quota allows,
// whatever its processes see of each other, and must not refuse callers that stay within it.

#include <fcntl.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "event_loop.h"
#include "quota_service.h"

namespace bulrushway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kWindow{5};

std::shared_ptr<const route_table> TableWith(double per_second, double burst) {
  workspace entry;
  entry.name = "w";
  entry.api_keys = {"k"};
  entry.requests_per_second = per_second;
  entry.burst = burst;
  return std::make_shared<route_table>(1, std::vector<route>{}, std::vector<service_policy>{},
                                       caller_limits{}, std::vector{entry});
}

// Processes that exchange messages with a delay; keys belong to them in turn.
class quota_fleet {
 public:
  explicit quota_fleet(size_t processes, double per_second, double burst)
      : table_(TableWith(per_second, burst)) {
    for (size_t i = 0; i < processes; ++i) {
      services_.push_back(nullptr);
      Restart(i);
    }
    Run(seconds(3), [](milliseconds) {});
  }

  void SetQuota(double per_second, double burst) { table_ = TableWith(per_second, burst); }
  void Restart(size_t index) {
    services_[index] = std::make_unique<quota_service>(log_, metrics_, NameOf(index), Ports(index));
  }
  // Processes of different sides cannot reach each other.
  void Cut(std::set<size_t> side) { side_ = std::move(side); }
  void Pause(size_t index, bool paused) { paused_[index] = paused; }

  void Request(size_t index) {
    ++requests_;
    services_[index]->Acquire(now_, "w", [this](instant when, const quota_verdict& verdict) {
      if (verdict.token) {
        granted_.push_back(when);
      } else {
        ++refused_;
        BOOST_TEST(verdict.wait.count() > 0);
      }
    });
  }
  // Runs for `time`, and calls `each` every millisecond with the time since the start.
  template <class Each>
  void Run(milliseconds time, Each each) {
    for (milliseconds passed{0}; passed < time; ++passed) {
      now_ += milliseconds(1);
      Deliver();
      each(passed);
      if (passed.count() % 25 != 0) continue;
      for (size_t i = 0; i < services_.size(); ++i) {
        if (!paused_[i]) services_[i]->Tick(now_);
      }
    }
  }
  // Most requests granted in any window since `from`.
  size_t MostInAWindow(instant from = {}) const {
    size_t most = 0;
    for (auto first = granted_.begin(); first != granted_.end(); ++first) {
      if (*first < from) continue;
      const auto end = std::lower_bound(first, granted_.end(), *first + kWindow);
      most = std::max(most, static_cast<size_t>(end - first));
    }
    return most;
  }
  size_t Granted() const { return granted_.size(); }
  size_t Refused() const { return refused_; }
  size_t Requests() const { return requests_; }
  size_t Messages() const { return messages_; }
  instant now() const { return now_; }

 private:
  struct message {
    size_t from = 0;
    size_t to = 0;
    peer_message content;
  };

  static std::string NameOf(size_t index) { return "n" + std::to_string(index); }
  bool Connected(size_t a, size_t b) const { return side_.contains(a) == side_.contains(b); }
  quota_service_ports Ports(size_t index) {
    const auto index_of = [](const std::string& name) { return std::stoul(name.substr(1)); };
    return {[this] { return table_; },
            [this](uint32_t key) { return NameOf(key % services_.size()); },
            [](instant) { return true; },
            [=, this](const std::string& name) -> std::optional<std::chrono::nanoseconds> {
              if (!Connected(index, index_of(name))) return std::nullopt;
              return 2 * DelayBetween(index, index_of(name));
            },
            [=, this](const std::string& name, const peer_message& content) {
              Send(index, index_of(name), content);
              return true;
            }};
  }
  static milliseconds DelayBetween(size_t a, size_t b) {
    constexpr size_t kRegions = 3;
    return a % kRegions == b % kRegions ? milliseconds(2) : milliseconds(20);
  }
  void Send(size_t from, size_t to, const peer_message& content) {
    ++messages_;
    messages_under_way_.emplace(now_ + DelayBetween(from, to), message{from, to, content});
  }
  void Deliver() {
    while (!messages_under_way_.empty() && messages_under_way_.begin()->first <= now_) {
      const message next = messages_under_way_.begin()->second;
      messages_under_way_.erase(messages_under_way_.begin());
      if (!Connected(next.from, next.to) || paused_[next.to]) continue;
      if (const auto* wanted = std::get_if<quota_request>(&next.content)) {
        Send(next.to, next.from, services_[next.to]->OnRequest(now_, *wanted));
      } else {
        services_[next.to]->OnAnswer(now_, std::get<quota_answer>(next.content));
      }
    }
  }

  event_loop loop_;
  decision_log log_{loop_, "test", open("/dev/null", O_WRONLY | O_CLOEXEC)};
  metrics metrics_;
  std::shared_ptr<const route_table> table_;
  std::vector<std::unique_ptr<quota_service>> services_;
  std::set<size_t> side_;
  std::map<size_t, bool> paused_;
  std::multimap<instant, message> messages_under_way_;
  instant now_{std::chrono::hours(1)};
  std::vector<instant> granted_;
  size_t refused_ = 0;
  size_t requests_ = 0;
  size_t messages_ = 0;
};

constexpr size_t kProcesses = 60;
constexpr double kRate = 200;
constexpr double kBurst = 200;
constexpr double kOverage = 1.1;
constexpr double kSlack = 20;

size_t Limit(double per_second, double burst) {
  return static_cast<size_t>((per_second * 5 + burst) * kOverage + kSlack);
}

// Requests at all processes in turn, `per_millisecond` each millisecond.
auto Flood(quota_fleet& fleet, size_t per_millisecond) {
  return [&fleet, per_millisecond, next = size_t{0}](milliseconds) mutable {
    for (size_t i = 0; i < per_millisecond; ++i) fleet.Request(next++ % kProcesses);
  };
}

}  // namespace

BOOST_AUTO_TEST_SUITE(a_quota_of_a_workspace)

BOOST_AUTO_TEST_CASE(is_used_in_full_by_callers_on_one_machine) {
  quota_fleet fleet(kProcesses, kRate, kBurst);
  fleet.Run(seconds(10), [&](milliseconds) { fleet.Request(7); });
  BOOST_TEST(fleet.Granted() >= static_cast<size_t>(kRate * 10 * 0.95));
  BOOST_TEST(fleet.MostInAWindow() <= Limit(kRate, kBurst));
}

BOOST_AUTO_TEST_CASE(is_used_by_callers_on_one_machine_though_its_burst_is_small) {
  quota_fleet fleet(kProcesses, 100, 20);
  fleet.Run(seconds(10), [&](milliseconds passed) {
    if (passed.count() % 11 == 0) fleet.Request(7);
  });
  BOOST_TEST(fleet.Granted() >= static_cast<size_t>(90 * 10 * 0.9));
  BOOST_TEST(fleet.MostInAWindow() <= Limit(100, 20));
}

BOOST_AUTO_TEST_CASE(is_not_exceeded_by_callers_at_all_processes) {
  quota_fleet fleet(kProcesses, kRate, kBurst);
  fleet.Run(seconds(10), Flood(fleet, 3));
  BOOST_TEST(fleet.Granted() >= static_cast<size_t>(kRate * 10 * 0.9));
  BOOST_TEST(fleet.MostInAWindow() <= Limit(kRate, kBurst));
}

BOOST_AUTO_TEST_CASE(refuses_nobody_while_the_demand_stays_below_it) {
  for (const double rate : {2.0, 5.0, 40.0, 200.0}) {
    quota_fleet fleet(kProcesses, rate, rate);
    const auto interval = static_cast<int64_t>(1000 / rate * 1.6);
    fleet.Run(seconds(20), [&, next = size_t{0}](milliseconds passed) mutable {
      if (passed.count() % interval == 0) fleet.Request((next += 7) % kProcesses);
    });
    BOOST_TEST_CONTEXT("rate " << rate) { BOOST_TEST(fleet.Refused() <= fleet.Requests() / 50); }
  }
}

BOOST_AUTO_TEST_CASE(is_not_exceeded_when_the_fleet_is_split) {
  quota_fleet fleet(kProcesses, kRate, kBurst);
  std::set<size_t> region;
  for (size_t i = 0; i < kProcesses; i += 3) region.insert(i);
  fleet.Cut(region);
  fleet.Run(seconds(10), Flood(fleet, 3));
  BOOST_TEST(fleet.MostInAWindow() <= Limit(kRate, kBurst));
  fleet.Cut({});
  fleet.Run(seconds(10), Flood(fleet, 3));
  BOOST_TEST(fleet.MostInAWindow() <= Limit(kRate, kBurst));
}

BOOST_AUTO_TEST_CASE(is_not_exceeded_by_a_process_that_was_paused) {
  quota_fleet fleet(kProcesses, kRate, kBurst);
  fleet.Run(seconds(2), Flood(fleet, 1));
  for (size_t i = 0; i < kProcesses; i += 2) fleet.Pause(i, true);
  fleet.Run(seconds(4), [](milliseconds) {});
  for (size_t i = 0; i < kProcesses; i += 2) fleet.Pause(i, false);
  fleet.Run(seconds(8), Flood(fleet, 3));
  BOOST_TEST(fleet.MostInAWindow() <= Limit(kRate, kBurst));
}

BOOST_AUTO_TEST_CASE(is_not_exceeded_when_processes_restart_again_and_again) {
  quota_fleet fleet(kProcesses, kRate, kBurst);
  fleet.Run(seconds(12), [&, flood = Flood(fleet, 3)](milliseconds passed) mutable {
    if (passed.count() % 100 == 0) fleet.Restart(passed.count() / 100 % kProcesses);
    flood(passed);
  });
  BOOST_TEST(fleet.MostInAWindow() <= Limit(kRate, kBurst));
}

BOOST_AUTO_TEST_CASE(binds_at_once_when_it_is_lowered) {
  quota_fleet fleet(kProcesses, kRate, kBurst);
  fleet.Run(seconds(3), Flood(fleet, 3));
  fleet.SetQuota(20, 20);
  const instant lowered = fleet.now() + seconds(1);
  fleet.Run(seconds(10), Flood(fleet, 3));
  BOOST_TEST(fleet.MostInAWindow(lowered) <= Limit(20, 20));
}

BOOST_AUTO_TEST_CASE(costs_fewer_messages_than_there_are_requests) {
  quota_fleet fleet(kProcesses, kRate, kBurst);
  fleet.Run(seconds(10), [&, next = size_t{0}](milliseconds passed) mutable {
    if (passed.count() % 8 == 0) fleet.Request(next++ % kProcesses);
  });
  BOOST_TEST_MESSAGE(fleet.Messages() << " messages for " << fleet.Requests() << " requests");
  BOOST_TEST(fleet.Messages() <= 2 * fleet.Requests());
}

BOOST_AUTO_TEST_CASE(gives_back_the_token_of_a_request_that_has_not_run) {
  quota_account account;
  const instant now{std::chrono::hours(1)};
  account.Add(now, "w", 1);
  const auto token = account.Take(now, "w");
  BOOST_REQUIRE(token.has_value());
  BOOST_TEST(!account.Take(now, "w").has_value());
  account.Return(now + milliseconds(10), "w", *token);
  BOOST_TEST(account.Take(now + milliseconds(20), "w").has_value());
  account.Return(now + quota_account::kTokenLifetime, "w", *token);
  BOOST_TEST(!account.Take(now + quota_account::kTokenLifetime, "w").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
