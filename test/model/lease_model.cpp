#include "lease_model.h"

#include <deque>
#include <functional>
#include <unordered_set>

namespace bulrushway::model {
namespace {

// A state packed into bits, for the set of visited states.
struct packed_state {
  uint64_t low = 0;
  uint64_t high = 0;
  bool operator==(const packed_state&) const = default;
};

struct packed_hash {
  size_t operator()(const packed_state& p) const {
    return (p.low * 0x9E3779B97F4A7C15ULL) ^ (p.high * 0xC2B2AE3D27D4EB4FULL) ^ (p.low >> 29);
  }
};

class state_packer {
 public:
  void Add(uint64_t value, int bits) {
    if (used_ < 64) {
      bits_.low |= value << used_;
      if (used_ + bits > 64) bits_.high |= value >> (64 - used_);
    } else {
      bits_.high |= value << (used_ - 64);
    }
    used_ += bits;
  }
  packed_state Bits() const { return bits_; }

 private:
  packed_state bits_;
  int used_ = 0;
};

packed_state Pack(const state& s) {
  state_packer out;
  for (const process_state& p : s.processes) {
    out.Add(p.machine, 2);
    for (const bool bit : {p.lease, p.lease_row_read, p.map_read, p.map_valid, p.other_lease_read,
                           p.other_lease_expired, p.handing_over, p.awaiting_answer,
                           p.map_unchanged, p.lease_row_unchanged, p.other_lease_unchanged}) {
      out.Add(bit ? 1 : 0, 1);
    }
    out.Add(p.owner, 2);
    out.Add(p.fence, 3);
    out.Add(static_cast<uint64_t>(p.call), 3);
    out.Add(p.call_machine, 2);
    out.Add(p.sent_by_current_process ? 1 : 0, 1);
  }
  for (const lease_row& row : s.leases) {
    out.Add(row.exists ? 1 : 0, 1);
    out.Add(row.expired ? 1 : 0, 1);
    out.Add(row.machine, 2);
    out.Add(row.written_by_current_process ? 1 : 0, 1);
  }
  out.Add(s.owner, 2);
  out.Add(s.owner_node, 2);
  out.Add(s.fence, 3);
  for (const bool holds : s.target_holds) out.Add(holds ? 1 : 0, 1);
  out.Add(s.last_holder, 2);
  out.Add(s.last_fence, 3);
  out.Add(s.fence_not_higher ? 1 : 0, 1);
  out.Add(s.changes, 3);
  out.Add(s.restarts, 2);
  out.Add(s.machine_moved ? 1 : 0, 1);
  return out.Bits();
}

// Enumerates the transitions from a state.
class transition_generator {
 public:
  using sink = std::function<void(const std::string&, const state&)>;

  transition_generator(rule broken, const limits& bounds) : broken_(broken), bounds_(bounds) {}

  void ForEachTransition(const state& s, const sink& out) const {
    for (uint8_t n = 0; n < 2; ++n) {
      ReadRows(s, n, out);
      SendCall(s, n, out);
      Grant(s, n, out);
      ExpireLeases(s, n, out);
      if (s.processes[n].call != store_call::kNone)
        out(Label(n, "call reaches the store"), ApplyCall(s, n));
      if (s.restarts < bounds_.restarts) out(Label(n, "process restarts"), Restart(s, n));
    }
    if (bounds_.move_machine && !s.machine_moved) {
      state next = Restart(s, 0);
      next.restarts = s.restarts;
      next.machine_moved = true;
      next.processes[0].machine = 2;
      out("node 0 is replaced by another machine", next);
    }
    for (size_t t = 0; t < s.target_holds.size(); ++t) {
      if (!s.target_holds[t]) continue;
      state next = s;
      next.target_holds[t] = false;
      out("grant of target " + std::to_string(t) + " ends", next);
    }
  }

 private:
  static std::string Label(uint8_t n, const std::string& what) {
    return "node " + std::to_string(n) + ": " + what;
  }
  bool Enforces(rule which) const { return broken_ != which; }

  void ReadRows(const state& s, uint8_t n, const sink& out) const {
    const process_state& p = s.processes[n];
    if (p.awaiting_answer) return;
    if (!p.lease_row_read) {
      state next = s;
      next.processes[n].lease_row_read = true;
      out(Label(n, "reads its lease"), next);
    }
    if (!p.map_read || (p.lease && !p.map_valid)) {
      state next = s;
      process_state& q = next.processes[n];
      q.map_read = true;
      q.map_valid = p.lease || !Enforces(rule::kMapReadUnderLease);
      q.owner = s.owner;
      if (Enforces(rule::kFenceOfMap) || p.fence == 0) q.fence = s.fence;
      if (s.owner != p.machine) q.handing_over = false;
      out(Label(n, "reads the map"), next);
    }
    if (s.owner_node == 1 - n && !p.other_lease_read) {
      state next = s;
      const lease_row& other = s.leases[1 - n];
      next.processes[n].other_lease_read = true;
      next.processes[n].other_lease_expired =
          !other.exists || other.expired || !Enforces(rule::kReassignAfterExpiry);
      out(Label(n, "reads the other's lease"), next);
    }
  }

