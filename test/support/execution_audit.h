#ifndef BULRUSHWAY_EXECUTION_AUDIT_H
#define BULRUSHWAY_EXECUTION_AUDIT_H

// Compares the answers that callers received with the executions that targets recorded: no request
// runs twice, and a request that was reported as "not run" did not run.

#include <map>
#include <set>
#include <string>

#include "test_fleet.h"

namespace bulrushway::testing {

/// Records the outcome of each request of a test.
class execution_audit {
 public:
  explicit execution_audit(test_fleet& fleet) : fleet_(fleet) {}

  /// Sends a keyed, non-idempotent request and records its outcome.
  http_answer Post(const std::string& entry, const std::string& key);
  /// Reads the executions of all targets. Call it before a target is killed, which loses its
  /// records.
  void CollectExecutions();
  /// Requests that ran more than once.
  size_t RunTwice() const;
  /// Requests that were reported as "not run" and ran nevertheless.
  size_t RunDespiteNotRun() const;
  /// Requests that were answered with status 200 and that no target recorded.
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
  /// Executions of each request, by target and boot id.
  std::map<std::string, std::map<std::string, uint64_t>> runs_;
};

}  // namespace bulrushway::testing

#endif  // BULRUSHWAY_EXECUTION_AUDIT_H
