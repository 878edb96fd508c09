#ifndef BULRUSHWAY_QUOTA_SERVICE_H
#define BULRUSHWAY_QUOTA_SERVICE_H

// Quotas of workspaces in one process: obtains a token for each request of a workspace with a
// quota, from the parts that this process issues or from the issuers of the other parts, nearest
// first, and issues tokens to other processes. One question a workspace is under way at a time, so
// that a process sends fewer messages than it has requests, whatever the size of the fleet.

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "decision_log.h"
#include "metrics.h"
#include "peer_messages.h"
#include "quota_account.h"
#include "quota_ledger.h"
#include "route_table.h"

namespace bulrushway {

/// Callbacks of the quota service.
struct quota_service_ports {
  /// Configuration in force; null before the first one.
  std::function<std::shared_ptr<const route_table>()> configuration;
  /// Node that issues the part of a quota which belongs to this key; empty while there is none.
  std::function<std::string(uint32_t key)> issuer_of;
  /// Whether this process may issue tokens of its parts.
  std::function<bool(instant)> may_issue;
  /// Round trip to a node; empty when it cannot be reached.
  std::function<std::optional<std::chrono::nanoseconds>(const std::string& node)> round_trip;
  /// Sends a message to a node; false without a connection.
  std::function<bool(const std::string& node, const peer_message& message)> send;
};

/// Quotas of workspaces in one process.
class quota_service {
 public:
  using answer = std::function<void(instant, const quota_verdict&)>;

  quota_service(decision_log& log, metrics& counters, std::string node, quota_service_ports ports);

  /// Calls `done` once, during the call or later, with a token for a request of the workspace.
  void Acquire(instant now, const std::string& workspace, answer done);
  /// Returns the token of a request that was refused and has not run.
  void Return(instant now, const std::string& workspace, const quota_token& token) {
    account_.Return(now, workspace, token);
  }
  /// Answers a process that asks for tokens.
  quota_answer OnRequest(instant now, const quota_request& request);
  void OnAnswer(instant now, const quota_answer& received);
  /// Ends waits that took too long.
  void Tick(instant now);

 private:
  struct waiting_request {
    instant until;
    answer done;
  };
  struct question {
    uint64_t id = 0;
    uint32_t part = 0;
    instant sent{};
    instant until{};
  };
  // State of one workspace.
  struct workspace_state {
    std::deque<waiting_request> waiting;
    std::optional<question> outstanding;
    // Parts that were asked in this round, and the shortest wait that they named.
    std::set<uint32_t> asked;
    std::optional<std::chrono::milliseconds> shortest_wait;
    // No part had a token: requests are refused until then. Number of such rounds in series.
    instant dry_until{};
    uint32_t dry_rounds = 0;
    // EWMA of the tokens per second that this process obtained, at `obtained_at`.
    double obtained = 0;
    instant obtained_at{};
    // When the caller that was refused last was told to return.
    instant next_return{};
  };

  void UpdateParts(instant now);
  // Asks the parts that were not asked in this round, until one has to be waited for.
  void Ask(instant now, const std::string& workspace, workspace_state& state);
  // The nearest issuer of a part that was not asked yet; empty when none is left.
  std::optional<std::pair<uint32_t, std::string>> NextIssuer(const std::string& workspace,
                                                             const workspace_state& state) const;
  void TakeLoan(instant now, instant asked, const std::string& workspace, workspace_state& state,
                uint32_t part, const quota_loan& loan);
  static double ObtainedAt(instant now, const workspace_state& state);
  void EndRound(instant now, const std::string& workspace, workspace_state& state);
  // Refuses a request, and tells its caller when a token is likely to be left for it: callers that
  // are refused together must not return together.
  void Refuse(instant now, const std::string& workspace, workspace_state& state,
              std::chrono::milliseconds wait, const answer& done);

  decision_log& log_;
  metrics& metrics_;
  std::string node_;
  quota_service_ports ports_;
  quota_ledger ledger_;
  quota_account account_;
  std::map<std::string, workspace_state> states_;
  uint64_t next_question_ = 1;
  instant next_update_{};
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_QUOTA_SERVICE_H
