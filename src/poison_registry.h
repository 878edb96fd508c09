#ifndef BULRUSHWAY_POISON_REGISTRY_H
#define BULRUSHWAY_POISON_REGISTRY_H

// Requests that crash the targets that run them. A request that was running during several crashes,
// and was not answered in between, is quarantined for a while at every process that may know of it.

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "clock.h"

namespace bulrushway {

/// Hash of service, route, key and body of a request.
using request_fingerprint = uint64_t;

request_fingerprint MakeRequestFingerprint(std::string_view service, std::string_view route,
                                           std::string_view key, std::string_view body);

/// A crash of a target during which a certain request was running.
struct crash_record {
  /// Identifier of the crash; unique across processes.
  uint64_t crash_id = 0;
  /// No other request was running at the target.
  bool alone = false;
};

/// Crashes during which one request was running, as exchanged between processes.
struct poison_entry {
  request_fingerprint fingerprint = 0;
  std::vector<crash_record> crashes;
  /// Number of releases; an entry with a lower number is outdated.
  uint32_t release_count = 0;
  /// Time until the entry expires.
  std::chrono::nanoseconds remaining{0};
  /// Regions that may know of the request; empty means all.
  std::vector<std::string> home_regions;
};

/// A request that was running at a target when it crashed.
struct suspect_request {
  request_fingerprint fingerprint = 0;
  std::vector<std::string> home_regions;
};

/// Parameters of the quarantine.
struct poison_settings {
  /// A request is quarantined once it was running during this many crashes.
  size_t crash_limit = 3;
  /// The same for a request that was the only one at the target in each of these crashes.
  size_t crash_limit_alone = 2;
  /// Time after the last crash at which the entry, and with it the quarantine, expires.
  std::chrono::nanoseconds duration = std::chrono::minutes(10);
  /// Maximum number of entries; the ones with the fewest crashes are evicted first.
  size_t max_entries = 4096;
};

/// Suspect and quarantined requests as known to one process.
class poison_registry {
 public:
  explicit poison_registry(poison_settings settings) : settings_(settings) {}

  /// Records that a target crashed while it ran `running`. `crash_id` is unique across processes.
  /// Returns the fingerprints of `running` that are quarantined after this crash.
  std::vector<request_fingerprint> OnCrash(uint64_t crash_id,
                                           const std::vector<suspect_request>& running,
                                           instant now);

  /// Records that a target answered the request: it did not cause the earlier crashes.
  void OnAnswered(request_fingerprint fingerprint, instant now);

  /// Whether the request must not be sent to a target.
  bool Quarantined(request_fingerprint fingerprint, instant now) const;

  /// Ends the quarantine of a request here, and at the peers once the entry reaches them. False if
  /// the fingerprint is unknown.
  bool Release(request_fingerprint fingerprint, instant now);

  /// Merges the entry of a peer.
  void Merge(const poison_entry& entry, instant now);

  /// Entries that a process in `region` may receive.
  std::vector<poison_entry> Export(std::string_view region, instant now);

  size_t size() const { return records_.size(); }

 private:
  struct record {
    std::vector<crash_record> crashes;
    uint32_t release_count = 0;
    instant expires{};
    std::vector<std::string> home_regions;
  };

  bool Quarantined(const record& state) const;
  bool AddCrash(record& state, const crash_record& crash) const;
  void Expire(instant now);
  void EvictExcess();

  poison_settings settings_;
  std::unordered_map<request_fingerprint, record> records_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_POISON_REGISTRY_H
