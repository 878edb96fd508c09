#include "load_output.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

namespace bulrushway::standin {
namespace {

using json = nlohmann::json;

// Maximum number of keys listed in the report, longest gaps first.
constexpr size_t kListedGaps = 20;
constexpr std::chrono::milliseconds kLongGap{500};

double Milliseconds(std::chrono::nanoseconds time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

json ToJson(const latency_summary& summary) {
  return {{"count", summary.count},
          {"p50_ms", Milliseconds(summary.p50)},
          {"p99_ms", Milliseconds(summary.p99)},
          {"p999_ms", Milliseconds(summary.p999)},
          {"largest_ms", Milliseconds(summary.largest)}};
}

json ToJson(const std::map<load_outcome, uint64_t>& outcomes) {
  json counts = json::object();
  for (int i = 0; i <= static_cast<int>(load_outcome::kUnreachable); ++i) {
    const auto outcome = static_cast<load_outcome>(i);
    const auto found = outcomes.find(outcome);
    counts[std::string(Name(outcome))] = found == outcomes.end() ? 0 : found->second;
  }
  return counts;
}

json ToJson(const load_window& window) {
  json object = ToJson(window.outcomes);
  object["from_ms"] = window.from.count();
  object["planned"] = window.planned;
  object["latency"] = ToJson(window.latency);
  return object;
}

json ToJson(const key_gap& gap) {
  return {{"service", gap.service},
          {"key", gap.key},
          {"from_ms", Milliseconds(gap.from)},
          {"gap_ms", Milliseconds(gap.length)},
          {"open", gap.open}};
}

json ToJson(const execution_check& check) {
  return {{"targets_read", check.targets_read},
          {"targets_unread", check.targets_unread},
          {"executions", check.executions},
          {"doubles", check.double_executions},
          {"false_not_run", check.false_not_run},
          {"whole_but_not_found", check.whole_but_not_found},
          {"examples", check.examples}};
}

uint64_t CountLongGaps(const std::vector<key_gap>& gaps) {
  uint64_t count = 0;
  for (const key_gap& gap : gaps) count += gap.length >= kLongGap ? 1 : 0;
  return count;
}

json GapsToJson(const std::vector<key_gap>& gaps) {
  json listed = json::array();
  for (size_t i = 0; i < gaps.size() && i < kListedGaps; ++i) listed.push_back(ToJson(gaps[i]));
  return {{"keys", gaps.size()},
          {"over_500_ms", CountLongGaps(gaps)},
          {"longest_ms", gaps.empty() ? 0 : Milliseconds(gaps.front().length)},
          {"listed", listed}};
}

std::string LatencyLine(const std::string& name, const latency_summary& summary) {
  return fmt::format("{:<28}{:>9}{:>9.1f}{:>9.1f}{:>9.1f}{:>9.1f}\n", name, summary.count,
                     Milliseconds(summary.p50), Milliseconds(summary.p99),
                     Milliseconds(summary.p999), Milliseconds(summary.largest));
}

}  // namespace

std::string ReportAsJson(const load_report& report, const load_sender_figures& sender) {
  const load_settings& settings = report.Settings();
  json services = json::object();
  for (uint32_t i = 0; i < settings.services.size(); ++i) {
    json service = ToJson(report.Latency(i));
    service["all"] = ToJson(report.LatencyOfAll(i));
    services[settings.services[i].name] = service;
  }
  json windows = json::array();
  for (const load_window& window : report.Windows()) windows.push_back(ToJson(window));
  const json document{{"seed", settings.seed},
                      {"rate", settings.rate},
                      {"duration_ms", settings.duration.count()},
                      {"started_ms", Milliseconds(sender.started.time_since_epoch())},
                      {"sent", report.Results().size()},
                      {"outcomes", ToJson(report.Outcomes())},
                      {"reasons", report.Refusals()},
                      {"services", services},
                      {"windows", windows},
                      {"unavailable", GapsToJson(report.Gaps())},
                      {"executions", ToJson(report.Executions())},
                      {"sender_lag", ToJson(sender.lag)},
                      {"connections_opened", sender.connections_opened}};
  return document.dump(1) + "\n";
}

std::string ReportAsTable(const load_report& report, const load_sender_figures& sender) {
  const load_settings& settings = report.Settings();
  std::string text = fmt::format("sent {} (seed {}, {}/s)\n", report.Results().size(),
                                 settings.seed, settings.rate);
  for (const auto& [outcome, count] : report.Outcomes()) {
    text += fmt::format("  {:<40}{:>9}\n", Name(outcome), count);
  }
  for (const auto& [reason, count] : report.Refusals()) {
    text += fmt::format("    {:<38}{:>9}\n", reason, count);
  }
  text += fmt::format("\n{:<28}{:>9}{:>9}{:>9}{:>9}{:>9}\n", "latency in ms", "count", "p50", "p99",
                      "p99.9", "largest");
  for (uint32_t i = 0; i < settings.services.size(); ++i) {
    text += LatencyLine(settings.services[i].name, report.Latency(i));
  }
  for (const load_window& window : report.Windows()) {
    text += LatencyLine(fmt::format("  from {} ms", window.from.count()), window.latency);
  }
  text += LatencyLine("sending behind the plan", sender.lag);
  const auto gaps = report.Gaps();
  if (!gaps.empty()) {
    text += fmt::format(
        "\nlongest time without service of a key: {:.0f} ms ({} of {} keys {} ms "
        "or more)\n",
        Milliseconds(gaps.front().length), CountLongGaps(gaps), gaps.size(), kLongGap.count());
  }
  const execution_check& check = report.Executions();
  text += fmt::format(
      "\ntargets read {}, not read {}; executions {}; run twice {}; "
      "\"not run\" but run {}; whole but not found {}\n",
      check.targets_read, check.targets_unread, check.executions, check.double_executions,
      check.false_not_run, check.whole_but_not_found);
  for (const std::string& id : check.examples) text += "  " + id + "\n";
  return text;
}

}  // namespace bulrushway::standin
