#ifndef BULRUSHWAY_TEST_KEY_FLEET_H
#define BULRUSHWAY_TEST_KEY_FLEET_H

// Nodes beside targets of one divided service, played in time against the real range controller,
// lease and range service, with targets that hold keys as the platform's do. Finds two targets that
// hold a key at once, and fences that do not grow.

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
#include "range_service.h"

namespace bulrushway {

/// A target that holds what it is granted, counting from the sending of its heartbeat on a clock
/// that may run slow.
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
  std::vector<held_range> held_ranges;
  std::vector<released_range> released;

  bool Holds(instant now, uint32_t key) const;
  void ApplyGrant(instant sent, instant now, const target_grant& grant);
  void DropExpired(instant now);
};

/// A machine: process and target.
struct simulated_node {
  std::string name;
  std::string ip;
  uint64_t process = 0;
  bool process_up = true;
  bool reaches_store = true;
  /// The process does not run, but is not gone either.
  instant paused_until{};
  simulated_target target;
  std::shared_ptr<bool> alive;
  std::unique_ptr<range_service> ranges;
  row_store rows;
  instant next_map_update{};
  instant restart_at{};
  bool restart_target = false;
  bool lost = false;
};

/// What a run has seen.
struct key_fleet_report {
  /// The first violation; empty when there was none.
  std::string violation;
  /// Keys that some target holds at the end, as a share.
  double share_held = 0;
  uint64_t map_version = 0;
};

/// The fleet.
class key_fleet {
 public:
  key_fleet(uint64_t seed, size_t nodes);
  ~key_fleet();

  /// Plays this long. Violations are noted in the report.
  void RunFor(std::chrono::milliseconds span);
  /// One random fault.
  void InjectFault();
  /// Ends all faults: everything is up and reaches the store.
  void Heal();

  std::vector<std::unique_ptr<simulated_node>>& nodes() { return nodes_; }
  fake_row_store& store() { return store_; }
  instant now() const { return now_; }
  key_fleet_report Report();
  /// Share of the keys that some target held at some time in the last `span`.
  double ShareHeldWithin(std::chrono::milliseconds span) const;
  /// The target that holds the key now, or null.
  const simulated_node* HolderOf(uint32_t key) const;
  void StartProcess(simulated_node& node);
  void StopProcess(simulated_node& node);
  void StartTarget(simulated_node& node);

  /// A feed brings a change of the map this late at most; it grows with the fleet.
  std::chrono::milliseconds max_map_delay{1500};

 private:
  void Step();
  // A notice that a node has been given keys reaches it, unless its process does not run.
  void OnKeysAssigned(const std::string& name, uint64_t version);
  void Heartbeat(simulated_node& node);
  void CheckInvariants();
  // The feed of the store brings a new map.
  void DeliverMap(simulated_node& node);
  std::vector<range_candidate> Candidates() const;

  event_loop loop_;
  decision_log log_;
  metrics metrics_;
  std::mt19937_64 rng_;
  fake_row_store store_;
  instant now_;
  int64_t wall_ms_ = 1'000'000;
  uint64_t next_process_ = 1;
  std::vector<std::unique_ptr<simulated_node>> nodes_;
  // Targets of machines that were replaced while they were cut off; they go on for a while.
  std::vector<simulated_target> replaced_targets_;
  std::map<uint32_t, std::pair<std::string, uint64_t>> last_grant_;
  std::map<uint32_t, instant> last_held_;
  std::string violation_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_TEST_KEY_FLEET_H
