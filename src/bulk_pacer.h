#ifndef BULRUSHWAY_BULK_PACER_H
#define BULRUSHWAY_BULK_PACER_H

// Limits the rate of a process's large answers to a little below the rate of its machine's link.
// Otherwise a few large answers at once fill the queue in front of a narrow link and cause
// head-of-line blocking: reports, receipts and the small answers that running requests wait for are
// delayed by a second and more. With pacing the large answers wait inside this process, and the
// small ones overtake them.

#include <cstddef>
#include <set>

#include "event_loop.h"

struct bufferevent;
struct bufferevent_rate_limit_group;
struct ev_token_bucket_cfg;

namespace bulrushway {

/// Paces all connections that carry large answers with one shared rate limit. Must outlive these
/// connections.
class bulk_pacer {
 public:
  /// `link_bytes_per_second`: rate of the machine's link in each direction; zero means unknown and
  /// disables pacing.
  bulk_pacer(event_loop& loop, double link_bytes_per_second);
  ~bulk_pacer();
  bulk_pacer(const bulk_pacer&) = delete;
  bulk_pacer& operator=(const bulk_pacer&) = delete;

  /// Must be called before `bytes` are written to the connection. Starts to pace the connection for
  /// a large answer; stops it for a small one when nothing is left to send.
  void BeforeWrite(bufferevent* connection, size_t bytes);
  /// Must be called before a paced connection is freed: otherwise libevent wakes it until its loop
  /// finalizes it, and writes from freed memory.
  void BeforeFree(bufferevent* connection);
  /// Bytes queued on the paced connections.
  size_t UnsentBytes() const;
  /// Shared rate limit of the paced connections in bytes per second; zero when nothing is paced.
  double BytesPerSecond() const { return bytes_per_second_; }

 private:
  double bytes_per_second_;
  std::set<bufferevent*> paced_;
  ev_token_bucket_cfg* rate_ = nullptr;
  bufferevent_rate_limit_group* group_ = nullptr;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_BULK_PACER_H
