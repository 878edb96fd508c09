#ifndef BULRUSHWAY_LOAD_REPORT_H
#define BULRUSHWAY_LOAD_REPORT_H

// Evaluates a load: outcomes, latencies measured from the planned send time, the time for which
// keys were unavailable, and the consistency of the answers with the targets' execution logs.

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "http_message.h"
#include "load_plan.h"

namespace bulrushway::standin {

/// Outcome of one request.
enum class load_outcome {
  /// The complete answer to this request arrived before the deadline.
  kWhole,
  /// The complete answer arrived after the deadline.
  kLate,
  /// The request was refused with a reason.
  kRefused,
  /// The body is truncated or altered.
  kTruncated,
  /// The answer belongs to another request.
  kCrossed,
  /// The status is not 200 and no reason is given.
  kUnexpectedStatus,
  /// The connection was closed, or the request timed out, without an answer.
  kLost,
  /// No entry accepted a connection, so the request was not run.
  kUnreachable,
};

/// Name of the outcome in reports, such as "whole" or "late".
std::string_view Name(load_outcome outcome);

/// One finished request.
struct load_result {
  planned_request request;
  load_outcome outcome = load_outcome::kLost;
  /// Reason of a refusal.
  std::string reason;
  /// True if the answer states that the request was not run, or if no entry accepted a connection.
  bool not_run = false;
  /// Time from the planned send time to the answer or the failure.
  std::chrono::nanoseconds latency{0};
};

/// Compares an answer with its request and sets outcome, reason and not_run of `finished`, whose
/// request and latency must be set. `path_suffix` is the expected end of the path at the target.
void Classify(const http_answer& answer, const std::string& key, const std::string& path_suffix,
              std::chrono::nanoseconds deadline, load_result& finished);

/// Quantiles of a set of latencies.
struct latency_summary {
  uint64_t count = 0;
  std::chrono::nanoseconds p50{0};
  std::chrono::nanoseconds p99{0};
  std::chrono::nanoseconds p999{0};
  std::chrono::nanoseconds largest{0};
};

/// Computes the quantiles; sorts `latencies`.
latency_summary Summarize(std::vector<std::chrono::nanoseconds>& latencies);

/// Outcomes of the requests whose planned send time lies in one time window.
struct load_window {
  std::chrono::milliseconds from{0};
  uint64_t planned = 0;
  std::map<load_outcome, uint64_t> outcomes;
  latency_summary latency;
};

/// Longest time for which one key of one service was unavailable.
struct key_gap {
  std::string service;
  uint32_t key = 0;
  /// Planned time of the request at which the gap begins.
  std::chrono::nanoseconds from{0};
  std::chrono::nanoseconds length{0};
  /// True if no later request succeeded; the gap then ends with the load.
  bool open = false;
};

/// Result of comparing the answers with the targets' execution logs.
struct execution_check {
  uint64_t targets_read = 0;
  uint64_t targets_unread = 0;
  uint64_t executions = 0;
  /// Requests that ran more than once although they are not idempotent.
  uint64_t double_executions = 0;
  /// Requests that were answered as not run although a target ran them.
  uint64_t false_not_run = 0;
  /// Writes with a complete answer that are in no execution log that could be read.
  uint64_t whole_but_not_found = 0;
  /// Ids of requests that ran twice or were falsely reported as not run, at most ten.
  std::vector<std::string> examples;
};

/// Collects results and evaluates them at the end.
class load_report {
 public:
  load_report(load_settings settings, std::chrono::milliseconds window);

  void Add(load_result finished) { results_.push_back(std::move(finished)); }
  /// Compares the answers with `runs`, the executions of all targets by id.
  void CheckExecutions(const std::unordered_map<std::string, uint64_t>& runs, uint64_t targets_read,
                       uint64_t targets_unread, uint64_t executions);

  const std::vector<load_result>& Results() const { return results_; }
  std::map<load_outcome, uint64_t> Outcomes() const;
  /// Refusals by "reason (run state)".
  std::map<std::string, uint64_t> Refusals() const;
  /// Latency of the requests of one service that were answered completely, late ones included.
  latency_summary Latency(uint32_t service) const;
  /// Latency of all requests of one service. A request without a complete answer contributes the
  /// deadline or its own latency, whichever is larger, so that fast failures do not lower the
  /// figures.
  latency_summary LatencyOfAll(uint32_t service) const;
  std::vector<load_window> Windows() const;
  /// Gaps of all keys of keyed services, longest first.
  std::vector<key_gap> Gaps() const;
  const execution_check& Executions() const { return executions_; }
  const load_settings& Settings() const { return settings_; }

 private:
  load_settings settings_;
  std::chrono::milliseconds window_;
  std::vector<load_result> results_;
  execution_check executions_;
};

}  // namespace bulrushway::standin

#endif  // BULRUSHWAY_LOAD_REPORT_H
