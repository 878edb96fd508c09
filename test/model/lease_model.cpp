#include "lease_model.h"

#include <deque>
#include <functional>
#include <unordered_set>

namespace bulrushway::model {
namespace {

// A state packed into bits, for the set of visited states.
struct packed {
  uint64_t low = 0;
  uint64_t high = 0;
  bool operator==(const packed&) const = default;
};

struct packed_hash {
  size_t operator()(const packed& p) const {
    return (p.low * 0x9E3779B97F4A7C15ULL) ^ (p.high * 0xC2B2AE3D27D4EB4FULL) ^ (p.low >> 29);
  }
};

class packer {
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
  packed Take() const { return bits_; }

 private:
  packed bits_;
  int used_ = 0;
};

packed Pack(const state& s) {
  packer out;
  for (const process_state& p : s.processes) {
    out.Add(p.machine, 2);
    for (const bool bit : {p.lease, p.row_known, p.map_known, p.map_counts, p.other_known,
                           p.other_over, p.giving, p.waits, p.map_same, p.row_same, p.other_same}) {
      out.Add(bit ? 1 : 0, 1);
    }
    out.Add(p.owner, 2);
    out.Add(p.fence, 3);
    out.Add(static_cast<uint64_t>(p.call), 3);
    out.Add(p.call_machine, 2);
    out.Add(p.call_current ? 1 : 0, 1);
  }
  for (const lease_row& row : s.leases) {
    out.Add(row.exists ? 1 : 0, 1);
    out.Add(row.ended ? 1 : 0, 1);
    out.Add(row.machine, 2);
    out.Add(row.current ? 1 : 0, 1);
  }
  out.Add(s.owner, 2);
  out.Add(s.owner_node, 2);
  out.Add(s.fence, 3);
  for (const bool holds : s.holds) out.Add(holds ? 1 : 0, 1);
  out.Add(s.last_holder, 2);
  out.Add(s.last_fence, 3);
  out.Add(s.fence_broken ? 1 : 0, 1);
  out.Add(s.changes, 3);
  out.Add(s.restarts, 2);
  out.Add(s.moved ? 1 : 0, 1);
  return out.Take();
}

// Enumerates the transitions from a state.
class stepper {
 public:
  using sink = std::function<void(const std::string&, const state&)>;

  stepper(rule broken, const limits& bounds) : broken_(broken), bounds_(bounds) {}

  void Steps(const state& s, const sink& out) const {
    for (uint8_t n = 0; n < 2; ++n) {
      ReadRows(s, n, out);
      Call(s, n, out);
      Grant(s, n, out);
      PassTime(s, n, out);
      if (s.processes[n].call != store_call::kNone)
        out(Label(n, "call reaches the store"), Act(s, n));
      if (s.restarts < bounds_.restarts) out(Label(n, "process restarts"), Restart(s, n));
    }
    if (bounds_.move_machine && !s.moved) {
      state next = Restart(s, 0);
      next.restarts = s.restarts;
      next.moved = true;
      next.processes[0].machine = 2;
      out("node 0 is replaced by another machine", next);
    }
    for (size_t t = 0; t < s.holds.size(); ++t) {
      if (!s.holds[t]) continue;
      state next = s;
      next.holds[t] = false;
      out("grant of target " + std::to_string(t) + " ends", next);
    }
  }

 private:
  static std::string Label(uint8_t n, const std::string& what) {
    return "node " + std::to_string(n) + ": " + what;
  }
  bool Keeps(rule which) const { return broken_ != which; }

  void ReadRows(const state& s, uint8_t n, const sink& out) const {
    const process_state& p = s.processes[n];
    if (p.waits) return;
    if (!p.row_known) {
      state next = s;
      next.processes[n].row_known = true;
      out(Label(n, "reads its lease"), next);
    }
    if (!p.map_known || (p.lease && !p.map_counts)) {
      state next = s;
      process_state& q = next.processes[n];
      q.map_known = true;
      q.map_counts = p.lease || !Keeps(rule::kMapReadUnderLease);
      q.owner = s.owner;
      if (Keeps(rule::kFenceOfMap) || p.fence == 0) q.fence = s.fence;
      if (s.owner != p.machine) q.giving = false;
      out(Label(n, "reads the map"), next);
    }
    if (s.owner_node == 1 - n && !p.other_known) {
      state next = s;
      const lease_row& other = s.leases[1 - n];
      next.processes[n].other_known = true;
      next.processes[n].other_over = !other.exists || other.ended || !Keeps(rule::kAdoptAfterEnd);
      out(Label(n, "reads the other's lease"), next);
    }
  }

