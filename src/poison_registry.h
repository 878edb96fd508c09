#ifndef BULRUSHWAY_POISON_REGISTRY_H
#define BULRUSHWAY_POISON_REGISTRY_H

// Requests that crash the targets that run them. A request that was under way at several crashes,
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

/// Makes the fingerprint of a request.
request_fingerprint MakeRequestFingerprint(std::string_view service, std::string_view route,
                                           std::string_view key, std::string_view body);

/// One crash of a target at which a request was under way.
struct crash_record {
  /// Number of the crash, unique across processes.
  uint64_t crash_id = 0;
  /// No other request was under way at the target.
  bool alone = false;
};

/// Crashes that one request was part of, as processes tell it to each other.
struct poison_entry {
  request_fingerprint fingerprint = 0;
  std::vector<crash_record> crashes;
  /// Raised by each release; an entry with an older number says nothing any more.
  uint32_t release_count = 0;
  /// Time until the entry is forgotten.
  std::chrono::nanoseconds remaining{0};
  /// Regions that may know of the request; empty: all.
  std::vector<std::string> home_regions;
};

/// A request that was under way at a target.
struct suspect_request {
  request_fingerprint fingerprint = 0;
  std::vector<std::string> home_regions;
};

/// Parameters of the quarantine.
struct poison_settings {
  /// Crashes of targets at which a request was under way before it is quarantined.
  size_t crash_limit = 3;
  /// The same for a request that was alone at the target at each of them.
  size_t crash_limit_alone = 2;
  /// How long a crash counts and how long the quarantine lasts after the last one.
  std::chrono::nanoseconds duration = std::chrono::minutes(10);
  /// Requests remembered at most; beyond, the ones with the fewest crashes are forgotten.
  size_t max_entries = 4096;
};

/// The quarantine as one process knows it.
class poison_registry {
 public:
  explicit poison_registry(poison_settings settings) : settings_(settings) {}

  /// Notes that a target crashed while it ran `running`. `crash` is unique across processes.
  /// Returns the fingerprints that are quarantined as of now.
  std::vector<request_fingerprint> OnCrash(uint64_t crash_id,
                                           const std::vector<suspect_request>& running,
                                           instant now);

  /// Notes that a target answered the request: it was a bystander at earlier crashes.
  void OnAnswered(request_fingerprint fingerprint, instant now);

  /// Whether the request must not be handed to a target.
  bool Quarantined(request_fingerprint fingerprint, instant now) const;

  /// Ends the quarantine of a request here, and at the peers as the entry reaches them. False if
  /// the fingerprint is not known.
  bool Release(request_fingerprint fingerprint, instant now);

  /// Takes over what a peer says.
  void Merge(const poison_entry& entry, instant now);

  /// What a process in `region` may be told.
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
