#include "http_server.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <vector>

#include "http_server_connection.h"
#include "socket_options.h"

namespace bulrushway {
namespace {

// Length of the accept queue. When it is full, connecting takes callers seconds longer.
constexpr int kBacklog = 1024;
// Interval of timeout checks; small compared with the shortest timeout of about a second.
constexpr std::chrono::milliseconds kSweepInterval{250};

}  // namespace

http_exchange::http_exchange(http_server_connection* connection, http_request request)
    : connection_(connection), request_(std::move(request)) {}

http_exchange::~http_exchange() {
  if (connection_ != nullptr) connection_->OnExchangeDestroyed(*this);
}

socket_address http_exchange::Peer() const {
  return connection_ == nullptr ? socket_address{} : connection_->peer();
}

void http_exchange::Reply(http_answer answer) {
  if (connection_ == nullptr) return;
  http_server_connection* connection = connection_;
  connection_ = nullptr;
  on_closed_ = nullptr;
  connection->Reply(*this, std::move(answer));
}

void http_exchange::ReplyTruncated(const http_answer& answer, size_t bytes) {
  if (connection_ == nullptr) return;
  http_server_connection* connection = connection_;
  connection_ = nullptr;
  on_closed_ = nullptr;
  connection->ReplyTruncated(*this, answer, bytes);
}

void http_exchange::Drop() {
  if (connection_ == nullptr) return;
  http_server_connection* connection = connection_;
  connection_ = nullptr;
  on_closed_ = nullptr;
  connection->Abort();
}

void http_exchange::OnClosed(std::function<void()> closed) { on_closed_ = std::move(closed); }

void http_exchange::OnCallerDisconnected() {
  connection_ = nullptr;
  // The callback may replace itself or destroy this exchange, so it is moved out first.
  const std::function<void()> on_closed = std::move(on_closed_);
  on_closed_ = nullptr;
  if (on_closed) on_closed();
}

http_server::http_server(event_loop& loop, const http_limits& limits, handler handle,
                         bulk_pacer* pacer)
    : loop_(loop),
      limits_(limits),
      handle_(std::move(handle)),
      pacer_(pacer),
      last_sweep_(boot_clock::now()),
      sweep_(loop, [this](instant now) { Sweep(now); }) {
  sweep_.Every(kSweepInterval);
}

http_server::~http_server() {
  if (listener_ != nullptr) evconnlistener_free(listener_);
}

result<void> http_server::Listen(const socket_address& address) {
  const sockaddr_in raw = ToSockaddr(address);
  const auto accepted = [](evconnlistener*, evutil_socket_t socket, sockaddr* from, int,
                           void* self) {
    auto* server = static_cast<http_server*>(self);
    const auto* peer = reinterpret_cast<const sockaddr_in*>(from);
    server->loop_.Guard("connection of a caller",
                        [=] { server->Accept(socket, FromSockaddr(*peer)); });
  };
  listener_ =
      evconnlistener_new_bind(loop_.Base(), accepted, this,
                              LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
                              kBacklog, reinterpret_cast<const sockaddr*>(&raw), sizeof raw);
  if (listener_ != nullptr) return {};
  return Failure(
      error_kind::kUser, "listen for HTTP", ToString(address),
      "The address " + ToString(address) + " cannot be bound: " + std::strerror(errno) + ".");
}

void http_server::Accept(int socket, const socket_address& peer) {
  if (max_connections_ > 0 && connections_.size() >= max_connections_) {
    ++displaced_;
    if (!CloseLeastActive()) {
      evutil_closesocket(socket);
      return;
    }
  }
  DisableDelay(socket);
  bufferevent* raw = bufferevent_socket_new(loop_.Base(), socket, BEV_OPT_CLOSE_ON_FREE);
  auto connection = std::make_unique<http_server_connection>(*this, raw, peer);
  http_server_connection* key = connection.get();
  connections_.emplace(key, std::move(connection));
}

bool http_server::CloseLeastActive() {
  http_server_connection* least_active = nullptr;
  for (const auto& [key, connection] : connections_) {
    if (connection->HasRequestInFlight() || connection->HasUnsent()) continue;
    if (least_active == nullptr || key->last_activity() < least_active->last_activity()) {
      least_active = key;
    }
  }
  if (least_active == nullptr) return false;
  least_active->Abort();
  return true;
}

size_t http_server::HeldByOthers() const {
  const size_t all = budget_ == nullptr ? 0 : budget_->HeldBytes();
  return all - std::min(all, bodies_.HeldBytes());
}

void http_server::ShareMemory(instant now) {
  if (budget_ == nullptr) return;
  bodies_.SetLimit(budget_->limit());
  if (bodies_.Waiting().empty()) return;
  const auto reject = [this, now](const std::vector<body_admission::holder>& holders,
                                  rejection_reason reason) {
    for (const body_admission::holder holder : holders) {
      const auto found = connections_.find(static_cast<http_server_connection*>(holder));
      if (found != connections_.end()) found->second->RejectUnfinished(now, reason);
    }
  };
  reject(bodies_.Overdue(now, limits_.request_timeout), rejection_reason::kNoMemory);
  reject(bodies_.GiveWay(now, HeldByOthers()), rejection_reason::kBodyTimeout);
  ResumeWaiting(now);
}

void http_server::ResumeWaiting(instant now) {
  for (const body_admission::holder holder : bodies_.Waiting()) {
    const auto found = connections_.find(static_cast<http_server_connection*>(holder));
    if (found != connections_.end()) found->second->ReadAfterWait(now);
  }
}

void http_server::SetLimits(const http_limits& limits) {
  limits_ = limits;
  for (const auto& [key, connection] : connections_) key->RaiseLimits(limits);
}

void http_server::Drain(instant now, std::chrono::milliseconds idle) {
  draining_ = true;
  limits_.idle_timeout = std::min(limits_.idle_timeout, idle);
  Sweep(now);
}

bool http_server::HasUnsent() const {
  return std::any_of(connections_.begin(), connections_.end(),
                     [](const auto& entry) { return entry.second->HasUnsent(); });
}

size_t http_server::BufferedBytes() const {
  size_t bytes = 0;
  for (const auto& [key, connection] : connections_) bytes += connection->BufferedBytes();
  return bytes;
}

void http_server::Sweep(instant now) {
  // Time in which this process did not run.
  const auto frozen = now - last_sweep_ - kSweepInterval;
  last_sweep_ = now;
  std::vector<http_server_connection*> open;
  open.reserve(connections_.size());
  for (const auto& [key, connection] : connections_) open.push_back(key);
  for (http_server_connection* connection : open) {
    if (!connections_.contains(connection)) continue;
    if (frozen > kSweepInterval) connection->ExtendTimeouts(now, frozen);
    loop_.Guard("overdue request", [=] { connection->CheckTimeouts(now); });
  }
  loop_.Guard("memory of requests", [=, this] { ShareMemory(now); });
}

}  // namespace bulrushway
