#ifndef BULRUSHWAY_BULK_PACER_H
#define BULRUSHWAY_BULK_PACER_H

// Keeps the large answers of a process a little below what its machine's link carries. Without it,
// a few large answers at once fill the queue in front of a narrow link, and reports, receipts and
// the small answers that running requests wait for stand behind them for a second and more. Paced,
// the large answers wait inside this process, and the small ones pass them.

#include <cstddef>
#include <set>

#include "event_loop.h"

struct bufferevent;
struct bufferevent_rate_limit_group;
struct ev_token_bucket_cfg;

namespace bulrushway {

/// Paces connections that carry large answers, all of them together. Outlives these connections.
class bulk_pacer {
 public:
  /// `link_bytes_per_second`: what the machine's link carries each way; 0 when unknown, and then
  /// nothing is paced.
  bulk_pacer(event_loop& loop, double link_bytes_per_second);
  ~bulk_pacer();
  bulk_pacer(const bulk_pacer&) = delete;
  bulk_pacer& operator=(const bulk_pacer&) = delete;

  /// To be called before `bytes` are written to the connection: paces it from now on when they are
  /// a large answer, and no longer when they are a small one and nothing large is left to send.
  void BeforeWrite(bufferevent* connection, size_t bytes);
  /// To be called before a connection that may be paced is freed: libevent would go on waking it
  /// until its loop finalizes it, and write from freed memory.
  void BeforeFree(bufferevent* connection);
  /// Bytes that wait on the paced connections.
  size_t UnsentBytes() const;
  /// Bytes per second that all of them may send; 0 when nothing is paced.
  double BytesPerSecond() const { return bytes_per_second_; }

 private:
  double bytes_per_second_;
  std::set<bufferevent*> paced_;
  ev_token_bucket_cfg* rate_ = nullptr;
  bufferevent_rate_limit_group* group_ = nullptr;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_BULK_PACER_H