  void Call(const state& s, uint8_t n, const sink& out) const {
    const process_state& p = s.processes[n];
    if (p.waits) {
      state next = s;
      process_state& q = next.processes[n];
      q.waits = false;
      q.row_known = false;
      q.map_known = false;
      q.map_counts = false;
      out(Label(n, "times out waiting for the store"), next);
      return;
    }
    if (p.call != store_call::kNone) return;
    const auto send = [&](store_call call, const std::string& what) {
      state next = s;
      process_state& q = next.processes[n];
      q.call = call;
      q.call_machine = q.machine;
      q.call_current = true;
      q.waits = true;
      q.map_same = true;
      q.row_same = true;
      q.other_same = true;
      out(Label(n, what), next);
    };
    const lease_row& row = s.leases[n];
    const bool own_machine = row.machine == p.machine || !Keeps(rule::kForeignLeaseWaits);
    if (p.row_known && (!row.exists || row.current || own_machine || row.ended)) {
      send(store_call::kWriteLease, "writes its lease");
    }
    if (s.changes >= bounds_.changes || !p.map_known) return;
    const bool owns = p.owner == p.machine;
    const bool released = !s.holds[p.machine] || !Keeps(rule::kGiveAfterRelease);
    if (owns && p.giving && p.lease && released) send(store_call::kGive, "hands the key over");
    if (!p.lease) return;
    // The key has no owner, or belongs to the target that this node had before its replacement.
    const bool former = s.owner_node == n && p.owner != p.machine && p.owner != kNobody;
    if (p.owner == kNobody || former) send(store_call::kTake, "claims the key");
    const bool of_other = s.owner_node == 1 - n && !owns && p.owner != kNobody;
    if (of_other && p.other_known && p.other_over)
      send(store_call::kAdopt, "reassigns the key to itself");
  }

  void Grant(const state& s, uint8_t n, const sink& out) const {
    const process_state& p = s.processes[n];
    const bool owns = p.owner == p.machine;
    if (owns && p.lease && !p.giving && !p.waits) {
      state next = s;
      next.processes[n].giving = true;
      out(Label(n, "stops granting"), next);
    }
    const bool leased = p.lease || !Keeps(rule::kGrantUnderLease);
    const bool giving = p.giving && Keeps(rule::kNoGrantWhileGiving);
    if (!owns || giving || !leased || !p.map_counts) return;
    state next = s;
    next.holds[p.machine] = true;
    const bool other = s.last_holder != kNobody && s.last_holder != p.machine;
    next.fence_broken = other && p.fence <= s.last_fence;
    next.last_holder = p.machine;
    next.last_fence = p.fence;
    out(Label(n, "grants the key to target " + std::to_string(p.machine)), next);
  }

  void PassTime(const state& s, uint8_t n, const sink& out) const {
    const process_state& p = s.processes[n];
    if (p.lease && (!s.holds[p.machine] || !Keeps(rule::kGrantWithinLease))) {
      state next = s;
      next.processes[n].lease = false;
      if (Keeps(rule::kMapReadAfterLapse)) next.processes[n].map_counts = false;
      out(Label(n, "considers its lease expired"), next);
    }
    const lease_row& row = s.leases[n];
    if (!row.exists || row.ended) return;
    const bool believed = row.current && p.lease && Keeps(rule::kLeaseFromStoreTime);
    const bool granted = s.holds[row.machine] && Keeps(rule::kGrantWithinLease) &&
                         Keeps(rule::kLeaseFromStoreTime) && Keeps(rule::kGrantUnderLease);
    if (believed || granted) return;
    state next = s;
    next.leases[n].ended = true;
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
    fresh.map_same = s.processes[n].map_same;
    fresh.row_same = s.processes[n].row_same;
    fresh.other_same = s.processes[n].other_same;
    fresh.lease = s.processes[n].lease && !Keeps(rule::kRestartHasNoLease);
    next.processes[n] = fresh;
    next.leases[n].current = false;
    ++next.restarts;
    return next;
  }

