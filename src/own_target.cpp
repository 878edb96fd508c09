#include "own_target.h"

#include <algorithm>

namespace bulrushway {
namespace {

using std::chrono::milliseconds;

// A target that refuses connections is down when its last heartbeat is also older than this many
// intervals.
constexpr double kOverdueHeartbeats = 1.3;
// The target receives no more requests from this long before the drain limit on, so that those in
// transit arrive in time.
constexpr milliseconds kDrainMargin{400};
// After a refused connection or a timeout, new requests are held back for this long before the next
// one tries the target.
constexpr milliseconds kRefusedRetryInterval{250};
constexpr milliseconds kTimeoutRetryInterval{500};
// Outdated heartbeats of a live target are accepted after this many intervals without any other.
// Delayed heartbeats of an earlier incarnation arrive together, or beside those of the present one.
constexpr int kOutdatedIntervals = 4;
constexpr int kMaxMissedIntervals = 2;

}  // namespace

heartbeat_verdict own_target::OnHeartbeat(instant now, const target_heartbeat& heartbeat) {
  if (heartbeat.service != settings_.service || heartbeat.address != settings_.address) {
    return heartbeat_verdict::kForeign;
  }
  const bool outdated = Outdated(heartbeat);
  if (outdated && !ReplacesLastHeartbeat(now, heartbeat)) {
    // It is acknowledged, and a target does not take its leave back.
    const bool leaves = heartbeat.draining && heartbeat.incarnation == incarnation_;
    if (leaves && !leaving_since_) leaving_since_ = now;
    return heartbeat_verdict::kOutdated;
  }
  if (outdated) disproved_ = heartbeat_id{incarnation_, sequence_};
  outdated_run_.reset();
  const bool same_incarnation = heartbeat.incarnation == incarnation_;
  if (!same_incarnation) {
    incarnation_ = heartbeat.incarnation;
    leaving_since_.reset();
    cold_until_ = {};
  }
  sequence_ = heartbeat.sequence;
  slots_ = heartbeat.slots;
  last_heartbeat_ = now;
  refused_since_.reset();
  timed_out_since_.reset();
  misdirected_since_.reset();
  if (heartbeat.draining && !leaving_since_) leaving_since_ = now;
  cold_until_ = std::max(cold_until_, now + heartbeat.cold_left);
  return heartbeat_verdict::kAccepted;
}

bool own_target::Outdated(const target_heartbeat& heartbeat) const {
  if (disproved_ == heartbeat_id{heartbeat.incarnation, heartbeat.sequence}) return true;
  if (heartbeat.incarnation == incarnation_) return heartbeat.sequence <= sequence_;
  return !incarnation_.id.empty() && heartbeat.incarnation.started_ms <= incarnation_.started_ms;
}

bool own_target::ReplacesLastHeartbeat(instant now, const target_heartbeat& heartbeat) {
  const heartbeat_id id{heartbeat.incarnation, heartbeat.sequence};
  const bool repeated = id == heartbeat_id{incarnation_, sequence_} || id == disproved_;
  if (repeated) return false;
  const bool continued = outdated_run_ && outdated_run_->first > last_heartbeat_ &&
                         now - outdated_run_->last <= settings_.heartbeat * kMaxMissedIntervals &&
                         outdated_run_->incarnation == heartbeat.incarnation;
  // A late heartbeat of the run does not end it.
  if (continued && heartbeat.sequence <= outdated_run_->sequence) return false;
  if (!continued) {
    outdated_run_ = {heartbeat.incarnation, heartbeat.sequence, now, now};
    return false;
  }
  outdated_run_->sequence = heartbeat.sequence;
  outdated_run_->last = now;
  // The last accepted incarnation may be alive, and holds keys until its grant has ended.
  const bool other = heartbeat.incarnation != incarnation_;
  if (other && now - last_heartbeat_ < settings_.longest_grant + settings_.heartbeat) return false;
  return now - outdated_run_->first >= settings_.heartbeat * kOutdatedIntervals;
}

bool own_target::OnLeave(instant now, const std::string& id) {
  if (id != incarnation_.id) return false;
  if (!leaving_since_) leaving_since_ = now;
  return true;
}

void own_target::OnConnectionRefused(instant now, instant attempted) {
  if (!refused_since_) refused_since_ = now;
  ended_before_ = std::max(ended_before_, attempted);
}

void own_target::OnTimeout(instant now) {
  if (!timed_out_since_) timed_out_since_ = now;
}

void own_target::OnAnswer(instant) {
  refused_since_.reset();
  timed_out_since_.reset();
}

void own_target::OnCold(instant now, milliseconds left) { cold_until_ = now + left; }

bool own_target::Down(instant now) const {
  const auto overdue =
      std::chrono::duration_cast<milliseconds>(settings_.heartbeat * kOverdueHeartbeats);
  return refused_since_.has_value() && now - last_heartbeat_ > overdue;
}

bool own_target::Accepting(instant now) const {
  if (incarnation_.id.empty() || leaving_since_ || misdirected_since_) return false;
  if (Down(now)) return false;
  // One request per interval probes whether the target is available again.
  if (refused_since_ && now - *refused_since_ < kRefusedRetryInterval) return false;
  if (timed_out_since_ && now - *timed_out_since_ < kTimeoutRetryInterval) return false;
  return true;
}

bool own_target::Serving(instant now) const {
  if (incarnation_.id.empty() || misdirected_since_ || Down(now)) return false;
  return !leaving_since_ || now - *leaving_since_ < settings_.drain_limit - kDrainMargin;
}

target_condition own_target::Condition(instant now) const {
  if (incarnation_.id.empty()) return target_condition::kUnknown;
  if (Down(now)) return target_condition::kDown;
  return leaving_since_ ? target_condition::kLeaving : target_condition::kReady;
}

}  // namespace bulrushway
