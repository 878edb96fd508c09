#include "poison_registry.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

#include "home_regions.h"

namespace bulrushway {
namespace {

uint64_t ChainHash(uint64_t seed, std::string_view part) {
  return XXH3_64bits_withSeed(part.data(), part.size(), seed + part.size());
}

}  // namespace

request_fingerprint MakeRequestFingerprint(std::string_view service, std::string_view route,
                                           std::string_view key, std::string_view body) {
  return ChainHash(ChainHash(ChainHash(ChainHash(0, service), route), key), body);
}

bool poison_registry::Quarantined(const record& state) const {
  const auto alone =
      static_cast<size_t>(std::count_if(state.crashes.begin(), state.crashes.end(),
                                        [](const crash_record& crash) { return crash.alone; }));
  return state.crashes.size() >= settings_.crash_limit || alone >= settings_.crash_limit_alone;
}

// False if the crash is already recorded or the limit is reached.
bool poison_registry::AddCrash(record& state, const crash_record& crash) const {
  if (state.crashes.size() >= settings_.crash_limit) return false;
  const bool seen =
      std::any_of(state.crashes.begin(), state.crashes.end(),
                  [&crash](const crash_record& other) { return other.crash_id == crash.crash_id; });
  if (!seen) state.crashes.push_back(crash);
  return !seen;
}

std::vector<request_fingerprint> poison_registry::OnCrash(
    uint64_t crash_id, const std::vector<suspect_request>& running, instant now) {
  Expire(now);
  std::vector<request_fingerprint> quarantined;
  for (const suspect_request& suspect : running) {
    record& state = records_[suspect.fingerprint];
    state.home_regions = suspect.home_regions;
    AddCrash(state, {crash_id, running.size() == 1});
    state.expires = now + settings_.duration;
    if (Quarantined(state)) quarantined.push_back(suspect.fingerprint);
  }
  EvictExcess();
  return quarantined;
}

void poison_registry::OnAnswered(request_fingerprint fingerprint, instant now) {
  const auto found = records_.find(fingerprint);
  if (found == records_.end() || Quarantined(found->second)) return;
  Release(fingerprint, now);
}

bool poison_registry::Quarantined(request_fingerprint fingerprint, instant now) const {
  const auto found = records_.find(fingerprint);
  if (found == records_.end() || found->second.expires <= now) return false;
  return Quarantined(found->second);
}

bool poison_registry::Release(request_fingerprint fingerprint, instant now) {
  const auto found = records_.find(fingerprint);
  if (found == records_.end()) return false;
  record& state = found->second;
  state.crashes.clear();
  ++state.release_count;
  state.expires = now + settings_.duration;
  return true;
}

void poison_registry::Merge(const poison_entry& entry, instant now) {
  if (entry.remaining.count() <= 0) return;
  record& state = records_[entry.fingerprint];
  if (entry.release_count < state.release_count) return;
  const std::chrono::nanoseconds remaining = std::min(entry.remaining, settings_.duration);
  if (entry.release_count > state.release_count || state.expires == instant{}) {
    state.release_count = entry.release_count;
    state.crashes.clear();
    state.expires = now + remaining;
  }
  state.home_regions = entry.home_regions;
  for (const crash_record& crash : entry.crashes) {
    // An entry without a new crash must not prolong the quarantine.
    if (AddCrash(state, crash)) state.expires = std::max(state.expires, now + remaining);
  }
  EvictExcess();
}

std::vector<poison_entry> poison_registry::Export(std::string_view region, instant now) {
  Expire(now);
  std::vector<poison_entry> entries;
  for (const auto& [fingerprint, state] : records_) {
    if (!AllowsRegion(state.home_regions, region)) continue;
    entries.push_back(
        {fingerprint, state.crashes, state.release_count, state.expires - now, state.home_regions});
  }
  return entries;
}

void poison_registry::Expire(instant now) {
  std::erase_if(records_, [now](const auto& item) { return item.second.expires <= now; });
}

void poison_registry::EvictExcess() {
  const auto fewer_crashes = [](const auto& left, const auto& right) {
    return left.second.crashes.size() < right.second.crashes.size();
  };
  while (records_.size() > settings_.max_entries) {
    records_.erase(std::min_element(records_.begin(), records_.end(), fewer_crashes));
  }
}

}  // namespace bulrushway
