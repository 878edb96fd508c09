#include "process_lease.h"

#include <algorithm>
#include <utility>

#include "msgpack_fields.h"
#include "row_store.h"

namespace bulrushway {

static auto Fields(auto& m, const lease_record&) {
  return std::tie(m.node, m.ip, m.process, m.until, m.era);
}

namespace {

using std::chrono::milliseconds;

// Added to the end of a lease to cover the rounding of the store's clock.
constexpr store_time kEndMargin{50};
// After a failure, the next attempt comes when this part of the lease's remaining time has passed.
constexpr int kAttemptsBeforeEnd = 4;

}  // namespace

process_lease::process_lease(std::string node, std::string ip, uint64_t process,
                             const lease_settings& settings)
    : node_(std::move(node)),
      ip_(std::move(ip)),
      process_(process),
      settings_(settings),
      backoff_(settings.retry_delay, settings.longest_retry_delay) {}

void process_lease::OnRead(instant now, std::optional<lease_record> row, uint64_t version) {
  reading_ = false;
  row_known_ = true;
  version_ = version;
  // A write whose answer was lost may still have taken effect.
  if (row && row->process == process_) valid_until_ = std::max(valid_until_, row->until);
  const bool own_row = row && row->process == process_;
  const bool row_lost = written_era_ < era_;
  if (!own_row && !row_lost) valid_until_ = store_time{0};
  row_ = std::move(row);
  next_attempt_ = std::min(next_attempt_, now);
}

std::optional<process_lease::pending_write> process_lease::NextWrite(instant now,
                                                                     const store_clock& clock,
                                                                     bool settled) {
  if (!row_known_ || writing_ || reading_ || !clock.HasSample() || now < next_attempt_)
    return std::nullopt;
  // Another machine with this node's name may keep serving until its lease ends. An earlier process
  // of this machine has exited, and its target reports to this process instead.
  const bool other_machine = row_ && row_->ip != ip_;
  if (other_machine && !HasEnded(*row_, clock.Earliest(now))) return std::nullopt;
  // The store may have lost the row, or a renewal, of such a machine.
  const bool row_may_be_lost = !row_ || (other_machine && row_->era != era_);
  const bool goes_on = valid_until_ > clock.Latest(now);
  if (row_may_be_lost && !settled && !goes_on) return std::nullopt;
  return StartWrite(now, clock);
}

bool process_lease::ReadyForChange(instant now, const store_clock& clock) const {
  const bool own_row = row_known_ && row_ && row_->process == process_;
  return own_row && !writing_ && !reading_ && Valid(now, clock);
}

process_lease::pending_write process_lease::RenewalForChange(instant now,
                                                             const store_clock& clock) {
  return StartWrite(now, clock);
}

process_lease::pending_write process_lease::StartWrite(instant now, const store_clock& clock) {
  writing_ = true;
  written_until_ = clock.Earliest(now) + settings_.duration;
  return {version_, {node_, ip_, process_, written_until_, era_}};
}

void process_lease::OnWritten(instant now, uint64_t version) {
  writing_ = false;
  backoff_.OnSuccess();
  if (!row_ || row_->process != process_) ++acquisition_count_;
  row_ = lease_record{node_, ip_, process_, written_until_, era_};
  written_era_ = EraOf(version);
  version_ = version;
  valid_until_ = written_until_;
  next_attempt_ = now + settings_.renewal_interval;
}

milliseconds process_lease::RetryDelay(instant now, const store_clock& clock) {
  const milliseconds left = Remaining(now, clock);
  if (left.count() == 0) return backoff_.OnFailure();
  return std::clamp(left / kAttemptsBeforeEnd, settings_.retry_delay,
                    settings_.longest_retry_delay);
}

void process_lease::OnWriteFailed(instant now, const store_clock& clock, bool conflict) {
  writing_ = false;
  row_known_ = false;
  next_attempt_ = conflict ? now : now + RetryDelay(now, clock);
}

bool process_lease::NeedsRead(instant now) const {
  return !row_known_ && !reading_ && !writing_ && now >= next_attempt_;
}

void process_lease::OnReadFailed(instant now, const store_clock& clock) {
  reading_ = false;
  next_attempt_ = now + RetryDelay(now, clock);
}

milliseconds process_lease::Remaining(instant now, const store_clock& clock) const {
  if (!clock.HasSample() || valid_until_.count() == 0) return milliseconds{0};
  const store_time remaining = valid_until_ - clock.Latest(now);
  return std::max(remaining, milliseconds{0});
}

bool HasEnded(const lease_record& record, store_time store_now) {
  return store_now > record.until + kEndMargin;
}

std::string EncodeLease(const lease_record& record) { return msgpack_fields::Serialize(record); }

result<lease_record> DecodeLease(const std::string& bytes) {
  lease_record record;
  try {
    const msgpack::object_handle handle = msgpack_fields::Parse(bytes);
    msgpack_fields::Read(handle.get(), record);
  } catch (const std::exception& parse_error) {
    return Failure(error_kind::kPeer, "decode lease", {},
                   std::string("The row is not a lease: ") + parse_error.what() + ".");
  }
  return record;
}

}  // namespace bulrushway
