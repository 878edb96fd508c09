#ifndef BULRUSHWAY_PROCESS_LEASE_H
#define BULRUSHWAY_PROCESS_LEASE_H

// The lease of a process, stored as a row of the platform's store. While the lease is valid, only
// this process may change the owner of its target's keys. The row states the end of the lease in
// store time. Another process may reassign the keys only after the store's clock has passed that
// end, in a transaction that also deletes the row.

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "clock.h"
#include "error.h"
#include "retry_backoff.h"
#include "store_clock.h"

namespace bulrushway {

/// Content of the lease row.
struct lease_record {
  std::string node;
  /// IP address of the node. It tells a replacement machine with the same node name apart.
  std::string ip;
  /// Incarnation of the process: a random number drawn at its start.
  uint64_t process = 0;
  /// End of the lease.
  store_time until{0};
  /// Era of the store in which the process wrote the row, as far as it knew.
  uint64_t era = 0;
};

/// Timing of leases.
struct lease_settings {
  /// A longer lease bridges longer outages of the store, but the keys of a lost machine stay
  /// unavailable until its lease ends.
  std::chrono::milliseconds duration{5500};
  /// Time between renewals. When an outage of the store begins, at least `duration` minus this
  /// interval remains of the lease, which covers the usual outage of 4.5 seconds.
  std::chrono::milliseconds renewal_interval{1000};
  /// Shortest and longest delay after a failed read or renewal. Attempts are rare while much of the
  /// lease is left, and most frequent before its end.
  std::chrono::milliseconds retry_delay{300};
  std::chrono::milliseconds longest_retry_delay{900};
};

/// The lease of this process.
class process_lease {
 public:
  process_lease(std::string node, std::string ip, uint64_t process, const lease_settings& settings);

  /// A lease row to write, on condition that the row has `version` (0: does not exist).
  struct pending_write {
    uint64_t version = 0;
    lease_record record;
  };

  /// The store is in this era. A lease that was acknowledged in an earlier one stays valid until it
  /// ends, even if the store has lost its row.
  void OnStoreEra(uint64_t era) { era_ = std::max(era_, era); }
  /// Reports the lease row as read from the store; nullopt if there is none.
  void OnRead(instant now, std::optional<lease_record> row, uint64_t version);
  /// Returns the row to write now in order to acquire or renew the lease; nullopt if no write is
  /// due. At most one write is in flight. `settled`: all leases that were acknowledged before the
  /// store last returned from a copy have ended.
  std::optional<pending_write> NextWrite(instant now, const store_clock& clock, bool settled);
  /// Whether the lease can be renewed together with a change of ownership: the row is known and no
  /// other call for it is in flight.
  bool ReadyForChange(instant now, const store_clock& clock) const;
  /// Returns the renewal to write together with a change; requires ReadyForChange(). Its condition
  /// on the row's version keeps the change of a process that has ended from taking effect after its
  /// successor has acquired the lease.
  pending_write RenewalForChange(instant now, const store_clock& clock);
  /// Reports that the write took effect; `version` is the new version of the row.
  void OnWritten(instant now, uint64_t version);
  /// Reports that the write failed or that its outcome is unknown. The row is read again before the
  /// next write. With `conflict`, the read is due at once.
  void OnWriteFailed(instant now, const store_clock& clock, bool conflict);
  /// Whether a read of the row is due. False while a read or write is in flight.
  bool NeedsRead(instant now) const;
  void OnReadStarted() { reading_ = true; }
  void OnReadFailed(instant now, const store_clock& clock);

  /// Whether the lease is certainly valid.
  bool Valid(instant now, const store_clock& clock) const {
    return Remaining(now, clock).count() > 0;
  }
  /// Lower bound of the time until the lease ends; zero if the lease may have ended.
  std::chrono::milliseconds Remaining(instant now, const store_clock& clock) const;
  /// Number of acquisitions, renewals excluded. The key map has to be read again after each
  /// acquisition.
  uint64_t AcquisitionCount() const { return acquisition_count_; }

 private:
  pending_write StartWrite(instant now, const store_clock& clock);
  std::chrono::milliseconds RetryDelay(instant now, const store_clock& clock);

  std::string node_;
  std::string ip_;
  uint64_t process_;
  lease_settings settings_;
  bool row_known_ = false;
  bool reading_ = false;
  bool writing_ = false;
  uint64_t version_ = 0;
  std::optional<lease_record> row_;
  store_time written_until_{0};
  store_time valid_until_{0};
  uint64_t era_ = 0;
  // Era in which the latest write was acknowledged.
  uint64_t written_era_ = 0;
  instant next_attempt_{};
  retry_backoff backoff_;
  uint64_t acquisition_count_ = 0;
};

/// Whether the lease has certainly ended. `store_now` must not be later than the store's clock.
bool HasEnded(const lease_record& record, store_time store_now);

std::string EncodeLease(const lease_record& record);
result<lease_record> DecodeLease(const std::string& bytes);

}  // namespace bulrushway

#endif  // BULRUSHWAY_PROCESS_LEASE_H
