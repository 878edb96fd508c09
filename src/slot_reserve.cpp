#include "slot_reserve.h"

#include <algorithm>
#include <cmath>

namespace bulrushway {
namespace {

// Time constant of the measured load.
constexpr std::chrono::duration<double> kLoadTime{1};
// EWMA weight of a new request in the tolerated wait of its rank.
constexpr double kSpareWeight = 0.1;
// A smaller load needs no room of its own, in slots.
constexpr double kMinLoad = 0.05;

}  // namespace

double slot_reserve::SlotsAt(instant now, const rank_load& load) {
  const std::chrono::duration<double> elapsed = now - load.measured;
  return load.slots * std::exp(-std::max(0.0, elapsed / kLoadTime));
}

void slot_reserve::OnArrival(instant now, const reserve_request& request) {
  const auto [found, added] = loads_.try_emplace(request.rank);
  rank_load& load = found->second;
  const std::chrono::duration<double> work = request.work;
  load.slots = SlotsAt(now, load) + work / kLoadTime;
  load.measured = now;
  const auto spare = static_cast<double>(std::max<int64_t>(0, request.spare.count()));
  load.spare_ms = added ? spare : load.spare_ms + kSpareWeight * (spare - load.spare_ms);
}

uint32_t slot_reserve::ReservedFrom(instant now, const reserve_request& request,
                                    uint32_t slots) const {
  double load = 0;
  for (const auto& [rank, urgent] : loads_) {
    if (rank >= request.rank) break;
    const bool can_wait = urgent.spare_ms >= static_cast<double>(request.work.count());
    if (!can_wait) load += SlotsAt(now, urgent);
  }
  if (load < kMinLoad || slots <= 1) return 0;
  // The mean and one deviation of the slots in use, if requests arrive independently.
  const double needed = std::ceil(load + std::sqrt(load));
  return std::min(static_cast<uint32_t>(needed), slots - 1);
}

}  // namespace bulrushway
