#ifndef BULRUSHWAY_PROCESS_LEASE_H
#define BULRUSHWAY_PROCESS_LEASE_H

// The lease that a process holds from the platform's store. While it is valid, only this process
// changes the owner of the keys of its target. It is a row with an end in store time; whoever wants
// to take the keys over waits until the store's clock has passed that end, and deletes the row in
// the same transaction.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "clock.h"
#include "error.h"
#include "store_clock.h"

namespace bulrushway {

/// What stands in the row.
struct lease_record {
  std::string node;
  /// Address of the node. A machine that replaces another under the same name has another one.
  std::string ip;
  /// Life of the process, drawn at its start.
  uint64_t process = 0;
  store_time until{0};
};

/// Parameters of leases.
struct lease_settings {
  /// Length of a lease. Longer ones bridge longer outages of the store; the keys of a machine that
  /// is lost wait for its end.
  std::chrono::milliseconds duration{5500};
  /// A lease is renewed this long after its last renewal. What is left of a lease when an outage
  /// begins is at least the difference, which covers the usual outage of four and a half seconds.
  std::chrono::milliseconds renewal_interval{1000};
  /// Wait after a renewal that failed.
  std::chrono::milliseconds retry_delay{300};
};

/// The lease of this process.
class process_lease {
 public:
  process_lease(std::string node, std::string ip, uint64_t process, const lease_settings& settings);

  /// A row to write, expected at `version` (0: no row).
  struct pending_write {
    uint64_t version = 0;
    lease_record record;
  };

  /// The row as it was read; none if there is no row.
  void OnRead(instant now, std::optional<lease_record> row, uint64_t version);
  /// The row to write now, if any: acquires or renews. One write is under way at a time.
  std::optional<pending_write> NextWrite(instant now, const store_clock& clock);
  /// The write took effect and the row has this version.
  void OnWritten(instant now, uint64_t version);
  /// The write did not take effect, or nobody knows. The row has to be read again before the next
  /// write.
  void OnWriteFailed(instant now, bool conflict);
  /// True when the row has to be read, and no read is under way.
  bool NeedsRead(instant now) const;
  void OnReadStarted() { reading_ = true; }
  void OnReadFailed(instant now);

  /// Whether the lease is valid.
  bool Valid(instant now, const store_clock& clock) const {
    return Remaining(now, clock).count() > 0;
  }
  /// Time for which the lease is valid for certain; zero when it is not.
  std::chrono::milliseconds Remaining(instant now, const store_clock& clock) const;
  /// Counts how often the lease was acquired anew, so that others see when to read the map again.
  uint64_t AcquisitionCount() const { return acquisition_count_; }

 private:
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
  instant next_attempt_{};
  uint64_t acquisition_count_ = 0;
};

/// Whether the lease has ended for certain by the store's own clock.
bool HasEnded(const lease_record& record, store_time store_now);

std::string EncodeLease(const lease_record& record);
result<lease_record> DecodeLease(const std::string& bytes);

}  // namespace bulrushway

#endif  // BULRUSHWAY_PROCESS_LEASE_H
