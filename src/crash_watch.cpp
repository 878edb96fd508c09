#include "crash_watch.h"

#include <utility>

namespace bulrushway {
namespace {

// A crash is detected within this time after the connections were lost: by the next request that
// the target refuses, or by the heartbeat of its next incarnation.
constexpr std::chrono::seconds kMaxAge{8};

}  // namespace

void crash_watch::OnConnectionLost(instant now, suspect_request request) {
  std::erase_if(lost_connections_,
                [now](const lost_connection& lost) { return now - lost.at > kMaxAge; });
  lost_connections_.push_back({now, std::move(request)});
}

std::vector<suspect_request> crash_watch::TakeSuspects(instant now) {
  // Connections that were lost within this time of the last one are attributed to the crash;
  // earlier ones were lost for other reasons.
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
