#include "load_report.h"

#include <algorithm>

#include "answer_text.h"

namespace bulrushway::standin {
namespace {

using std::chrono::nanoseconds;

constexpr size_t kMaxExamples = 10;

bool HasWholeAnswer(load_outcome outcome) {
  return outcome == load_outcome::kWhole || outcome == load_outcome::kLate;
}

nanoseconds Quantile(const std::vector<nanoseconds>& sorted, double share) {
  if (sorted.empty()) return nanoseconds{0};
  const auto rank = static_cast<size_t>(share * static_cast<double>(sorted.size()));
  return sorted[std::min(rank, sorted.size() - 1)];
}

// Returns the longest time from the planned time of a request to the earliest success among that
// request and the later ones.
key_gap LongestGap(std::vector<const load_result*> results) {
  std::stable_sort(results.begin(), results.end(), [](const auto* left, const auto* right) {
    return left->request.at < right->request.at;
  });
  key_gap longest;
  nanoseconds earliest_success = nanoseconds::max();
  const nanoseconds end = results.back()->request.at + results.back()->latency;
  for (auto it = results.rbegin(); it != results.rend(); ++it) {
    const load_result& each = **it;
    if (HasWholeAnswer(each.outcome))
      earliest_success = std::min(earliest_success, each.request.at + each.latency);
    const bool open = earliest_success == nanoseconds::max();
    const nanoseconds length = (open ? end : earliest_success) - each.request.at;
    if (length < longest.length) continue;
    longest.from = each.request.at;
    longest.length = length;
    longest.open = open;
  }
  return longest;
}

}  // namespace

std::string_view Name(load_outcome outcome) {
  switch (outcome) {
    case load_outcome::kWhole:
      return "whole";
    case load_outcome::kLate:
      return "late";
    case load_outcome::kRefused:
      return "refused";
    case load_outcome::kTruncated:
      return "truncated";
    case load_outcome::kCrossed:
      return "crossed";
    case load_outcome::kUnexpectedStatus:
      return "unexpected_status";
    case load_outcome::kLost:
      return "lost";
    case load_outcome::kUnreachable:
      return "unreachable";
  }
  return "unknown";
}

void Classify(const http_answer& answer, const std::string& key, const std::string& path_suffix,
              nanoseconds deadline, load_result& finished) {
  const planned_request& request = finished.request;
  const std::string echoed = FindHeader(answer.headers, "X-Bulrush-Request-Id");
  if (!echoed.empty() && echoed != request.request_id) {
    finished.outcome = load_outcome::kCrossed;
    return;
  }
  finished.reason = FindHeader(answer.headers, "X-Bulrush-Reason");
  if (!finished.reason.empty()) {
    finished.outcome = load_outcome::kRefused;
    finished.not_run = FindHeader(answer.headers, "X-Bulrush-Run-State") == "not run";
    return;
  }
  if (answer.status != 200) {
    finished.outcome = load_outcome::kUnexpectedStatus;
    finished.reason = std::to_string(answer.status);
    return;
  }
  const auto fields = ParseAnswer(answer.body);
  if (!fields) {
    finished.outcome = load_outcome::kTruncated;
    return;
  }
  const bool id_matches =
      fields->request_id == request.request_id ||
      (!request.idempotency_key.empty() && fields->request_id.starts_with("load-") &&
       (fields->request_id == request.repeat_of || fields->request_id == request.request_id + "r"));
  const bool key_matches = fields->key.empty() || fields->key == key;
  if (!id_matches || !key_matches || !fields->path.ends_with(path_suffix)) {
    finished.outcome = load_outcome::kCrossed;
    return;
  }
  finished.outcome = finished.latency > deadline ? load_outcome::kLate : load_outcome::kWhole;
}

latency_summary Summarize(std::vector<nanoseconds>& latencies) {
  std::sort(latencies.begin(), latencies.end());
  latency_summary summary;
  summary.count = latencies.size();
  summary.p50 = Quantile(latencies, 0.5);
  summary.p99 = Quantile(latencies, 0.99);
  summary.p999 = Quantile(latencies, 0.999);
  summary.largest = Quantile(latencies, 1);
  return summary;
}

load_report::load_report(load_settings settings, std::chrono::milliseconds window)
    : settings_(std::move(settings)), window_(window) {}

void load_report::CheckExecutions(const std::unordered_map<std::string, uint64_t>& runs,
                                  uint64_t targets_read, uint64_t targets_unread,
                                  uint64_t executions) {
  executions_ = execution_check{targets_read, targets_unread, executions, 0, 0, 0, {}};
  // Repeats under one idempotency key are evaluated as one request. It is reported as not run only
  // if all of its answers say so.
  struct reported_outcome {
    bool whole = false;
    bool not_run = true;
  };
  std::unordered_map<std::string, reported_outcome> reported;
  for (const load_result& each : results_) {
    const planned_request& request = each.request;
    if (request.idempotent) continue;
    const bool has_idempotency_key = !request.idempotency_key.empty();
    reported_outcome& outcome =
        reported[has_idempotency_key ? request.idempotency_key : request.request_id];
    outcome.whole = outcome.whole || HasWholeAnswer(each.outcome);
    outcome.not_run = outcome.not_run && each.not_run;
  }
  for (const auto& [id, outcome] : reported) {
    const auto found = runs.find(id);
    const uint64_t count = found == runs.end() ? 0 : found->second;
    if (count > 1) ++executions_.double_executions;
    if (count > 0 && outcome.not_run) ++executions_.false_not_run;
    if (count == 0 && outcome.whole) ++executions_.whole_but_not_found;
    const bool wrong = count > 1 || (count > 0 && outcome.not_run);
    if (wrong && executions_.examples.size() < kMaxExamples) executions_.examples.push_back(id);
  }
}

std::map<load_outcome, uint64_t> load_report::Outcomes() const {
  std::map<load_outcome, uint64_t> counts;
  for (const load_result& each : results_) ++counts[each.outcome];
  return counts;
}

std::map<std::string, uint64_t> load_report::Refusals() const {
  std::map<std::string, uint64_t> counts;
  for (const load_result& each : results_) {
    if (each.reason.empty()) continue;
    ++counts[each.reason + (each.not_run ? " (not run)" : " (outcome unknown)")];
  }
  return counts;
}

latency_summary load_report::Latency(uint32_t service) const {
  std::vector<nanoseconds> latencies;
  for (const load_result& each : results_) {
    const bool included = each.request.service == service && HasWholeAnswer(each.outcome);
    if (included) latencies.push_back(each.latency);
  }
  return Summarize(latencies);
}

latency_summary load_report::LatencyOfAll(uint32_t service) const {
  std::vector<nanoseconds> latencies;
  for (const load_result& each : results_) {
    if (each.request.service != service) continue;
    const nanoseconds failed_latency = std::max<nanoseconds>(settings_.deadline, each.latency);
    latencies.push_back(HasWholeAnswer(each.outcome) ? each.latency : failed_latency);
  }
  return Summarize(latencies);
}

std::vector<load_window> load_report::Windows() const {
  std::map<int64_t, load_window> windows;
  std::map<int64_t, std::vector<nanoseconds>> latencies;
  for (const load_result& each : results_) {
    const int64_t index = each.request.at / window_;
    load_window& window = windows[index];
    window.from = index * window_;
    ++window.planned;
    ++window.outcomes[each.outcome];
    if (HasWholeAnswer(each.outcome)) latencies[index].push_back(each.latency);
  }
  std::vector<load_window> ordered;
  for (auto& [index, window] : windows) {
    window.latency = Summarize(latencies[index]);
    ordered.push_back(window);
  }
  return ordered;
}

std::vector<key_gap> load_report::Gaps() const {
  std::map<std::pair<uint32_t, uint32_t>, std::vector<const load_result*>> by_key;
  for (const load_result& each : results_) {
    if (!settings_.services[each.request.service].keyed) continue;
    by_key[{each.request.service, each.request.key}].push_back(&each);
  }
  std::vector<key_gap> gaps;
  for (auto& [service_and_key, results] : by_key) {
    key_gap gap = LongestGap(std::move(results));
    gap.service = settings_.services[service_and_key.first].name;
    gap.key = service_and_key.second;
    gaps.push_back(gap);
  }
  std::stable_sort(gaps.begin(), gaps.end(), [](const key_gap& left, const key_gap& right) {
    return left.length > right.length;
  });
  return gaps;
}

}  // namespace bulrushway::standin
