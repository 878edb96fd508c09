#ifndef BULRUSHWAY_EXECUTION_AUDIT_H
#define BULRUSHWAY_EXECUTION_AUDIT_H

// Compares what callers were told with what the targets ran: nothing runs twice, what is said to be
// "not run" did not run, and no slice is served under two epochs at once.

#include <map>
#include <set>
#include <string>

#include "test_fleet.h"

namespace bulrushway::testing {

/// Keeps the outcome of each request of a test.
class execution_audit {
 public:
  explicit execution_audit(test_fleet& fleet) : fleet_(fleet) {}

  /// Sends a keyed request that must not run twice and notes its outcome.
  http_answer Post(const std::string& entry, const std::string& key);
  /// Executions by target, to be taken before a target is killed.
  void CollectExecutions();
  /// Requests that ran more than once.
  size_t RunTwice() const;
  /// Requests that were said to be "not run" and ran.
  size_t RunDespiteNotRun() const;
  /// Requests that were answered whole and are found at no target.
  size_t AnsweredButNotRun() const;
  /// Requests whose outcome is unknown.
  size_t Unknown() const { return unknown_; }
  size_t Answered() const { return answered_.size(); }
  size_t Refused() const { return not_run_.size(); }

 private:
  test_fleet& fleet_;
  uint64_t next_id_ = 0;
  std::set<std::string> answered_;
  std::set<std::string> not_run_;
  size_t unknown_ = 0;
  /// Runs of each request, by the target and its start.
  std::map<std::string, std::map<std::string, uint64_t>> runs_;
};

}  // namespace bulrushway::testing

#endif  // BULRUSHWAY_EXECUTION_AUDIT_H