  void SendCall(const state& s, uint8_t n, const sink& out) const {
    const process_state& p = s.processes[n];
    if (p.awaiting_answer) {
      state next = s;
      process_state& q = next.processes[n];
      q.awaiting_answer = false;
      q.lease_row_read = false;
      q.map_read = false;
      q.map_valid = false;
      out(Label(n, "times out waiting for the store"), next);
      return;
    }
    if (p.call != store_call::kNone) return;
    const auto send = [&](store_call call, const std::string& what) {
      state next = s;
      process_state& q = next.processes[n];
      q.call = call;
      q.call_machine = q.machine;
      q.sent_by_current_process = true;
      q.awaiting_answer = true;
      q.map_unchanged = true;
      q.lease_row_unchanged = true;
      q.other_lease_unchanged = true;
      out(Label(n, what), next);
    };
    const lease_row& row = s.leases[n];
    const bool own_machine = row.machine == p.machine || !Enforces(rule::kForeignLeaseExpiresFirst);
    if (p.lease_row_read &&
        (!row.exists || row.written_by_current_process || own_machine || row.expired)) {
      send(store_call::kWriteLease, "writes its lease");
    }
    if (s.changes >= bounds_.changes || !p.map_read) return;
    const bool owns = p.owner == p.machine;
    const bool released = !s.target_holds[p.machine] || !Enforces(rule::kHandoverAfterRelease);
    if (owns && p.handing_over && p.lease && released)
      send(store_call::kHandOver, "hands the key over");
    if (!p.lease) return;
    // The key has no owner, or belongs to the target that this node had before its replacement.
    const bool own_new_target = s.owner_node == n && p.owner != p.machine && p.owner != kNobody;
    if (p.owner == kNobody || own_new_target) send(store_call::kClaim, "claims the key");
    const bool owned_by_other = s.owner_node == 1 - n && !owns && p.owner != kNobody;
    if (owned_by_other && p.other_lease_read && p.other_lease_expired)
      send(store_call::kReassign, "reassigns the key to itself");
  }

  void Grant(const state& s, uint8_t n, const sink& out) const {
    const process_state& p = s.processes[n];
    const bool owns = p.owner == p.machine;
    if (owns && p.lease && !p.handing_over && !p.awaiting_answer) {
      state next = s;
      next.processes[n].handing_over = true;
      out(Label(n, "stops granting"), next);
    }
    const bool leased = p.lease || !Enforces(rule::kGrantUnderLease);
    const bool handing_over = p.handing_over && Enforces(rule::kNoGrantDuringHandover);
    if (!owns || handing_over || !leased || !p.map_valid) return;
    state next = s;
    next.target_holds[p.machine] = true;
    const bool new_holder = s.last_holder != kNobody && s.last_holder != p.machine;
    next.fence_not_higher = new_holder && p.fence <= s.last_fence;
    next.last_holder = p.machine;
    next.last_fence = p.fence;
    out(Label(n, "grants the key to target " + std::to_string(p.machine)), next);
  }

  void ExpireLeases(const state& s, uint8_t n, const sink& out) const {
    const process_state& p = s.processes[n];
    if (p.lease && (!s.target_holds[p.machine] || !Enforces(rule::kGrantWithinLease))) {
      state next = s;
      next.processes[n].lease = false;
      if (Enforces(rule::kMapReadAfterLapse)) next.processes[n].map_valid = false;
      out(Label(n, "considers its lease expired"), next);
    }
    const lease_row& row = s.leases[n];
    if (!row.exists || row.expired) return;
    const bool lease_believed_valid =
        row.written_by_current_process && p.lease && Enforces(rule::kLeaseFromStoreTime);
    const bool grant_outstanding =
        s.target_holds[row.machine] && Enforces(rule::kGrantWithinLease) &&
        Enforces(rule::kLeaseFromStoreTime) && Enforces(rule::kGrantUnderLease);
    if (lease_believed_valid || grant_outstanding) return;
    state next = s;
    next.leases[n].expired = true;
    out(Label(n, "lease expires by the store's clock"), next);
  }

  state Restart(const state& s, uint8_t n) const {
    state next = s;
    const store_call call = s.processes[n].call;
    process_state fresh;
    fresh.machine = s.processes[n].machine;
    // A call that the previous process sent may still reach the store.
    fresh.call = call;
    fresh.call_machine = s.processes[n].call_machine;
    fresh.map_unchanged = s.processes[n].map_unchanged;
    fresh.lease_row_unchanged = s.processes[n].lease_row_unchanged;
    fresh.other_lease_unchanged = s.processes[n].other_lease_unchanged;
    fresh.lease = s.processes[n].lease && !Enforces(rule::kRestartHasNoLease);
    next.processes[n] = fresh;
    next.leases[n].written_by_current_process = false;
    ++next.restarts;
    return next;
  }

