#ifndef BULRUSHWAY_LOAD_REPORT_H
#define BULRUSHWAY_LOAD_REPORT_H

// What came of a load: classes of outcomes, latencies from the planned send time, the time for
// which keys had no service, and whether the targets ran what they should have.

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "http_message.h"
#include "load_plan.h"

namespace bulrushway::standin {

/// What became of one request.
enum class load_outcome {
  /// The whole answer to this request came.
  kWhole,
  /// As kWhole, but after the deadline.
  kLate,
  /// Refused with a reason.
  kRefused,
  /// The body is cut or changed.
  kTruncated,
  /// The answer belongs to another request.
  kCrossed,
  /// A status without a reason.
  kUnexpectedStatus,
  /// The connection ended or the time passed without an answer.
  kLost,
  /// No entry accepted a connection: not run.
  kUnreachable,
};

/// "whole", "late" and so on.
std::string_view Name(load_outcome outcome);

/// One finished request.
struct load_result {
  planned_request request;
  load_outcome outcome = load_outcome::kLost;
  /// Reason of a refusal.
  std::string reason;
  /// True when the answer says that the request was not run.
  bool not_run = false;
  /// From the planned send time to the end.
  std::chrono::nanoseconds latency{0};
};

/// Compares an answer with its request and fills outcome, reason and run state. `path_end` is what
/// the path at the target must end with; the latency is set by the caller before.
void Classify(const http_answer& answer, const std::string& key, const std::string& path_suffix,
              std::chrono::nanoseconds deadline, load_result& finished);

/// Latencies of answers.
struct latency_summary {
  uint64_t count = 0;
  std::chrono::nanoseconds p50{0};
  std::chrono::nanoseconds p99{0};
  std::chrono::nanoseconds p999{0};
  std::chrono::nanoseconds largest{0};
};

/// Quantiles of the latencies, which are sorted in the course.
latency_summary Summarize(std::vector<std::chrono::nanoseconds>& latencies);

/// Outcomes of the requests planned in one span of time.
struct load_window {
  std::chrono::milliseconds from{0};
  uint64_t planned = 0;
  std::map<load_outcome, uint64_t> outcomes;
  latency_summary latency;
};

/// Longest time without service of one key of one service.
struct key_gap {
  std::string service;
  uint32_t key = 0;
  /// Planned time of the request that waited longest for a success.
  std::chrono::nanoseconds from{0};
  std::chrono::nanoseconds length{0};
  /// No later request succeeded.
  bool open = false;
};

/// What the targets say that they ran.
struct execution_check {
  uint64_t targets_read = 0;
  uint64_t targets_unread = 0;
  uint64_t executions = 0;
  /// Requests that are not idempotent and ran more than once.
  uint64_t double_executions = 0;
  /// Requests that were answered "not run" and ran.
  uint64_t false_not_run = 0;
  /// Writes answered whole that no target that could be read has run.
  uint64_t whole_but_not_found = 0;
  /// Ids of doubles and false refusals, at most ten.
  std::vector<std::string> examples;
};

/// Collects results and evaluates them at the end.
class load_report {
 public:
  load_report(load_settings settings, std::chrono::milliseconds window);

  void Add(load_result finished) { results_.push_back(std::move(finished)); }
  /// Compares with the runs that targets counted under each id.
  void CheckExecutions(const std::unordered_map<std::string, uint64_t>& runs, uint64_t targets_read,
                       uint64_t targets_unread, uint64_t executions);

  const std::vector<load_result>& Results() const { return results_; }
  std::map<load_outcome, uint64_t> Outcomes() const;
  /// Refusals by "reason (run state)".
  std::map<std::string, uint64_t> Refusals() const;
  /// Latency of the requests of one service that were answered whole, late ones included.
  latency_summary Latency(uint32_t service) const;
  /// Latency of all requests of one service; one without a whole answer counts with the deadline
  /// or its own end, whichever is later, so that failing fast does not look quick.
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
