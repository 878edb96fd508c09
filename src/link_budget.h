#ifndef BULRUSHWAY_LINK_BUDGET_H
#define BULRUSHWAY_LINK_BUDGET_H

// Bytes on the paid links between regions. Every message is counted; traffic that has a choice
// (spill to a remote target although a near one exists) is limited to a rate.

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "clock.h"

namespace bulrushway {

/// Limit for spilled traffic on each link.
struct link_settings {
  /// Bytes per second that spilled requests may use on a link, one way.
  uint64_t spill_bytes_per_second = 50'000'000;
  /// Bytes that may be sent at once after a pause.
  uint64_t spill_burst = 5'000'000;
};

/// Bytes sent on one link.
struct link_count {
  uint64_t bytes = 0;
  uint64_t spilled_bytes = 0;
  uint64_t refused_spills = 0;
};

/// Counts and limits the bytes of each ordered pair of regions.
class link_budget {
 public:
  explicit link_budget(link_settings settings) : settings_(settings) {}

  /// Counts bytes that have to be sent, such as those of a key whose owner is remote. Traffic
  /// within a region is not counted.
  void RecordBytes(std::string_view from, std::string_view to, uint64_t bytes);

  /// Counts bytes of a spilled request if the rate permits it; false: use a near target or refuse.
  bool TrySpill(std::string_view from, std::string_view to, uint64_t bytes, instant now);

  /// Counts of all links, by region of origin and of destination.
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
