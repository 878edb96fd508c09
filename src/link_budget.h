#ifndef BULRUSHWAY_LINK_BUDGET_H
#define BULRUSHWAY_LINK_BUDGET_H

// Counts and limits the bytes sent over paid links between regions. Optional traffic is rate
// limited by a token bucket per link: requests that spill to a remote target although a local one
// exists.

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "clock.h"

namespace bulrushway {

/// Rate limit of spilled traffic on each link.
struct link_settings {
  /// Bytes per second of spilled requests, per direction.
  uint64_t spill_bytes_per_second = 50'000'000;
  /// Capacity of the token bucket, in bytes.
  uint64_t spill_burst = 5'000'000;
};

/// Counters of one link in one direction.
struct link_count {
  uint64_t bytes = 0;
  uint64_t spilled_bytes = 0;
  uint64_t refused_spills = 0;
};

/// Byte counters and spill limits of all ordered pairs of regions.
class link_budget {
 public:
  explicit link_budget(link_settings settings) : settings_(settings) {}

  /// Counts bytes of traffic that is not limited, such as a request whose owner is remote. Traffic
  /// within a region is not counted.
  void RecordBytes(std::string_view from, std::string_view to, uint64_t bytes);

  /// Takes tokens for a spilled request and counts its bytes. False if the rate limit is reached:
  /// prefer a target in the same region. Always true within a region.
  bool TrySpill(std::string_view from, std::string_view to, uint64_t bytes, instant now);

  /// Counters of all links, by source and destination region.
  std::map<std::pair<std::string, std::string>, link_count> Counts() const;

 private:
  struct link {
    link_count count;
    double tokens = 0;
    instant refilled_at{};
    bool never_refilled = true;
  };

  link& LinkOf(std::string_view from, std::string_view to);
  void Refill(link& refilled_link, instant now) const;

  link_settings settings_;
  std::map<std::pair<std::string, std::string>, link> links_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_LINK_BUDGET_H
