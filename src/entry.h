#ifndef BULRUSHWAY_ENTRY_H
#define BULRUSHWAY_ENTRY_H

// Accepts callers' requests, routes each to a node that may run it, and returns the complete
// answer. Only the entry retries and hedges, so that attempts do not multiply over several hops.

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <variant>

#include "caller_request.h"
#include "fleet_view.h"
#include "gate.h"
#include "hedge_policy.h"
#include "http_server.h"
#include "link_budget.h"
#include "metrics.h"
#include "peer_mesh.h"
#include "retry_budget.h"
#include "retry_rules.h"
#include "service_targets.h"
#include "slice.h"

namespace bulrushway {

/// Routing properties of a service.
struct service_info {
  bool keyed = false;
  slice_layout layout;
  std::chrono::milliseconds default_deadline{2000};
};

/// Queries and notifications that the rest of the process provides to the entry.
struct entry_callbacks {
  /// Whether a configuration is in force.
  std::function<bool()> configured;
  /// Returns the service, or null if it does not exist.
  std::function<const service_info*(const std::string& service)> find_service;
  /// Regions to which the request is bound; empty means that any region may serve it.
  std::function<std::vector<std::string>(const dispatch_request&)> home_regions;
  /// Whether the configuration marks the route of the request as idempotent.
  std::function<bool(const dispatch_request&)> idempotent_route;
  /// Whether the rules allow new requests to the node.
  std::function<bool(instant, const node_state&)> may_use;
  /// Name of the node that owns the slice; empty while the slice has no owner.
  std::function<std::string(const std::string& service, uint32_t slice)> owner_of;
  /// Called when a gate refuses a request because it does not own the slice: the local view of the
  /// owners is out of date.
  std::function<void(instant)> on_owners_outdated;
  /// Whether the process is stopping and accepts no new requests.
  std::function<bool()> stopping;
};

/// The available target selection policies. `scored` is the default; the others serve for
/// comparison on real processes.
using any_picker = std::variant<scored_picker, random_picker, round_robin_picker,
                                least_requests_picker, two_choices_picker, marginal_utility_picker>;

/// Creates the policy with this name: scored, random, round_robin, least_requests, two_choices or
/// marginal_utility. Any other name is a user error.
result<any_picker> MakePicker(const std::string& name);

/// Identity, location and limits of this process.
struct entry_settings {
  std::string node;
  node_location location;
  deadline_limits deadlines;
  size_t max_body_bytes = 1 << 20;
  /// Maximum number of callers' requests in flight.
  size_t max_requests = 20000;
  /// Chooses the targets of lookup requests.
  any_picker picker;
  /// Whether slow idempotent requests are hedged.
  bool hedge = true;
};

/// Accepts and routes the requests of callers at one process.
class entry {
 public:
  entry(event_loop& loop, metrics& counters, entry_settings settings, entry_callbacks callbacks,
        const fleet_view& fleet, peer_mesh& peers, gate& own_gate, uint64_t seed);
  ~entry();

  /// Handles a caller's request. The exchange is answered exactly once, possibly before this
  /// returns, unless the caller disconnects first.
  void Handle(instant now, std::shared_ptr<http_exchange> exchange);
  /// Ends requests past their deadline and periodically refreshes the targets from the fleet view.
  void Tick(instant now);
  /// Number of callers' requests in flight.
  size_t InFlight() const { return pending_requests_.size(); }
  /// Byte counts and limits of the links between regions.
  const link_budget& links() const { return links_; }

 private:
  struct attempt;
  struct pending_request;
  struct service_state;

  service_state& StateOf(const std::string& service);
  bool Accept(instant now, const std::shared_ptr<pending_request>& pending);
  void Begin(instant now, const std::shared_ptr<pending_request>& pending);
  bool StartAttempt(instant now, const std::shared_ptr<pending_request>& pending);
  void RefreshTargets(instant now);
  void ExpireOverdue(instant now);
  const member_record* ChooseTarget(instant now, pending_request& pending);
  void SendTo(instant now, const std::shared_ptr<pending_request>& pending,
              const member_record& to);
  void ArmHedge(instant now, const std::shared_ptr<pending_request>& pending);
  void OnHedgeTimer(instant now, const std::shared_ptr<pending_request>& pending);
  void OnAnswer(instant now, const std::shared_ptr<pending_request>& pending,
                uint64_t attempt_index, const dispatch_answer& answer);
  void OnRefused(instant now, const std::shared_ptr<pending_request>& pending,
                 refusal_reason reason, run_state state, std::chrono::milliseconds retry_after);
  void CancelAttempts(instant now, pending_request& pending);
  void Refuse(instant now, const std::shared_ptr<pending_request>& pending, refusal_reason reason,
              run_state state, std::chrono::milliseconds retry_after,
              const std::string& detail = {});
  void Complete(instant now, const std::shared_ptr<pending_request>& pending,
                const http_answer& answer);
  bool ConsumeSpillBudget(instant now, pending_request& pending, const member_record& to);

  event_loop& loop_;
  metrics& metrics_;
  entry_settings settings_;
  entry_callbacks callbacks_;
  const fleet_view& fleet_;
  peer_mesh& peers_;
  gate& own_gate_;
  std::mt19937_64 rng_;
  uint64_t next_request_id_ = 1;
  std::map<uint64_t, std::shared_ptr<pending_request>> pending_requests_;
  std::map<std::string, std::unique_ptr<service_state>> services_;
  retry_budget extra_attempt_budget_ = retry_budget::ForExtraAttempts();
  link_budget links_;
  std::multimap<instant, uint64_t> deadlines_;
  instant next_refresh_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_ENTRY_H
