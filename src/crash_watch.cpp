#include "crash_watch.h"

#include <utility>

namespace bulrushway {
namespace {

// A crash shows within this time after the connections broke off: by the next request that is
// refused, or by the heartbeat of the next life.
constexpr std::chrono::seconds kMemory{8};

}  // namespace

void crash_watch::OnBrokenOff(instant now, suspect_request request) {
  std::erase_if(broken_off_, [now](const broken_off& one) { return now - one.at > kMemory; });
  broken_off_.push_back({now, std::move(request)});
}

std::vector<suspect_request> crash_watch::TakeSuspects(instant now) {
  // Those that broke off together with the last one went down with the target; earlier ones were
  // broken off by themselves.
  constexpr std::chrono::milliseconds kTogether{300};
  std::vector<suspect_request> suspects;
  if (broken_off_.empty()) return suspects;
  const instant last = broken_off_.back().at;
  for (broken_off& one : broken_off_) {
    if (now - one.at > kMemory || last - one.at > kTogether) continue;
    suspects.push_back(std::move(one.request));
  }
  broken_off_.clear();
  return suspects;
}

}  // namespace bulrushway
