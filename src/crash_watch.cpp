#include "crash_watch.h"

#include <utility>

namespace bulrushway {
namespace {

// A crash shows within this time after the connections broke off: by the next request that is
// refused, or by the heartbeat of the next life.
constexpr std::chrono::seconds kMaxAge{8};

}  // namespace

void crash_watch::OnConnectionLost(instant now, suspect_request request) {
  std::erase_if(lost_connections_,
                [now](const lost_connection& lost) { return now - lost.at > kMaxAge; });
  lost_connections_.push_back({now, std::move(request)});
}

std::vector<suspect_request> crash_watch::TakeSuspects(instant now) {
  // Those that broke off together with the last one went down with the target; earlier ones were
  // broken off by themselves.
  constexpr std::chrono::milliseconds kCrashWindow{300};
  std::vector<suspect_request> suspects;
  if (lost_connections_.empty()) return suspects;
  const instant last = lost_connections_.back().at;
  for (lost_connection& lost : lost_connections_) {
    if (now - lost.at > kMaxAge || last - lost.at > kCrashWindow) continue;
    suspects.push_back(std::move(lost.request));
  }
  lost_connections_.clear();
  return suspects;
}

}  // namespace bulrushway
