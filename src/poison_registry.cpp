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

bool poison_registry::Quarantined(const record& known) const {
  const auto alone = static_cast<size_t>(
      std::count_if(known.crashes.begin(), known.crashes.end(),
                    [](const crash_sighting& sighting) { return sighting.alone; }));
  return known.crashes.size() >= settings_.crashes || alone >= settings_.crashes_alone;
}

// False if the crash is known already or no further one is needed.
bool poison_registry::Add(record& known, const crash_sighting& sighting) const {
  if (known.crashes.size() >= settings_.crashes) return false;
  const bool seen = std::any_of(
      known.crashes.begin(), known.crashes.end(),
      [&sighting](const crash_sighting& other) { return other.crash == sighting.crash; });
  if (!seen) known.crashes.push_back(sighting);
  return !seen;
}

std::vector<request_fingerprint> poison_registry::OnCrash(
    uint64_t crash, const std::vector<suspect_request>& running, instant now) {
  Expire(now);
  std::vector<request_fingerprint> quarantined;
  for (const suspect_request& suspect : running) {
    record& known = records_[suspect.fingerprint];
    known.home_regions = suspect.home_regions;
    Add(known, {crash, running.size() == 1});
    known.expires = now + settings_.duration;
    if (Quarantined(known)) quarantined.push_back(suspect.fingerprint);
  }
  MakeRoom();
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
  record& known = found->second;
  known.crashes.clear();
  ++known.release;
  known.expires = now + settings_.duration;
  return true;
}

void poison_registry::Merge(const poison_entry& entry, instant now) {
  if (entry.remaining.count() <= 0) return;
  record& known = records_[entry.fingerprint];
  if (entry.release < known.release) return;
  const std::chrono::nanoseconds remaining = std::min(entry.remaining, settings_.duration);
  if (entry.release > known.release || known.expires == instant{}) {
    known.release = entry.release;
    known.crashes.clear();
    known.expires = now + remaining;
  }
  known.home_regions = entry.home_regions;
  for (const crash_sighting& sighting : entry.crashes) {
    // Hearsay that says nothing new must not prolong the quarantine.
    if (Add(known, sighting)) known.expires = std::max(known.expires, now + remaining);
  }
  MakeRoom();
}

std::vector<poison_entry> poison_registry::Export(std::string_view region, instant now) {
  Expire(now);
  std::vector<poison_entry> entries;
  for (const auto& [fingerprint, known] : records_) {
    if (!AllowsRegion(known.home_regions, region)) continue;
    entries.push_back(
        {fingerprint, known.crashes, known.release, known.expires - now, known.home_regions});
  }
  return entries;
}

void poison_registry::Expire(instant now) {
  std::erase_if(records_, [now](const auto& item) { return item.second.expires <= now; });
}

void poison_registry::MakeRoom() {
  const auto fewer = [](const auto& left, const auto& right) {
    return left.second.crashes.size() < right.second.crashes.size();
  };
  while (records_.size() > settings_.most_entries) {
    records_.erase(std::min_element(records_.begin(), records_.end(), fewer));
  }
}

}  // namespace bulrushway
