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
#include "directory.h"
#include "forwarder.h"
#include "gate.h"
#include "hedge_policy.h"
#include "http_server.h"
#include "link_budget.h"
#include "metrics.h"
#include "retry_budget.h"
#include "retry_rules.h"
#include "service_targets.h"
#include "slice.h"

namespace bulrushway {

/// What the entry needs to know of a service.
struct service_facts {
  bool keyed = false;
  slice_layout layout;
  std::chrono::milliseconds default_deadline{2000};
};

/// What the entry asks of the rest of the process.
struct entry_ports {
  /// False while no configuration is in force.
  std::function<bool()> configured;
  /// The service, or null.
  std::function<const service_facts*(const std::string& service)> find_service;
  /// Regions to which the request is bound; empty: none.
  std::function<std::vector<std::string>(const forward_request&)> home_regions;
  /// Whether the inventory says that the request may run twice without harm.
  std::function<bool(const forward_request&)> idempotent_route;
  /// Whether the rules allow new work at the member.
  std::function<bool(instant, const announcement&)> may_use;
  /// Version of the configuration in force.
  std::function<uint64_t()> configuration_version;
  /// A gate says which node owns a slice.
  std::function<void(const std::string& service, uint32_t slice, const std::string& node)>
      learn_owner;
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
  own_place place;
  deadline_limits deadlines;
  size_t max_body = 1 << 20;
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
  entry(event_loop& loop, metrics& counters, entry_settings settings, entry_ports ports,
        const directory& known, forwarder& peers, gate& own_gate, uint64_t seed);
  ~entry();

  /// Takes a caller's request; its exchange is answered once, now or later.
  void Handle(instant now, std::shared_ptr<http_exchange> exchange);
  /// Rebuilds what is cached of the directory when that or the rules have changed.
  void Refresh(instant now);
  /// Requests of callers under way.
  size_t InFlight() const { return flights_.size(); }
  /// Bytes sent between regions.
  const link_budget& links() const { return links_; }

 private:
  struct attempt;
  struct flight;
  struct service_state;

  service_state& StateOf(const std::string& service);
  bool Accept(instant now, const std::shared_ptr<flight>& subject);
  void Begin(instant now, const std::shared_ptr<flight>& subject);
  bool Attempt(instant now, const std::shared_ptr<flight>& subject);
  const announcement* ChooseTarget(instant now, flight& subject);
  void SendTo(instant now, const std::shared_ptr<flight>& subject, const announcement& to);
  void ArmHedge(instant now, const std::shared_ptr<flight>& subject);
  void OnHedgeTime(instant now, const std::shared_ptr<flight>& subject);
  void OnAnswer(instant now, const std::shared_ptr<flight>& subject, uint64_t attempt_number,
                const forward_answer& answer);
  void OnRefused(instant now, const std::shared_ptr<flight>& subject, refusal_reason reason,
                 run_state state, std::chrono::milliseconds retry_after);
  void CancelAttempts(instant now, flight& subject);
  void Refuse(instant now, const std::shared_ptr<flight>& subject, refusal_reason reason,
              run_state state, std::chrono::milliseconds retry_after,
              const std::string& detail = {});
  void Complete(instant now, const std::shared_ptr<flight>& subject, const http_answer& answer);
  bool Pays(instant now, flight& subject, const announcement& to);

  event_loop& loop_;
  metrics& metrics_;
  entry_settings settings_;
  entry_ports ports_;
  const directory& known_;
  forwarder& peers_;
  gate& own_gate_;
  std::mt19937_64 rng_;
  uint64_t next_flight_ = 1;
  std::map<uint64_t, std::shared_ptr<flight>> flights_;
  std::map<std::string, std::unique_ptr<service_state>> services_;
  retry_budget extra_attempts_ = retry_budget::ForExtraAttempts();
  link_budget links_;
  uint64_t seen_directory_ = 0;
  uint64_t seen_configuration_ = 0;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_ENTRY_H
