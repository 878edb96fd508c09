#include "heavy_hitters.h"

#include <cmath>

namespace bulrushway {
namespace {

// Weights grow by this factor at most before all counts are brought to a new base.
constexpr double kLargestScale = 1e6;

}  // namespace

double heavy_hitters::Scale(instant now) const {
  using seconds = std::chrono::duration<double>;
  const double half_lives = seconds(now - base_) / seconds(half_life_);
  return std::exp2(half_lives);
}

void heavy_hitters::Rebase(instant now) {
  const double factor = 1 / Scale(now);
  base_ = now;
  total_ *= factor;
  by_count_.clear();
  for (auto& [key, kept] : counters_) {
    kept.count *= factor;
    kept.error *= factor;
    by_count_.emplace(kept.count, key);
  }
}

void heavy_hitters::Record(std::string_view key, instant now) {
  if (counters_.empty()) base_ = now;
  if (Scale(now) > kLargestScale) Rebase(now);
  const double weight = Scale(now);
  total_ += weight;
  const std::string name(key.substr(0, kLongestKey));
  auto found = counters_.find(name);
  counter kept;
  if (found != counters_.end()) {
    kept = found->second;
    by_count_.erase({kept.count, name});
  } else if (counters_.size() >= capacity_) {
    // The new key takes over the smallest counter, which bounds what it may have missed.
    const auto smallest = by_count_.begin();
    kept = {smallest->first, smallest->first};
    counters_.erase(smallest->second);
    by_count_.erase(smallest);
  }
  kept.count += weight;
  counters_[name] = kept;
  by_count_.emplace(kept.count, name);
}

std::vector<heavy_hitter> heavy_hitters::Top(size_t count, instant now) const {
  std::vector<heavy_hitter> top;
  const double scale = Scale(now);
  for (auto item = by_count_.rbegin(); item != by_count_.rend() && top.size() < count; ++item) {
    const counter& kept = counters_.at(item->second);
    top.push_back({item->second, kept.count / scale, kept.error / scale});
  }
  return top;
}

double heavy_hitters::Total(instant now) const { return total_ / Scale(now); }

}  // namespace bulrushway
