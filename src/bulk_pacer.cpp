#include "bulk_pacer.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <sys/time.h>

#include <algorithm>

namespace bulrushway {
namespace {

// Share of the link for large answers. The rest is for traffic that must not wait: reports take 2%
// of a link of 13 Mbit/s, small answers and TCP/IP headers about a tenth.
constexpr double kBulkShare = 0.85;
// Answers above this size are large: 16 KiB take 10 ms on a link of 13 Mbit/s.
constexpr size_t kLargeBytes = 16 << 10;
// Refill interval of the token bucket: at most 25 ms of data queue up at the link.
constexpr std::chrono::milliseconds kRefillInterval{25};
// Minimum bytes that one connection may write in its turn: fewer, larger writes use less CPU.
constexpr size_t kMinWrite = 8 << 10;

}  // namespace

bulk_pacer::bulk_pacer(event_loop& loop, double link_bytes_per_second)
    : bytes_per_second_(std::max(0.0, link_bytes_per_second * kBulkShare)) {
  if (bytes_per_second_ == 0) return;
  const std::chrono::duration<double> interval = kRefillInterval;
  const auto bytes = std::max<size_t>(1, static_cast<size_t>(bytes_per_second_ * interval.count()));
  const timeval tick{0, std::chrono::microseconds(kRefillInterval).count()};
  rate_ = ev_token_bucket_cfg_new(EV_RATE_LIMIT_MAX, EV_RATE_LIMIT_MAX, bytes, bytes, &tick);
  group_ = bufferevent_rate_limit_group_new(loop.Base(), rate_);
  bufferevent_rate_limit_group_set_min_share(group_, std::min(bytes, kMinWrite));
}

bulk_pacer::~bulk_pacer() {
  if (group_ == nullptr) return;
  bufferevent_rate_limit_group_free(group_);
  ev_token_bucket_cfg_free(rate_);
}

void bulk_pacer::BeforeWrite(bufferevent* connection, size_t bytes) {
  if (group_ == nullptr) return;
  if (bytes > kLargeBytes) {
    if (paced_.insert(connection).second) bufferevent_add_to_rate_limit_group(connection, group_);
  } else if (evbuffer_get_length(bufferevent_get_output(connection)) == 0) {
    BeforeFree(connection);
  }
}

void bulk_pacer::BeforeFree(bufferevent* connection) {
  if (paced_.erase(connection) > 0) bufferevent_remove_from_rate_limit_group(connection);
}

size_t bulk_pacer::UnsentBytes() const {
  size_t bytes = 0;
  for (bufferevent* connection : paced_) {
    bytes += evbuffer_get_length(bufferevent_get_output(connection));
  }
  return bytes;
}

}  // namespace bulrushway
