#ifndef BULRUSHWAY_REQUEST_ROUTER_H
#define BULRUSHWAY_REQUEST_ROUTER_H

// Accepts callers' requests, chooses the node that runs each, and returns the whole answer. Only
// the router decides on retries; a gate never retries, so that attempts at several hops cannot
// multiply.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "configuration_certainty.h"
#include "configuration_origin.h"
#include "decision_log.h"
#include "fleet_view.h"
#include "header_names.h"
#include "http_server.h"
#include "metrics.h"
#include "owner_hints.h"
#include "peer_mesh.h"
#include "quota_account.h"
#include "retry_budget.h"
#include "route_table.h"
#include "target_gate.h"

namespace bulrushway {

/// Callbacks into the rest of the process.
struct request_router_ports {
  /// Configuration in force; null before the first one.
  std::function<std::shared_ptr<const route_table>()> configuration;
  /// Node that owns a key; empty while the key has no owner.
  std::function<std::string(const std::string& service, uint32_t key)> owner_of;
  /// Time until a restarted process can serve requests; nullopt unless this process is stopping and
  /// refuses new requests.
  std::function<std::optional<std::chrono::milliseconds>(instant)> time_until_restart;
  /// Time by which all requests must be answered, because the process exits then.
  std::function<instant()> latest_deadline;
  /// Time after which a target that is leaving receives no more requests, keyed ones included.
  std::function<std::chrono::milliseconds()> drain_limit;
  /// Where the configuration in force came from.
  std::function<configuration_origin()> origin;
  /// Whether it may be taken for the newest one.
  std::function<configuration_certainty(instant)> certainty;
  /// Whether it is recent enough to accept the keys of workspaces by it.
  std::function<bool(instant)> may_accept_keys = [](instant) { return true; };
  /// Calls back once with a token for a request of the workspace, or without one when it is over
  /// its quota.
  std::function<void(instant, const std::string& workspace,
                     std::function<void(instant, const quota_verdict&)>)>
      take_quota = {};
  /// Returns the token of a request that has not run.
  std::function<void(instant, const std::string& workspace, const quota_token&)> return_quota = {};
};

/// Identity of this process and its retry limits.
struct request_router_settings {
  std::string node;
  /// Service of the target beside this process. Sent as the caller of all requests from here.
  std::string service;
  header_names headers;
  /// Retry budget: extra arrivals at targets that this process may cause, as a share of the
  /// requests it accepts, and the largest number of them it may save up. The limit applies to all
  /// processes together, and each sees only a part of the traffic.
  double retry_share = 0.15;
  double retry_burst = 3;
};

/// Routes the requests that callers send to one process.
class request_router {
 public:
  request_router(decision_log& log, metrics& counters, request_router_settings settings,
                 request_router_ports ports, fleet_view& fleet, peer_mesh& mesh, target_gate& gate,
                 uint64_t seed);
  ~request_router();

  /// Accepts a request. Its exchange is answered exactly once, during the call or later, unless the
  /// caller disconnects.
  void Handle(instant now, std::shared_ptr<http_exchange> exchange);
  /// Whether the request may run while earlier ones of the same connection have no answer: it may
  /// be repeated if the connection closes before its answer.
  bool MayOverlap(instant now, const http_request& request) const;
  /// Decides the answer to a request that the server for callers rejects before it is complete, and
  /// logs and counts it. Without a configuration the operators' limits are unknown: what exceeds
  /// the default ones is refused with 503.
  http_answer OnRejected(instant now, const rejected_request& rejected);
  /// Refuses requests whose deadline has passed, and starts the scheduled attempts that are due.
  void Tick(instant now);
  /// Reports that keys have changed owners: requests that wait for an owner are attempted again.
  void OnOwnersChanged(instant now);
  /// Number of requests that have no answer yet.
  size_t InFlight() const { return pending_requests_.size(); }

 private:
  struct pending_request;
  struct rejection;
  // Maximum number of gates tried for one request: each refusal costs a round trip.
  static constexpr uint32_t kMaxTries = 4;
  using pending_request_ptr = std::shared_ptr<pending_request>;

