#include "http_client_connection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <utility>

#include "output_buffer.h"
#include "socket_options.h"

namespace bulrushway {
namespace {

// Input buffered before it is parsed; the rest stays in the socket. Enough, since answers are small
// or come from the same machine.
constexpr size_t kReadAhead = 256 << 10;
// Refused requests after which a connection is closed, which bounds the memory of their ids.
constexpr size_t kMaxRefusedIds = 256;

std::optional<std::chrono::milliseconds> ParseKeepAlive(std::string_view value) {
  constexpr std::string_view kTimeout = "timeout=";
  const size_t position = value.find(kTimeout);
  if (position == std::string_view::npos) return std::nullopt;
  const std::string_view digits = value.substr(position + kTimeout.size());
  unsigned seconds = 0;
  const auto [end, problem] =
      std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  if (problem != std::errc{}) return std::nullopt;
  return std::chrono::seconds(seconds);
}

}  // namespace

http_client_connection::http_client_connection(http_client& client, const socket_address& address,
                                               instant now)
    : client_(client), address_(address), connect_started_(now), idle_since_(now) {
  raw_ = bufferevent_socket_new(client_.loop_.Base(), -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(raw_, &OnReadable, nullptr, &OnEvent, this);
  bufferevent_setwatermark(raw_, EV_READ, 0, kReadAhead);
  bufferevent_enable(raw_, EV_READ | EV_WRITE);
}

http_client_connection::~http_client_connection() {
  ForgetReceived();
  bufferevent_free(raw_);
}

bool http_client_connection::CountReceived(size_t bytes) {
  answer_bytes_ += bytes;
  client_.buffered_bytes_ += bytes;
  Expect(answer_bytes_);
  const http_client_settings& settings = client_.settings_;
  const bool too_many = !admitted_ && client_.buffered_bytes_ > settings.max_buffered_bytes;
  return answer_bytes_ <= settings.max_answer_bytes + settings.small_answer_bytes &&
         (!too_many || answer_bytes_ <= settings.small_answer_bytes);
}

void http_client_connection::Expect(size_t bytes) {
  if (bytes <= expected_bytes_) return;
  client_.expected_bytes_ += bytes - std::exchange(expected_bytes_, bytes);
}

http_client_connection::admission http_client_connection::Admit() {
  const memory_budget* budget = client_.settings_.budget;
  const size_t announced = parser_->AnnouncedBytes();
  const size_t known = std::max(announced, answer_bytes_);
  if (budget == nullptr || admitted_ || known <= kSmallMessageBytes) return admission::kAccepted;
  if (announced == 0) return budget->Fits(0) ? admission::kAccepted : admission::kRefused;
  if (budget->limit() > 0 && announced > budget->limit()) return admission::kRefused;
  if (!budget->Fits(known - expected_bytes_)) return admission::kWait;
  Expect(known);
  admitted_ = true;
  return admission::kAccepted;
}

void http_client_connection::Resume() {
  if (!awaits_memory_ || Admit() != admission::kAccepted) return;
  awaits_memory_ = false;
  bufferevent_enable(raw_, EV_READ);
  Read();
}

void http_client_connection::ForgetReceived() {
  client_.buffered_bytes_ -= std::exchange(answer_bytes_, 0);
  client_.expected_bytes_ -= std::exchange(expected_bytes_, 0);
  admitted_ = false;
}

void http_client_connection::Start(std::unique_ptr<http_client::pending> request, instant now) {
  current_ = std::move(request);
  skipped_answer_ = false;
  written_ = false;
  withheld_ = false;
  parser_ = std::make_unique<http_answer_parser>(
      http_size_limits{.body_bytes = client_.settings_.max_answer_bytes});
  if (established_) return Write();
  if (bufferevent_getfd(raw_) >= 0) return;
  connect_started_ = now;
  sockaddr_in to = ToSockaddr(address_);
  // A connect that fails immediately is reported by the event callback, from the loop.
  bufferevent_socket_connect(raw_, reinterpret_cast<sockaddr*>(&to), sizeof to);
  if (const evutil_socket_t socket = bufferevent_getfd(raw_); socket >= 0) {
    DisableDelay(socket);
  }
}

bool http_client_connection::Usable(instant now) const {
  if (closed_ || current_ || !established_) return false;
  if (client_.settings_.track_sessions && session_ != client_.LatestSession(address_)) return false;
  // Input received without a request in flight belongs to no request.
  if (evbuffer_get_length(bufferevent_get_input(raw_)) > 0) return false;
  std::chrono::nanoseconds limit = client_.settings_.idle_limit;
  if (announced_limit_) {
    limit = std::min(limit, std::chrono::duration_cast<std::chrono::nanoseconds>(
                                *announced_limit_ * client_.settings_.keep_alive_share));
  }
  return now - idle_since_ < limit;
}

void http_client_connection::Write() {
  // A withheld request fails at the next check of time limits: its sender may be on the call stack.
  withheld_ = current_->may_send && !current_->may_send(session_);
  if (withheld_) return;
  written_ = true;
  const std::string head = SerializeRequestHead(current_->request, {});
  evbuffer* output = bufferevent_get_output(raw_);
  evbuffer_add(output, head.data(), head.size());
  Append(output, std::move(current_->request.body));
}

template <class Call>
void http_client_connection::Guard(std::string_view callback, Call call) {
  // The call may destroy this object.
  http_client& client = client_;
  const socket_address address = address_;
  if (client.loop_.Guard(callback, call)) return;
  client.loop_.Guard(callback, [&] { client.OnException(address, this); });
}

void http_client_connection::OnReadable(bufferevent*, void* self) {
  auto* connection = static_cast<http_client_connection*>(self);
  connection->Guard("answer of a server", [connection] { connection->Read(); });
}

void http_client_connection::OnEvent(bufferevent*, short events, void* self) {
  auto* connection = static_cast<http_client_connection*>(self);
  connection->Guard("connection to a server", [=] { connection->OnStateChange(events); });
}

void http_client_connection::FailAfterException() {
  if (!current_) return Abandon();
  Fail({.may_have_run = written_, .message = "The answer could not be processed."});
}

void http_client_connection::OnStateChange(short events) {
  if (closed_) return;
  if ((events & BEV_EVENT_CONNECTED) != 0) {
    established_ = true;
    if (client_.settings_.track_sessions) session_ = client_.JoinSession(*this);
    if (current_) Write();
    return;
  }
  OnDisconnect((events & BEV_EVENT_EOF) != 0);
}

http_client_connection::echoed_id http_client_connection::EchoOf(const http_answer& answer) const {
  const std::string& echo = client_.settings_.echo_header;
  if (echo.empty()) return echoed_id::kOwn;
  const std::string echoed = FindHeader(answer.headers, echo);
  if (echoed == FindHeader(current_->request.headers, echo)) return echoed_id::kOwn;
  return echoed.empty() ? echoed_id::kMissing : echoed_id::kOther;
}

void http_client_connection::FailUnmatched(echoed_id id) {
  Fail({.message = id == echoed_id::kMissing ? "The answer does not name its request."
                                             : "The last answer belonged to another request."});
}

void http_client_connection::Read() {
  if (closed_) return;
  evbuffer* input = bufferevent_get_input(raw_);
  if (!current_) {
    // Unsolicited input.
    closed_ = true;
    client_.OnConnectionClosed(this);
    return;
  }
  // The input does not answer a request that was not written.
  if (withheld_) {
    return Fail({.may_have_run = false,
                 .withheld = true,
                 .message = "The server sent bytes that no request had asked for."});
  }
  while (evbuffer_get_length(input) > 0) {
    const size_t available = evbuffer_get_length(input);
    const auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(input, -1));
    const auto consumed = parser_->Feed({bytes, available}, ToString(address_));
    if (!consumed) {
      return Fail({.message = consumed.error().message});
    }
    evbuffer_drain(input, *consumed);
    if (!CountReceived(*consumed)) {
      return Fail(
          {.too_large = true, .message = "The server sends more bytes than an answer may have."});
    }
    if (!parser_->Complete()) {
      switch (Admit()) {
        case admission::kAccepted:
          break;
        case admission::kWait:
          awaits_memory_ = true;
          bufferevent_disable(raw_, EV_READ);
          return;
        case admission::kRefused:
          return Fail(
              {.too_large = true, .message = "This process has no memory left for the answer."});
      }
      if (*consumed == 0) return;
      continue;
    }
    const bool keep_alive = parser_->KeepAlive();
    http_answer answer = parser_->Take();
    const echoed_id id = EchoOf(answer);
    if (id == echoed_id::kOther) {
      // A late duplicate answer to an earlier request; the answer to this request follows.
      ++client_.crossed_answers_;
      skipped_answer_ = true;
      if (!keep_alive) return FailUnmatched(id);
      parser_ = std::make_unique<http_answer_parser>(
          http_size_limits{.body_bytes = client_.settings_.max_answer_bytes});
      continue;
    }
    // It may be a copy of an answer to an earlier request.
    if (id == echoed_id::kMissing) return FailUnmatched(id);
    // After an answer that preceded the end of the request, or with extra bytes after the answer,
    // the next answer could not be matched to its request.
    const bool reusable = keep_alive && !skipped_answer_ && evbuffer_get_length(input) == 0 &&
                          evbuffer_get_length(bufferevent_get_output(raw_)) == 0;
    return Complete(std::move(answer), reusable);
  }
}

void http_client_connection::OnDisconnect(bool orderly) {
  if (!current_) {
    closed_ = true;
    client_.OnConnectionClosed(this);
    if (client_.settings_.on_idle_closed) client_.settings_.on_idle_closed();
    return;
  }
  if (orderly && parser_->Started() && !client_.settings_.require_length) {
    if (parser_->FeedEnd(ToString(address_))) {
      http_answer answer = parser_->Take();
      const echoed_id id = EchoOf(answer);
      if (id == echoed_id::kOwn) return Complete(std::move(answer), false);
      if (id == echoed_id::kOther) ++client_.crossed_answers_;
      return FailUnmatched(id);
    }
  }
  http_failure failure;
  failure.may_have_run = written_;
  failure.refused = !established_ && errno == ECONNREFUSED;
  if (failure.refused) failure.refused_attempt = connect_started_;
  failure.closed_before_answer = !parser_->Started();
  failure.message =
      established_ ? "The connection was closed before the answer was complete."
                   : std::string("The connection cannot be opened: ") + std::strerror(errno) + ".";
  Fail(std::move(failure));
}

void http_client_connection::RecordKeepAlive(const http_answer& answer) {
  const std::string announced = FindHeader(answer.headers, "Keep-Alive");
  if (!announced.empty()) announced_limit_ = ParseKeepAlive(announced);
}

bool http_client_connection::ServerHoldsOpen() const {
  if (closed_ || !established_) return false;
  // The end of the stream may wait behind an answer that has not been read.
  pollfd poll_for_end{bufferevent_getfd(raw_), POLLRDHUP, 0};
  if (poll(&poll_for_end, 1, 0) < 0 || poll_for_end.revents != 0) return false;
  return PeekInput() != socket_input::kEnd;
}

bool http_client_connection::HasUnreadInput() const { return PeekInput() != socket_input::kNone; }

http_client_connection::socket_input http_client_connection::PeekInput() const {
  char byte = 0;
  const ssize_t received =
      recv(bufferevent_getfd(raw_), &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
  if (received > 0) return socket_input::kBytes;
  const bool none = received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  return none ? socket_input::kNone : socket_input::kEnd;
}

bool http_client_connection::HasRefused(const http_request& request) const {
  return !refused_ids_.empty() &&
         refused_ids_.contains(FindHeader(request.headers, client_.settings_.echo_header));
}

bool http_client_connection::RecordRefusal(const http_request& request, const http_answer& answer) {
  const http_client_settings& settings = client_.settings_;
  if (!settings.says_not_run || !settings.says_not_run(answer)) return true;
  if (settings.echo_header.empty()) return false;
  refused_ids_.insert(FindHeader(request.headers, settings.echo_header));
  return refused_ids_.size() < kMaxRefusedIds;
}

void http_client_connection::Complete(http_answer answer, bool reusable) {
  const auto request = std::move(current_);
  reusable = RecordRefusal(request->request, answer) && reusable;
  parser_.reset();
  ForgetReceived();
  RecordKeepAlive(answer);
  const instant now = boot_clock::now();
  idle_since_ = now;
  if (!reusable) {
    closed_ = true;
    client_.OnConnectionClosed(this);
  }
  http_client& client = client_;
  const socket_address address = address_;
  if (request->done) request->done(std::move(answer));
  client.Dispatch(address);
}

void http_client_connection::Fail(http_failure failure, bool keep_connection) {
  const auto request = std::move(current_);
  parser_.reset();
  ForgetReceived();
  if (!keep_connection) {
    closed_ = true;
    client_.OnConnectionClosed(this);
  }
  http_client& client = client_;
  const socket_address address = address_;
  if (request->done) request->done(tl::unexpected<http_failure>(std::move(failure)));
  client.Dispatch(address);
}

void http_client_connection::Abandon() {
  current_.reset();
  parser_.reset();
  ForgetReceived();
  closed_ = true;
  client_.OnConnectionClosed(this);
}

void http_client_connection::CheckTimeouts(instant now) {
  if (closed_) return;
  if (!current_) {
    if (!established_ || !Usable(now)) {
      closed_ = true;
      client_.OnConnectionClosed(this);
    }
    return;
  }
  if (!established_ && now - connect_started_ > client_.settings_.connect_timeout) {
    return Fail({.may_have_run = false,
                 .timed_out = true,
                 .message = "The connection was not established before the time limit."});
  }
  if (withheld_) {
    idle_since_ = now;
    return Fail({.may_have_run = false,
                 .withheld = true,
                 .message = "The server may have been restarted since an earlier request."},
                /*keep_connection=*/true);
  }
  if (now < current_->deadline) return Resume();
  client_.OnUnanswered(address_);
  Fail({.may_have_run = written_,
        .timed_out = true,
        .message = "No complete answer was received before the time limit."});
}

}  // namespace bulrushway
