#ifndef BULRUSHWAY_TEST_KEY_FLEET_H
#define BULRUSHWAY_TEST_KEY_FLEET_H

// Simulates the nodes and targets of one sharded service on simulated time, with the real
// range_controller, process_lease and range_service. Checks that at most one target holds a key and
// that fencing tokens rise when a key changes its holder.

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "decision_log.h"
#include "event_loop.h"
#include "fake_row_store.h"
#include "metrics.h"
#include "own_target.h"
#include "range_service.h"

namespace bulrushway {

/// A target that holds the key ranges granted to it. It measures the hold time from the moment at
/// which it sent the heartbeat, on a clock that may run slow.
struct simulated_target {
  struct held_range {
    key_range keys;
    uint64_t fence = 0;
    instant until;
  };
  target_incarnation incarnation;
  bool up = true;
  bool draining = false;
  uint64_t sequence = 0;
  double clock_rate = 1;
  instant next_heartbeat{};
  /// Heartbeats sent before this instant arrive at it.
  instant heartbeats_arrive_from{};
  std::vector<held_range> held_ranges;
  std::vector<released_range> released;
  // Highest fencing tokens that it has seen, by keys.
  std::vector<::bulrushway::held_range> seen_fences;

  bool Holds(instant now, uint32_t key) const;
  void ApplyGrant(instant sent, instant now, const target_grant& grant);
  /// Carries out a call that arrived at `arrived`. Never refuses a release. A call names its target
  /// by the id alone.
  grant_call_result Apply(instant now, instant arrived, const grant_call& call);
  /// Stops holding the keys.
  void Drop(const key_range& keys);
  void DropExpired(instant now);
};

/// An instance: a router process and its target.
struct simulated_node {
  std::string name;
  std::string ip;
  uint64_t process = 0;
  bool process_up = true;
  bool reaches_store = true;
  /// Until then the process is paused: it doesn't run, and keeps its state.
  instant paused_until{};
  simulated_target target;
  std::shared_ptr<bool> alive;
  std::unique_ptr<range_service> ranges;
  /// What the process knows of its target.
  std::unique_ptr<own_target> known_target;
  /// The process's connection for grants, and the session that it belongs to.
  bool connected = false;
  uint64_t session = 0;
  row_store rows;
  instant next_map_update{};
  instant next_request{};
  instant restart_at{};
  bool restart_target = false;
  bool lost = false;
};

/// Result of a simulation.
struct key_fleet_report {
  /// The first violated invariant; empty if there was none.
  std::string violation;
  /// Share of the keys that some target holds at the end.
  double share_held = 0;
  uint64_t map_version = 0;
};

/// The simulated fleet and its store.
class key_fleet {
 public:
  key_fleet(uint64_t seed, size_t nodes,
            grant_delivery_kind delivery = grant_delivery_kind::kHeartbeat);
  ~key_fleet();

  /// Runs the simulation for `span`. Report returns violations.
  void RunFor(std::chrono::milliseconds span);
  /// Injects one random fault at a random node or at the store.
  void InjectFault();
  /// Ends all faults and restarts what is down.
  void Heal();

  std::vector<std::unique_ptr<simulated_node>>& nodes() { return nodes_; }
  fake_row_store& store() { return store_; }
  instant now() const { return now_; }
  key_fleet_report Report();
  /// Share of the keys that some target held at any time within the last `span`.
  double ShareHeldWithin(std::chrono::milliseconds span) const;
  /// Returns the node whose target holds the key, or null.
  const simulated_node* HolderOf(uint32_t key) const;
  void StartProcess(simulated_node& node);
  void StopProcess(simulated_node& node);
  void StartTarget(simulated_node& node);
  /// Starts the target under the id that it had. Its first heartbeats take `heartbeat_delay`.
  void RestartTargetUnderItsId(simulated_node& node, std::chrono::milliseconds heartbeat_delay);

  /// Longest delay before the store's feed delivers a change of the key map. In production it grows
  /// with the fleet.
  std::chrono::milliseconds max_map_delay{1500};
  /// Share of the calls to targets that are not answered, and are carried out up to 3 s later.
  double late_calls = 0;
  /// Share of the answers to grants that close their connection.
  double closing_answers = 0;
  /// Share of the heartbeats that arrive up to 3 s late, where grants are made by calls.
  double late_heartbeats = 0;
  /// Time between two requests to a target.
  std::chrono::milliseconds request_interval{100};

 private:
  void Step();
  // Delivers the notification that a node was assigned keys, unless its process is down or paused.
  void OnMapChanged(const key_map_change& change);
  void Heartbeat(simulated_node& node);
  // Delivers a heartbeat to the process, if it runs, and its answer to the target.
  void DeliverHeartbeat(simulated_node& node, const target_heartbeat& heartbeat);
  // Sends the target a request, whose outcome tells whether it listens.
  void SendRequest(simulated_node& node);
  void UpdateTarget(simulated_node& node);
  // Delivers a grant that arrives now. Returns its outcome, which is unknown for a late one.
  grant_call_outcome DeliverGrant(simulated_node& node, const grant_call& call, bool late);
  // Delivers a call to the node's target, and its outcome to the process that sent it.
  void CallTarget(simulated_node& node, const grant_call& call,
                  std::function<void(instant, const grant_call_outcome&)> done);
  void RunEvents();
  void CheckInvariants();
  // Delivers the current key map to a node whose map is outdated.
  void DeliverMap(simulated_node& node);
  std::vector<range_candidate> Candidates() const;

  event_loop loop_;
  decision_log log_;
  metrics metrics_;
  std::mt19937_64 rng_;
  grant_delivery_kind delivery_;
  std::multimap<instant, std::function<void()>> events_;
  fake_row_store store_;
  instant now_;
  int64_t wall_ms_ = 1'000'000;
  uint64_t next_process_ = 1;
  std::vector<std::unique_ptr<simulated_node>> nodes_;
  // Targets of replaced machines that are partitioned from the fleet. They keep serving until their
  // grants expire.
  std::vector<simulated_target> replaced_targets_;
  std::map<uint32_t, std::pair<std::string, uint64_t>> last_grant_;
  std::map<uint32_t, instant> last_held_;
  std::string violation_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_TEST_KEY_FLEET_H
