// Answers and rejections on a connection, sent in the order of the requests.

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <algorithm>
#include <utility>

#include "http_server_connection.h"
#include "output_buffer.h"

namespace bulrushway {
namespace {

constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kBodyTooLarge = 413;
constexpr int kHeadersTooLarge = 431;
constexpr int kUnavailable = 503;

int StatusOf(rejection_reason reason) {
  switch (reason) {
    case rejection_reason::kHeadersTooLarge:
      return kHeadersTooLarge;
    case rejection_reason::kBodyTooLarge:
      return kBodyTooLarge;
    case rejection_reason::kHeadTimeout:
    case rejection_reason::kBodyTimeout:
      return kRequestTimeout;
    case rejection_reason::kNoMemory:
      return kUnavailable;
    case rejection_reason::kMalformed:
      break;
  }
  return kBadRequest;
}

}  // namespace

std::string_view Name(rejection_reason reason) {
  switch (reason) {
    case rejection_reason::kMalformed:
      return "malformed";
    case rejection_reason::kHeadersTooLarge:
      return "headers too large";
    case rejection_reason::kBodyTooLarge:
      return "body too large";
    case rejection_reason::kHeadTimeout:
      return "head timeout";
    case rejection_reason::kBodyTimeout:
      return "body timeout";
    case rejection_reason::kNoMemory:
      return "no memory";
  }
  return "unknown";
}

http_server_connection::pending_answer* http_server_connection::FindPending(
    const http_exchange& exchange) {
  const auto found =
      std::find_if(pending_.begin(), pending_.end(),
                   [&exchange](const pending_answer& pending) { return pending.id == &exchange; });
  return found == pending_.end() ? nullptr : &*found;
}

void http_server_connection::Reply(const http_exchange& exchange, http_answer answer) {
  pending_answer* pending = FindPending(exchange);
  if (pending == nullptr) return;
  pending->id = nullptr;
  pending->answer = std::move(answer);
  SendReady();
}

void http_server_connection::SendReady() {
  while (!closing_ && !pending_.empty()) {
    pending_answer& next = pending_.front();
    if (next.lost) return CloseAfterWriting();
    if (!next.answer) break;
    http_answer answer = std::move(*next.answer);
    // A stop closes the connection behind the last request that was handed over.
    const bool keep_alive = next.keep_alive && !(server_.draining_ && pending_.size() == 1);
    server_.bodies_.OnAnswered(this, next.body_bytes);
    pending_.pop_front();
    Send(std::move(answer), keep_alive);
    if (!keep_alive) return CloseAfterWriting();
    last_activity_ = boot_clock::now();
  }
  if (closing_) return;
  if (held_ && pending_.empty()) {
    http_request request = std::move(*held_);
    held_.reset();
    Dispatch(std::move(request), held_keep_alive_, false);
  }
  SendContinue();
  ReadLater();
}

void http_server_connection::ReplyTruncated(const http_exchange& exchange,
                                            const http_answer& answer, size_t bytes) {
  std::erase_if(pending_,
                [&exchange](const pending_answer& pending) { return pending.id == &exchange; });
  const std::string head = SerializeAnswerHead(answer, true);
  evbuffer* output = bufferevent_get_output(raw_);
  evbuffer_add(output, head.data(), head.size());
  evbuffer_add(output, answer.body.data(), std::min(bytes, answer.body.size()));
  CloseAfterWriting();
}

void http_server_connection::RejectUnfinished(instant now, rejection_reason reason) {
  if (parser_ && !closing_) Reject(now, reason);
}

void http_server_connection::Reject(instant now, rejection_reason reason) {
  http_answer answer{StatusOf(reason), {}, {}};
  if (server_.rejected_) {
    rejected_request rejected;
    rejected.status = answer.status;
    rejected.reason = reason;
    rejected.peer = peer_;
    rejected.received = request_bytes_ + evbuffer_get_length(bufferevent_get_input(raw_));
    rejected.max_headers = size_limits_.header_bytes;
    rejected.max_body = size_limits_.body_bytes;
    rejected.elapsed = now - request_started_;
    if (parser_->HeaderComplete()) {
      rejected.target = parser_->Target();
      rejected.headers = parser_->Headers();
    }
    answer = server_.rejected_(now, rejected);
  }
  parser_.reset();
  server_.bodies_.OnComplete(this, 0);
  pending_answer rejected;
  rejected.keep_alive = false;
  rejected.answer = std::move(answer);
  pending_.push_back(std::move(rejected));
  SendReady();
}

void http_server_connection::Send(http_answer answer, bool keep_alive) {
  const std::string head = SerializeAnswerHead(answer, keep_alive);
  if (server_.pacer_ != nullptr) {
    server_.pacer_->BeforeWrite(raw_, head.size() + answer.body.size());
  }
  evbuffer* output = bufferevent_get_output(raw_);
  Append(output, head);
  Append(output, std::move(answer.body));
}

void http_server_connection::CloseAfterWriting() {
  closing_ = true;
  server_.bodies_.OnComplete(this, 0);
  parser_.reset();
  held_.reset();
  last_activity_ = boot_clock::now();
  if (evbuffer_get_length(bufferevent_get_output(raw_)) == 0) {
    bufferevent_trigger(raw_, EV_WRITE, BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
  }
}

void http_server_connection::OnExchangeDestroyed(const http_exchange& exchange) {
  // Without an answer, closing the connection is the only way to notify the caller.
  pending_answer* pending = FindPending(exchange);
  if (pending == nullptr) return;
  pending->id = nullptr;
  pending->lost = true;
  SendReady();
}

}  // namespace bulrushway