  static void InvalidateMap(state& s) {
    for (process_state& p : s.processes) {
      p.map_read = false;
      p.map_unchanged = false;
    }
  }

  static void InvalidateLeaseRow(state& s, uint8_t n) {
    s.processes[n].lease_row_read = false;
    s.processes[n].lease_row_unchanged = false;
    s.processes[1 - n].other_lease_read = false;
    s.processes[1 - n].other_lease_expired = false;
    s.processes[1 - n].other_lease_unchanged = false;
  }

  void Assign(state& s, uint8_t sender, uint8_t owner_node, uint8_t target) const {
    process_state& p = s.processes[sender];
    const bool awaiting_answer = p.awaiting_answer;
    const bool fence_grows = Enforces(rule::kFenceGrows);
    InvalidateMap(s);
    ++s.changes;
    if (fence_grows) ++s.fence;
    s.owner_node = owner_node;
    s.owner = target;
    if (!awaiting_answer) return;
    p.owner = target;
    p.fence = s.fence;
    p.map_read = true;
    if (target != p.machine) p.handing_over = false;
  }

  state ApplyCall(const state& s, uint8_t n) const {
    state next = s;
    process_state& p = next.processes[n];
    const bool map_same = p.map_unchanged || !Enforces(rule::kChangeExpectsMap);
    switch (p.call) {
      case store_call::kWriteLease:
        if (p.lease_row_unchanged) {
          InvalidateLeaseRow(next, n);
          next.leases[n] = {true, false, p.call_machine, p.sent_by_current_process};
          if (p.awaiting_answer) {
            const bool map_stays_valid =
                !Enforces(rule::kMapReadUnderLease) || !Enforces(rule::kMapReadAfterLapse);
            if (!p.lease && !map_stays_valid) p.map_valid = false;
            p.lease = true;
            p.lease_row_read = true;
          }
        }
        break;
      case store_call::kClaim:
        if (map_same) Assign(next, n, n, p.call_machine);
        break;
      case store_call::kHandOver:
        if (map_same) Assign(next, n, 1 - n, next.processes[1 - n].machine);
        break;
      case store_call::kReassign:
        if (map_same && (p.other_lease_unchanged || !Enforces(rule::kReassignExpectsLease))) {
          InvalidateLeaseRow(next, 1 - n);
          next.leases[1 - n] = {};
          Assign(next, n, n, p.call_machine);
        }
        break;
      case store_call::kNone:
        break;
    }
    p.call = store_call::kNone;
    p.call_machine = 0;
    p.sent_by_current_process = false;
    p.awaiting_answer = false;
    p.map_unchanged = p.lease_row_unchanged = p.other_lease_unchanged = false;
    return next;
  }

  rule broken_;
  limits bounds_;
};

std::string Violation(const state& s) {
  int holders = 0;
  for (const bool holds : s.target_holds) holders += holds ? 1 : 0;
  if (holders > 1) return "two targets hold the key";
  if (s.fence_not_higher)
    return "a target holds the key under a fencing token that isn't higher than that of the last "
           "holder";
  return {};
}

}  // namespace

std::string Name(rule which) {
  static constexpr std::array<const char*, static_cast<size_t>(rule::kCount)> kNames = {
      "none",
      "keys are reassigned after the owner's lease has expired",
      "a reassignment expects the lease as read",
      "a change expects the map as read",
      "the map is read under the lease",
      "the map is read again after a lapse",
      "grants only under a lease",
      "no grant during a handover",
      "a handover follows the release",
      "a foreign lease is overwritten only after its expiry",
      "a restarted process has no lease",
      "the lease is measured by the store's time",
      "a grant ends before the lease",
      "fencing tokens rise",
      "a grant has the fencing token of the map",
  };
  return kNames[static_cast<size_t>(which)];
}

search_result Search(rule broken, const limits& bounds, size_t max_states) {
  struct visited_state {
    state value;
    size_t predecessor = 0;
    std::string step;
  };
  const transition_generator generator(broken, bounds);
  std::deque<visited_state> visited_states;
  std::unordered_set<packed_state, packed_hash> seen;
  state start;
  start.processes[1].machine = 1;
  visited_states.push_back({start, 0, "start"});
  seen.insert(Pack(start));
  search_result result;
  for (size_t index = 0; index < visited_states.size() && result.violation.empty(); ++index) {
    if (visited_states.size() > max_states) return result;
    const state current = visited_states[index].value;
    generator.ForEachTransition(current, [&](const std::string& step, const state& to) {
      if (!result.violation.empty() || !seen.insert(Pack(to)).second) return;
      visited_states.push_back({to, index, step});
      result.violation = Violation(to);
    });
  }
  result.states = visited_states.size();
  result.complete = result.violation.empty();
  if (result.complete) return result;
  for (size_t i = visited_states.size() - 1; i > 0; i = visited_states[i].predecessor) {
    result.trace.insert(result.trace.begin(), visited_states[i].step);
  }
  return result;
}

}  // namespace bulrushway::model
