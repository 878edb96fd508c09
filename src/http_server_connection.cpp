#include "http_server_connection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace bulrushway {
namespace {

// Minimum bound on the input buffered while a request is being handled.
constexpr size_t kReadAhead = 64 << 10;

// Bound on the buffered input. The parser may consume a head only when it is whole: a request line
// and fields, each as long as the headers may be.
size_t InputBound(size_t header_bytes) {
  constexpr size_t kLineEnds = 16;
  return std::max(kReadAhead, 2 * header_bytes + kLineEnds);
}

// Removes the empty lines that a caller may send before a request. Returns whether a request has
// begun.
bool SkipEmptyLines(evbuffer* input) {
  constexpr std::string_view kEmptyLine = "\r\n";
  std::array<char, kEmptyLine.size()> start{};
  ev_ssize_t length = 0;
  while ((length = evbuffer_copyout(input, start.data(), start.size())) > 0) {
    const std::string_view begin(start.data(), static_cast<size_t>(length));
    if (begin != kEmptyLine) return begin != kEmptyLine.substr(0, 1);
    evbuffer_drain(input, kEmptyLine.size());
  }
  return false;
}

// Memory that the body of a complete request takes.
size_t HeldBytes(const http_request& request) {
  return request.body.empty() ? 0 : request.body.capacity();
}

}  // namespace

http_server_connection::http_server_connection(http_server& server, bufferevent* raw,
                                               const socket_address& peer)
    : server_(server),
      raw_(raw),
      peer_(peer),
      last_output_(boot_clock::now()),
      last_activity_(last_output_) {
  bufferevent_setcb(raw_, &OnReadable, &OnWritten, &OnEvent, this);
  bufferevent_setwatermark(raw_, EV_READ, 0, kReadAhead);
  bufferevent_enable(raw_, EV_READ | EV_WRITE);
}

http_server_connection::~http_server_connection() {
  server_.bodies_.Remove(this);
  for (const pending_answer& pending : std::exchange(pending_, {})) {
    const auto exchange = pending.exchange.lock();
    if (exchange && exchange->connection_ == this) exchange->OnCallerDisconnected();
  }
  if (server_.pacer_ != nullptr) server_.pacer_->BeforeFree(raw_);
  bufferevent_free(raw_);
}

template <class Call>
void http_server_connection::Guard(std::string_view callback, Call call) {
  // The call may destroy this object.
  http_server& server = server_;
  if (server.loop_.Guard(callback, call)) return;
  server.loop_.Guard(callback, [&server, this] { server.connections_.erase(this); });
}

void http_server_connection::OnReadable(bufferevent*, void* self) {
  auto* connection = static_cast<http_server_connection*>(self);
  connection->Guard("request of a caller", [connection] { connection->Read(boot_clock::now()); });
}

void http_server_connection::OnWritten(bufferevent*, void* self) {
  auto* connection = static_cast<http_server_connection*>(self);
  connection->Guard("answer to a caller", [connection] {
    if (connection->closing_) connection->Abort();
  });
}

void http_server_connection::OnEvent(bufferevent*, short events, void* self) {
  auto* connection = static_cast<http_server_connection*>(self);
  connection->Guard("connection of a caller", [=] { connection->OnStateChange(events); });
}

void http_server_connection::OnStateChange(short events) {
  if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) return;
  // A caller that half-closed the connection may still be reading its last answer.
  const bool writing = evbuffer_get_length(bufferevent_get_output(raw_)) > 0 &&
                       (events & BEV_EVENT_ERROR) == 0 && pending_.empty();
  if (writing) {
    peer_closed_ = true;
    CloseAfterWriting();
    return;
  }
  Abort();
}

void http_server_connection::Abort() { server_.connections_.erase(this); }

void http_server_connection::Read(instant now) {
  evbuffer* input = bufferevent_get_input(raw_);
  while (MayRead() && evbuffer_get_length(input) > 0) {
    if (!parser_) {
      if (!SkipEmptyLines(input)) return;
      size_limits_ = {server_.limits_.max_headers, server_.limits_.max_body};
      parser_ = std::make_unique<http_request_parser>(size_limits_);
      bufferevent_setwatermark(raw_, EV_READ, 0, InputBound(size_limits_.header_bytes));
      request_timeout_ = server_.limits_.request_timeout;
      request_started_ = now;
      last_activity_ = now;
      request_bytes_ = 0;
      continue_sent_ = false;
    }
    if (!ReserveMemory(now)) return;
    const size_t available = evbuffer_get_length(input);
    const auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(input, -1));
    const auto consumed = parser_->Feed({bytes, available});
    if (!consumed) {
      switch (consumed.error()) {
        case http_parse_problem::kMalformed:
          return Reject(now, rejection_reason::kMalformed);
        case http_parse_problem::kHeaderTooLarge:
          return Reject(now, rejection_reason::kHeadersTooLarge);
        case http_parse_problem::kBodyTooLarge:
          return Reject(now, rejection_reason::kBodyTooLarge);
      }
    }
    evbuffer_drain(input, *consumed);
    request_bytes_ += *consumed;
    if (*consumed > 0) {
      last_activity_ = now;
      server_.bodies_.OnProgress(now, this);
    }
    if (parser_->Complete()) {
      TakeRequest();
      continue;
    }
    SendContinue();
    if (*consumed == 0) break;
  }
  if (parser_) ReserveMemory(now);
}

