#ifndef BULRUSHWAY_REQUEST_ROUTER_H
#define BULRUSHWAY_REQUEST_ROUTER_H

// Takes callers' requests in, finds where each may run, and brings the whole answer back. All
// attempts of a request are decided here and nowhere else: a gate never tries again, so that the
// attempts of several hops cannot multiply.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "decision_log.h"
#include "fleet_view.h"
#include "header_names.h"
#include "http_server.h"
#include "metrics.h"
#include "owner_hints.h"
#include "peer_mesh.h"
#include "retry_budget.h"
#include "route_table.h"
#include "target_gate.h"

namespace bulrushway {

/// What the router asks of the rest of the process.
struct request_router_ports {
  /// The configuration in force; null while there is none.
  std::function<std::shared_ptr<const route_table>()> configuration;
  /// The node that owns a key; empty while nobody does.
  std::function<std::string(const std::string& service, uint32_t key)> owner_of;
  /// Time until this process can serve again, if it is stopping and takes no new requests.
  std::function<std::optional<std::chrono::milliseconds>(instant)> time_until_restart;
  /// By when requests have to be answered, since the process ends then.
  std::function<instant()> latest_deadline;
};

/// Who this process is, towards callers.
struct request_router_settings {
  std::string node;
  /// Service of the target beside this process: the caller's name of all requests from here.
  std::string service;
  header_names headers;
  /// Extra arrivals at targets that this process may cause, as a share of the requests it takes,
  /// and how many of them may be saved up. All processes share one limit and see a part of the
  /// traffic each.
  double retry_share = 0.15;
  double retry_burst = 3;
};

/// The callers' side of one process.
class request_router {
 public:
  request_router(decision_log& log, metrics& counters, request_router_settings settings,
                 request_router_ports ports, fleet_view& fleet, peer_mesh& mesh, target_gate& gate,
                 uint64_t seed);
  ~request_router();

  /// Takes a caller's request; its exchange is answered once, now or later.
  void Handle(instant now, std::shared_ptr<http_exchange> exchange);
  /// Ends requests whose time is over, and tries those again that wait for an owner.
  void Tick(instant now);
  /// Keys have changed owners: requests that wait for that are tried again.
  void OnOwnersChanged(instant now);
  /// Requests of callers under way.
  size_t InFlight() const { return pending_requests_.size(); }

 private:
  struct pending_request;
  using pending_request_ptr = std::shared_ptr<pending_request>;

  bool Accept(instant now, const pending_request_ptr& pending);
  void Attempt(instant now, const pending_request_ptr& pending);
  const node_state* ChooseNode(instant now, pending_request& pending, refusal_reason& reason);
  // Passes the request on through `relay` when the node cannot be reached directly.
  void SendTo(instant now, const pending_request_ptr& pending, const node_state& to,
              const node_state* relay);
  bool SendThroughRelay(instant now, const pending_request_ptr& pending);
  std::chrono::milliseconds MaxQueueWait(const pending_request& pending,
                                         std::chrono::milliseconds spare,
                                         std::chrono::milliseconds on_time_spare) const;
  dispatch_request MakeDispatch(instant now, const pending_request& pending,
                                const node_state& to) const;
  void OnAnswer(instant now, const pending_request_ptr& pending, uint64_t attempt,
                const std::string& node, dispatch_answer answer);
  // The owner of the request's key, by the map or by what a gate has said since.
  std::string OwnerOf(const pending_request& pending) const;
  void UpdateRouteStats(const pending_request& pending, const dispatch_answer& answer);
  bool TakeRetry(pending_request& pending);
  void ScheduleAttempt(instant now, const pending_request_ptr& pending,
                       std::chrono::milliseconds wait);
  void Refuse(instant now, const pending_request_ptr& pending, refusal_reason reason);
  void Complete(instant now, const pending_request_ptr& pending, http_answer answer,
                const std::string& outcome);
  void CancelAttempt(instant now, pending_request& pending);
  // Answers all requests under way: the process ends in a moment.
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
  // What is learned of a route.
  struct route_stats {
    // Usual time of work, in milliseconds.
    double work_ms = 0;
    // Bytes of a request and its answer.
    double bytes = 0;
    // Longest time that a caller said it will wait: that of a first attempt. A caller that comes
    // back after a refusal says less.
    std::chrono::milliseconds longest_timeout{0};
  };
  std::map<std::string, route_stats> route_stats_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_REQUEST_ROUTER_H
