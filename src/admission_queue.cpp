#include "admission_queue.h"

#include <algorithm>
#include <ext/pb_ds/assoc_container.hpp>
#include <ext/pb_ds/tree_policy.hpp>
#include <set>
#include <tuple>
#include <utility>

namespace bulrushway {
namespace {

using std::chrono::nanoseconds;

constexpr double kServiceTimeSmoothing = 0.05;
// Minimum time to the deadline, in mean service times, for a request to run while others wait.
// Service times vary and the earliest deadline is served first: with less, an overloaded target
// spends its slots on late answers.
constexpr int64_t kMinServiceTimesLeft = 2;
// Idle tenants are removed when there are more tenants than twice the active ones plus this.
constexpr size_t kMaxIdleFlows = 64;

struct deadline_key {
  instant deadline;
  queued_id id;
  bool operator<(const deadline_key& other) const {
    return std::tie(deadline, id) < std::tie(other.deadline, other.id);
  }
};

struct shed_key {
  uint8_t priority;
  // Negated, so that the latest deadline of equal priority is shed first.
  int64_t negated_deadline;
  queued_id id;
  bool operator<(const shed_key& other) const {
    return std::tie(priority, negated_deadline, id) <
           std::tie(other.priority, other.negated_deadline, other.id);
  }
};

// Ordered set with order statistics: counts the elements smaller than a given one in O(log n).
using deadline_set =
    __gnu_pbds::tree<deadline_key, __gnu_pbds::null_type, std::less<>, __gnu_pbds::rb_tree_tag,
                     __gnu_pbds::tree_order_statistics_node_update>;

struct queued_entry {
  instant deadline;
  uint8_t priority;
};

shed_key ShedKey(queued_id id, const queued_entry& entry) {
  return {entry.priority, -entry.deadline.time_since_epoch().count(), id};
}

}  // namespace

struct admission_queue::flow {
  // Breaks ties between flows in the order of their creation.
  uint64_t number = 0;
  double weight = 1;
  // Virtual time of the next request of the flow. The active flow with the smallest one is served
  // next.
  double due = 0;
  deadline_set by_deadline;
  std::set<shed_key> by_shed_order;
  std::unordered_map<queued_id, queued_entry> entries;
};

struct admission_queue::active_flows {
  struct order {
    bool operator()(const flow* left, const flow* right) const {
      return std::tie(left->due, left->number) < std::tie(right->due, right->number);
    }
  };
  std::set<flow*, order> by_due;
};

admission_queue::admission_queue(queue_settings settings)
    : settings_(settings),
      service_time_ns_(static_cast<double>(settings.initial_service_time.count())),
      active_(std::make_unique<active_flows>()) {}

admission_queue::~admission_queue() = default;

admission_queue::flow& admission_queue::FlowOf(const queue_request& request) {
  std::unique_ptr<flow>& found = flows_[request.tenant];
  if (!found) {
    found = std::make_unique<flow>();
    found->number = ++flows_created_;
  }
  // `active_weight_` includes the weight of an active flow, so it changes only while the flow is
  // idle.
  if (found->entries.empty()) found->weight = std::max(request.weight, 1e-6);
  return *found;
}

// Expected time between two requests of the flow, given the flows that share the target.
nanoseconds admission_queue::ServiceInterval(const flow& tenant_flow) const {
  const double others =
      tenant_flow.entries.empty() ? active_weight_ : active_weight_ - tenant_flow.weight;
  const double share = tenant_flow.weight / (tenant_flow.weight + std::max(others, 0.0));
  const double interval = service_time_ns_ / std::max<uint32_t>(concurrency_, 1) / share;
  return nanoseconds(static_cast<int64_t>(interval));
}

queue_refusal admission_queue::Refusal(queued_id id, refusal_reason reason,
                                       const flow& tenant_flow) const {
  const nanoseconds drain =
      ServiceInterval(tenant_flow) * static_cast<int64_t>(tenant_flow.entries.size());
  return {id, reason, drain};
}

// Refuses the new request, or removes and refuses one of lower priority. Returns nullopt if there
// is room.
std::optional<queue_refusal> admission_queue::MakeRoom(const queue_request& request,
                                                       flow& tenant_flow, instant now) {
  const nanoseconds interval = ServiceInterval(tenant_flow);
  const auto ahead =
      static_cast<int64_t>(tenant_flow.by_deadline.order_of_key({request.deadline, 0}));
  const nanoseconds service_time(static_cast<int64_t>(service_time_ns_));
  if (now + interval * ahead + service_time > request.deadline) {
    return Refusal(request.id, refusal_reason::kDeadlineTooShort, tenant_flow);
  }
  const auto queued = static_cast<int64_t>(tenant_flow.entries.size());
  if (interval * queued <= settings_.max_wait) return std::nullopt;
  const bool only_active_flow = active_weight_ <= tenant_flow.weight;
  const auto reason = only_active_flow ? refusal_reason::kQueueFull : refusal_reason::kTenantShare;
  const shed_key first_to_shed = *tenant_flow.by_shed_order.begin();
  if (first_to_shed.priority >= request.priority) return Refusal(request.id, reason, tenant_flow);
  Remove(tenant_flow, first_to_shed.id);
  return Refusal(first_to_shed.id, reason, tenant_flow);
}

push_result admission_queue::Push(const queue_request& request, instant now) {
  push_result outcome;
  if (flow_by_id_.contains(request.id)) {
    outcome.refused = queue_refusal{request.id, refusal_reason::kInternal, nanoseconds(0)};
    return outcome;
  }
  if (flows_.size() > 2 * active_->by_due.size() + kMaxIdleFlows) RemoveIdleFlows();
  flow& tenant_flow = FlowOf(request);
  outcome.refused = MakeRoom(request, tenant_flow, now);
  if (outcome.refused && outcome.refused->id == request.id) {
    if (tenant_flow.entries.empty()) flows_.erase(request.tenant);
    return outcome;
  }
  const auto ahead =
      static_cast<int64_t>(tenant_flow.by_deadline.order_of_key({request.deadline, 0}));
  outcome.expected_wait = ServiceInterval(tenant_flow) * ahead;
  Insert(request, tenant_flow);
  return outcome;
}

void admission_queue::Insert(const queue_request& request, flow& tenant_flow) {
  const queued_entry entry{request.deadline, request.priority};
  if (tenant_flow.entries.empty()) Activate(tenant_flow);
  tenant_flow.entries.emplace(request.id, entry);
  tenant_flow.by_deadline.insert({request.deadline, request.id});
  tenant_flow.by_shed_order.insert(ShedKey(request.id, entry));
  flow_by_id_.emplace(request.id, &tenant_flow);
}

void admission_queue::Remove(flow& tenant_flow, queued_id id) {
  const auto found = tenant_flow.entries.find(id);
  tenant_flow.by_deadline.erase({found->second.deadline, id});
  tenant_flow.by_shed_order.erase(ShedKey(id, found->second));
  tenant_flow.entries.erase(found);
  flow_by_id_.erase(id);
  if (tenant_flow.entries.empty()) Deactivate(tenant_flow);
}

void admission_queue::Activate(flow& tenant_flow) {
  // An idle flow earns no credit for the time in which it had no requests.
  tenant_flow.due = std::max(tenant_flow.due, virtual_time_);
  active_->by_due.insert(&tenant_flow);
  active_weight_ += tenant_flow.weight;
}

void admission_queue::Deactivate(flow& tenant_flow) {
  active_->by_due.erase(&tenant_flow);
  active_weight_ -= tenant_flow.weight;
  if (active_->by_due.empty()) active_weight_ = 0;
}

// An idle flow whose virtual time has passed is equivalent to a new one, so it can be removed.
void admission_queue::RemoveIdleFlows() {
  const bool all_idle = active_->by_due.empty();
  std::erase_if(flows_, [&](const auto& item) {
    const flow& candidate = *item.second;
    return candidate.entries.empty() && (all_idle || candidate.due <= virtual_time_);
  });
}

admission_queue::flow* admission_queue::NextFlow() {
  if (active_->by_due.empty()) return nullptr;
  return *active_->by_due.begin();
}

pop_result admission_queue::Pop(instant now) {
  pop_result next;
  const nanoseconds service_time(static_cast<int64_t>(service_time_ns_));
  while (flow* chosen = NextFlow()) {
    const deadline_key first = *chosen->by_deadline.begin();
    // While other requests wait, do not spend a slot on a request that is likely to be late.
    const nanoseconds needed =
        flow_by_id_.size() > 1 ? service_time * kMinServiceTimesLeft : service_time / 2;
    if (now + needed > first.deadline) {
      next.expired.push_back(Refusal(first.id, refusal_reason::kDeadlineTooShort, *chosen));
      Remove(*chosen, first.id);
      continue;
    }
    virtual_time_ = std::max(virtual_time_, chosen->due);
    Remove(*chosen, first.id);
    const bool active = !chosen->entries.empty();
    if (active) active_->by_due.erase(chosen);
    chosen->due += 1 / chosen->weight;
    if (active) active_->by_due.insert(chosen);
    next.id = first.id;
    break;
  }
  return next;
}

bool admission_queue::Cancel(queued_id id) {
  const auto found = flow_by_id_.find(id);
  if (found == flow_by_id_.end()) return false;
  Remove(*found->second, id);
  return true;
}

void admission_queue::OnServed(nanoseconds service_time, uint32_t concurrency) {
  service_time_ns_ +=
      kServiceTimeSmoothing * (static_cast<double>(service_time.count()) - service_time_ns_);
  concurrency_ = concurrency;
}

void admission_queue::SetConcurrency(uint32_t concurrency) { concurrency_ = concurrency; }

}  // namespace bulrushway