  bool Accept(instant now, const pending_request_ptr& pending);
  // Finds the workspace of the caller's key, and what its workspace changes for the request.
  // Returns false after a request without a valid key was answered.
  bool IdentifyWorkspace(instant now, const pending_request_ptr& pending);
  // Obtains a token of the workspace's quota, if it has one, and makes the first attempt.
  void AttemptWithinQuota(instant now, const pending_request_ptr& pending);
  // Returns the token of a request that ends without having run.
  void ReturnQuota(instant now, pending_request& pending);
  // Ends the request with a status of this process; returns false.
  bool Reject(instant now, const pending_request_ptr& pending, int status,
              const std::string& outcome);
  void Attempt(instant now, const pending_request_ptr& pending);
  const node_state* ChooseNode(instant now, pending_request& pending, refusal_reason& reason);
  // Sends through `relay` when the node cannot be reached directly; null: sends directly.
  void SendTo(instant now, const pending_request_ptr& pending, const node_state& to,
              const node_state* relay);
  // Sends to the owner, which cannot be reached, through another node. Returns false when there is
  // none; `reason` is then changed if the home regions of the request rule out that one is found.
  bool SendThroughRelay(instant now, const pending_request_ptr& pending, refusal_reason& reason);
  std::chrono::milliseconds MaxQueueWait(const pending_request& pending,
                                         std::chrono::milliseconds spare,
                                         std::chrono::milliseconds on_time_spare) const;
  dispatch_request MakeDispatch(instant now, const pending_request& pending,
                                const node_state& to) const;
  void OnAnswer(instant now, const pending_request_ptr& pending, uint64_t attempt,
                const std::string& node, dispatch_answer answer);
  // Owner of the request's key: the one that a gate named since the last change of the map,
  // otherwise the one in the map.
  std::string OwnerOf(const pending_request& pending) const;
  void UpdateRouteStats(const pending_request& pending, const dispatch_answer& answer);
  bool TakeRetry(pending_request& pending);
  void ScheduleAttempt(instant now, const pending_request_ptr& pending,
                       std::chrono::milliseconds wait);
  void Refuse(instant now, const pending_request_ptr& pending, refusal_reason reason);
  // Refuses a request that the configuration in force does not allow, if a newer one may allow it.
  bool RefuseIfUncertain(instant now, const pending_request_ptr& pending,
                         const std::string& reason);
  // Logs and counts a request that ends with a 4xx status of this process.
  void LogRejection(instant now, const rejection& rejected);
  void Complete(instant now, const pending_request_ptr& pending, http_answer answer,
                const std::string& outcome);
  void CancelAttempt(instant now, pending_request& pending);
  // Whether the current attempt may have reached a target.
  bool AttemptMayHaveRun(const pending_request& pending) const;
  // Refuses all requests without an answer, since the process is about to exit.
  void RefuseAll(instant now);
  void OnCallerDisconnected(uint64_t id);
  std::chrono::milliseconds ExpectedWork(const std::string& route) const;
  std::string RetryAfterText(std::chrono::milliseconds wait);
  retry_budget& BudgetOf(const std::string& service);

  decision_log& log_;
  metrics& metrics_;
  request_router_settings settings_;
  request_router_ports ports_;
  fleet_view& fleet_;
  peer_mesh& mesh_;
  target_gate& gate_;
  std::mt19937_64 rng_;
  uint64_t next_id_ = 1;
  std::map<uint64_t, pending_request_ptr> pending_requests_;
  std::multimap<instant, uint64_t> deadlines_;
  std::multimap<instant, uint64_t> scheduled_attempts_;
  std::map<std::string, retry_budget> budgets_;
  owner_hints owner_hints_;
  // Measurements of one route.
  struct route_stats {
    // EWMA of the execution time in milliseconds; zero when unknown.
    double work_ms = 0;
    // EWMA of the bytes of a request and its answer.
    double bytes = 0;
    // Longest timeout that a caller sent, which is that of a first attempt: a caller that retries
    // after a refusal sends only the rest.
    std::chrono::milliseconds longest_timeout{0};
  };
  std::map<std::string, route_stats> route_stats_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_REQUEST_ROUTER_H
