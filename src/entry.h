#ifndef BULRUSHWAY_ENTRY_H
#define BULRUSHWAY_ENTRY_H

// Takes callers' requests in, finds where each may run, and brings the whole answer back. All
// retries and hedges of a request are decided here and nowhere else, so that the attempts of
// several hops cannot multiply.

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

/// What the entry needs to know of a service.
struct service_info {
  bool keyed = false;
  slice_layout layout;
  std::chrono::milliseconds default_deadline{2000};
};

/// What the entry asks of the rest of the process.
struct entry_callbacks {
  /// False while no configuration is in force.
  std::function<bool()> configured;
  /// The service, or null.
  std::function<const service_info*(const std::string& service)> find_service;
  /// Regions to which the request is bound; empty: none.
  std::function<std::vector<std::string>(const dispatch_request&)> home_regions;
  /// Whether the inventory says that the request may run twice without harm.
  std::function<bool(const dispatch_request&)> idempotent_route;
  /// Whether the rules allow new work at the member.
  std::function<bool(instant, const node_state&)> may_use;
  /// The node that owns a slice; empty while nobody does.
  std::function<std::string(const std::string& service, uint32_t slice)> owner_of;
  /// A gate says that it does not own a slice that it was believed to own.
  std::function<void(instant)> on_owners_outdated;
  /// The process begins no new requests: it is stopping.
  std::function<bool()> stopping;
};

/// The policies that can choose a target. `scored` is the one in use; the others are kept for
/// comparison on real processes.
using any_picker = std::variant<scored_picker, random_picker, round_robin_picker,
                                least_requests_picker, two_choices_picker, marginal_utility_picker>;

/// The policy of this name: scored, random, round_robin, least_requests, two_choices or
/// marginal_utility. Another name is a user error.
result<any_picker> MakePicker(const std::string& name);

/// Who and where this process is, and its limits.
struct entry_settings {
  std::string node;
  node_location location;
  deadline_limits deadlines;
  size_t max_body_bytes = 1 << 20;
  /// Requests of callers under way at most.
  size_t max_requests = 20000;
  /// Chooses the targets of lookup requests.
  any_picker picker;
  /// Whether late requests get a second copy.
  bool hedge = true;
};

/// The callers' side of one process.
class entry {
 public:
  entry(event_loop& loop, metrics& counters, entry_settings settings, entry_callbacks callbacks,
        const fleet_view& fleet, peer_mesh& peers, gate& own_gate, uint64_t seed);
  ~entry();

  /// Takes a caller's request; its exchange is answered once, now or later.
  void Handle(instant now, std::shared_ptr<http_exchange> exchange);
  /// Ends requests whose time is over, and takes over what is known of the other processes.
  void Tick(instant now);
  /// Requests of callers under way.
  size_t InFlight() const { return pending_requests_.size(); }
  /// Bytes sent between regions.
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