  static void MapChanges(state& s) {
    for (process_state& p : s.processes) {
      p.map_known = false;
      p.map_same = false;
    }
  }

  static void RowChanges(state& s, uint8_t n) {
    s.processes[n].row_known = false;
    s.processes[n].row_same = false;
    s.processes[1 - n].other_known = false;
    s.processes[1 - n].other_over = false;
    s.processes[1 - n].other_same = false;
  }

  void Assign(state& s, uint8_t by, uint8_t node, uint8_t target) const {
    process_state& p = s.processes[by];
    const bool waits = p.waits;
    const bool grow = Keeps(rule::kFenceGrows);
    MapChanges(s);
    ++s.changes;
    if (grow) ++s.fence;
    s.owner_node = node;
    s.owner = target;
    if (!waits) return;
    p.owner = target;
    p.fence = s.fence;
    p.map_known = true;
    if (target != p.machine) p.giving = false;
  }

  state Act(const state& s, uint8_t n) const {
    state next = s;
    process_state& p = next.processes[n];
    const bool map_same = p.map_same || !Keeps(rule::kChangeExpectsMap);
    switch (p.call) {
      case store_call::kWriteLease:
        if (p.row_same) {
          RowChanges(next, n);
          next.leases[n] = {true, false, p.call_machine, p.call_current};
          if (p.waits) {
            const bool counts_still =
                !Keeps(rule::kMapReadUnderLease) || !Keeps(rule::kMapReadAfterLapse);
            if (!p.lease && !counts_still) p.map_counts = false;
            p.lease = true;
            p.row_known = true;
          }
        }
        break;
      case store_call::kTake:
        if (map_same) Assign(next, n, n, p.call_machine);
        break;
      case store_call::kGive:
        if (map_same) Assign(next, n, 1 - n, next.processes[1 - n].machine);
        break;
      case store_call::kAdopt:
        if (map_same && (p.other_same || !Keeps(rule::kAdoptExpectsLease))) {
          RowChanges(next, 1 - n);
          next.leases[1 - n] = {};
          Assign(next, n, n, p.call_machine);
        }
        break;
      case store_call::kNone:
        break;
    }
    p.call = store_call::kNone;
    p.call_machine = 0;
    p.call_current = false;
    p.waits = false;
    p.map_same = p.row_same = p.other_same = false;
    return next;
  }

  rule broken_;
  limits bounds_;
};

std::string Violation(const state& s) {
  int holders = 0;
  for (const bool holds : s.holds) holders += holds ? 1 : 0;
  if (holders > 1) return "two targets hold the key";
  if (s.fence_broken)
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

search_result Search(rule broken, const limits& bounds, size_t most_states) {
  struct visited {
    state at;
    size_t from = 0;
    std::string step;
  };
  const stepper steps(broken, bounds);
  std::deque<visited> all;
  std::unordered_set<packed, packed_hash> seen;
  state start;
  start.processes[1].machine = 1;
  all.push_back({start, 0, "start"});
  seen.insert(Pack(start));
  search_result found;
  for (size_t next = 0; next < all.size() && found.violation.empty(); ++next) {
    if (all.size() > most_states) return found;
    const state from = all[next].at;
    steps.Steps(from, [&](const std::string& step, const state& to) {
      if (!found.violation.empty() || !seen.insert(Pack(to)).second) return;
      all.push_back({to, next, step});
      found.violation = Violation(to);
    });
  }
  found.states = all.size();
  found.complete = found.violation.empty();
  if (found.complete) return found;
  for (size_t i = all.size() - 1; i > 0; i = all[i].from) {
    found.trace.insert(found.trace.begin(), all[i].step);
  }
  return found;
}

}  // namespace bulrushway::model
