// Compares load-balancing policies: sends one planned load directly to targets, choosing among them
// by the named policy, and prints the report as JSON.

#include <gflags/gflags.h>

#include <cstdio>

#include "balance_client.h"
#include "standin_main.h"

DEFINE_string(targets, "", "addresses of the targets, separated by commas");
DEFINE_string(policy, "scored",
              "random, round_robin, least_requests, two_choices, marginal_utility or scored");
DEFINE_bool(hedge, false, "send hedged requests, within the budget");
DEFINE_uint64(routers, 5, "simulated routers that choose targets independently of each other");
DEFINE_double(rate, 1000, "requests a second");
DEFINE_double(duration_s, 5, "duration of the load in seconds");
DEFINE_uint64(deadline_ms, 1000,
              "deadline of each request in milliseconds, from its planned send time");
DEFINE_uint64(seed, 1, "random seed of the plan");

namespace bulrushway::standin {
namespace {

template <target_picker Picker>
int RunPolicy(const load_settings& plan, const balance_settings& settings) {
  event_loop loop;
  balance_client<Picker> client(loop, load_plan(plan), settings);
  RunService(loop, "balance", client);
  std::string text = ReportAsJson(client.Report(), client.SenderFigures());
  text.insert(text.find('{') + 1, "\n \"hedges\": " + std::to_string(client.Hedges()) + ",");
  std::fputs(text.c_str(), stdout);
  return 0;
}

int RunNamed(const std::string& policy, const load_settings& plan,
             const balance_settings& settings) {
  if (policy == "random") return RunPolicy<random_picker>(plan, settings);
  if (policy == "round_robin") return RunPolicy<round_robin_picker>(plan, settings);
  if (policy == "least_requests") return RunPolicy<least_requests_picker>(plan, settings);
  if (policy == "two_choices") return RunPolicy<two_choices_picker>(plan, settings);
  if (policy == "marginal_utility") return RunPolicy<marginal_utility_picker>(plan, settings);
  if (policy == "scored") return RunPolicy<scored_picker>(plan, settings);
  ExitWithError(
      {error_kind::kUser, "read flags", "--policy", "Unknown policy \"" + policy + "\"."});
}

int Run(int argc, char** argv) {
  gflags::SetUsageMessage("compares load-balancing policies");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  load_settings plan;
  plan.services = {{"corredores", false, 1.0}};
  plan.rate = FLAGS_rate;
  plan.duration = std::chrono::milliseconds{static_cast<int64_t>(FLAGS_duration_s * 1000)};
  plan.deadline = std::chrono::milliseconds{FLAGS_deadline_ms};
  plan.seed = FLAGS_seed;
  balance_settings settings;
  settings.targets = AddressesOrExit(FLAGS_targets);
  settings.routers = FLAGS_routers;
  settings.hedge = FLAGS_hedge;
  return RunNamed(FLAGS_policy, plan, settings);
}

}  // namespace
}  // namespace bulrushway::standin

int main(int argc, char** argv) { return bulrushway::standin::Run(argc, argv); }