bool http_server_connection::ReserveMemory(instant now) {
  const bool limited = server_.budget_ != nullptr && server_.budget_->limit() > 0;
  if (!limited || !parser_->Started()) return true;
  const size_t input = evbuffer_get_length(bufferevent_get_input(raw_));
  // Over the limit, the body is rejected before memory is taken for it.
  const size_t announced = std::min<uint64_t>(parser_->AnnouncedBytes(), size_limits_.body_bytes);
  const size_t wanted = parser_->HeadBytes() + std::max(announced, parser_->BodyBytes() + input);
  if (server_.bodies_.Holds(this, wanted)) return true;
  const bool granted = server_.bodies_.Reserve(now, this, wanted, server_.HeldByOthers());
  // What does not fit stays in the socket.
  if (!granted) bufferevent_disable(raw_, EV_READ);
  if (granted && paused_) bufferevent_enable(raw_, EV_READ);
  paused_ = !granted;
  return granted;
}

void http_server_connection::RaiseLimits(const http_limits& limits) {
  if (!parser_) return;
  size_limits_.header_bytes = std::max(size_limits_.header_bytes, limits.max_headers);
  size_limits_.body_bytes = std::max(size_limits_.body_bytes, limits.max_body);
  request_timeout_ = std::max(request_timeout_, limits.request_timeout);
  parser_->RaiseLimits(size_limits_);
  bufferevent_setwatermark(raw_, EV_READ, 0, InputBound(size_limits_.header_bytes));
}

bool http_server_connection::MayRead() const {
  if (closing_ || held_) return false;
  if (pending_.empty()) return true;
  // Nothing is read behind a request that closes the connection.
  return pending_.size() < server_.pipeline_depth_ && !server_.draining_ &&
         std::all_of(pending_.begin(), pending_.end(), [](const pending_answer& pending) {
           return pending.may_overlap && pending.keep_alive && !pending.lost;
         });
}

void http_server_connection::TakeRequest() {
  const bool keep_alive = parser_->KeepAlive();
  http_request request = parser_->Take();
  parser_.reset();
  server_.bodies_.OnComplete(this, HeldBytes(request));
  const bool may_overlap =
      server_.pipeline_depth_ > 1 && server_.may_overlap_ && server_.may_overlap_(request);
  if (!pending_.empty() && !may_overlap) {
    held_ = std::move(request);
    held_keep_alive_ = keep_alive;
    return;
  }
  Dispatch(std::move(request), keep_alive, may_overlap);
}

void http_server_connection::Dispatch(http_request request, bool keep_alive, bool may_overlap) {
  pending_answer pending;
  pending.body_bytes = HeldBytes(request);
  auto exchange = std::make_shared<http_exchange>(this, std::move(request));
  pending.id = exchange.get();
  pending.exchange = exchange;
  pending.may_overlap = may_overlap;
  pending.keep_alive = keep_alive;
  pending_.push_back(std::move(pending));
  server_.handle_(std::move(exchange));
}

void http_server_connection::SendContinue() {
  // Before the answer to an earlier request, it would be taken for one to that request.
  if (!parser_ || continue_sent_ || !pending_.empty() || !parser_->ExpectsContinue()) return;
  continue_sent_ = true;
  constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
  bufferevent_write(raw_, kContinue.data(), kContinue.size());
}

void http_server_connection::ReadAfterWait(instant now) {
  if (parser_ && !closing_ && ReserveMemory(now)) ReadLater();
}

void http_server_connection::ReadLater() {
  if (!MayRead() || evbuffer_get_length(bufferevent_get_input(raw_)) == 0) return;
  // From the loop, to avoid recursion.
  bufferevent_trigger(raw_, EV_READ, BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
}

void http_server_connection::ExtendTimeouts(instant now, std::chrono::nanoseconds by) {
  last_activity_ = std::min(now, last_activity_ + by);
  last_output_ = std::min(now, last_output_ + by);
  request_started_ = std::min(now, request_started_ + by);
}

void http_server_connection::CheckTimeouts(instant now) {
  // A caller that is receiving its answer is not idle, however long the transfer takes.
  const size_t unsent = evbuffer_get_length(bufferevent_get_output(raw_));
  if (unsent < last_unsent_bytes_) last_activity_ = now;
  if (unsent == 0 || unsent != last_unsent_bytes_) last_output_ = now;
  last_unsent_bytes_ = unsent;
  // The caller has stopped reading its answers.
  if (now - last_output_ > server_.limits_.idle_timeout) return Abort();
  if (closing_) {
    if (now - last_activity_ > server_.limits_.idle_timeout) Abort();
    return;
  }
  if (parser_ && parser_->HeaderComplete()) {
    // A large body may take long on a slow link, so that only its progress is checked.
    const auto limit = std::max(request_timeout_, server_.limits_.idle_timeout);
    if (now - last_activity_ > limit) Reject(now, rejection_reason::kBodyTimeout);
    return;
  }
  if (parser_ && parser_->Started()) {
    if (now - request_started_ > request_timeout_) Reject(now, rejection_reason::kHeadTimeout);
    return;
  }
  if (pending_.empty() && now - last_activity_ > server_.limits_.idle_timeout) Abort();
}

bool http_server_connection::HasUnsent() const {
  return evbuffer_get_length(bufferevent_get_output(raw_)) > 0;
}

size_t http_server_connection::BufferedBytes() const {
  size_t bytes = evbuffer_get_length(bufferevent_get_output(raw_)) +
                 evbuffer_get_length(bufferevent_get_input(raw_));
  for (const pending_answer& pending : pending_) {
    if (pending.answer) bytes += pending.answer->body.size();
  }
  return bytes;
}

}  // namespace bulrushway
