#include "http_client.h"

#include <algorithm>
#include <deque>
#include <utility>

#include "http_client_connection.h"

namespace bulrushway {
namespace {

// Interval of timeout checks while requests are in flight. A timeout fires late by half of this on
// average.
constexpr std::chrono::milliseconds kSweepInterval{25};
// Interval of timeout checks while all connections are idle.
constexpr std::chrono::milliseconds kIdleSweepInterval{500};

}  // namespace

struct http_client::pool {
  std::vector<std::unique_ptr<http_client_connection>> open;
  std::deque<std::unique_ptr<pending>> waiting;
  uint64_t latest_session = 0;
};

http_client::http_client(event_loop& loop, http_client_settings settings)
    : loop_(loop),
      settings_(std::move(settings)),
      sweep_(loop, [this](instant now) { Sweep(now); }) {}

http_client::~http_client() = default;

http_client::request_id http_client::Send(const socket_address& address, http_request request,
                                          std::chrono::milliseconds timeout, callback done,
                                          session_check may_send) {
  const request_id id = next_id_++;
  const instant now = boot_clock::now();
  auto& connections = pools_[address];
  if (!connections) connections = std::make_unique<pool>();
  connections->waiting.push_back(std::make_unique<pending>(
      pending{id, std::move(request), std::move(done), now + timeout, std::move(may_send)}));
  Dispatch(address);
  sweep_.Once(kSweepInterval);
  return id;
}

void http_client::Cancel(request_id id) {
  for (auto& [address, connections] : pools_) {
    auto& waiting = connections->waiting;
    for (auto it = waiting.begin(); it != waiting.end(); ++it) {
      if ((*it)->id != id) continue;
      waiting.erase(it);
      return;
    }
    for (auto& connection : connections->open) {
      if (connection->current() == nullptr || connection->current()->id != id) continue;
      connection->Abandon();
      Dispatch(address);
      return;
    }
  }
}

void http_client::CloseIdle(const socket_address& address) {
  const auto found = pools_.find(address);
  if (found == pools_.end()) return;
  std::erase_if(found->second->open,
                [](const auto& connection) { return connection->current() == nullptr; });
}

size_t http_client::Connections(const socket_address& address) const {
  const auto found = pools_.find(address);
  return found == pools_.end() ? 0 : found->second->open.size();
}

void http_client::Dispatch(const socket_address& address) {
  pool& connections = *pools_.at(address);
  const instant now = boot_clock::now();
  while (!connections.waiting.empty()) {
    http_client_connection* chosen = nullptr;
    // Prefer the most recently used connection: the server is least likely to have closed it.
    for (auto it = connections.open.rbegin(); it != connections.open.rend(); ++it) {
      if (!(*it)->Usable(now) || (*it)->HasRefused(connections.waiting.front()->request)) continue;
      // The event loop closes it.
      if ((*it)->HasUnreadInput()) continue;
      chosen = it->get();
      break;
    }
    if (chosen == nullptr) {
      if (connections.open.size() >= settings_.max_connections && !CloseOneIdle(connections))
        return;
      connections.open.push_back(std::make_unique<http_client_connection>(*this, address, now));
      chosen = connections.open.back().get();
      ++connections_opened_;
    }
    auto request = std::move(connections.waiting.front());
    connections.waiting.pop_front();
    chosen->Start(std::move(request), now);
  }
}

uint64_t http_client::JoinSession(const http_client_connection& established) {
  pool& connections = *pools_.at(established.address());
  for (const auto& other : connections.open) {
    const bool continues = other.get() != &established && other->ServerHoldsOpen() &&
                           other->session() == connections.latest_session;
    if (continues) return connections.latest_session;
  }
  return ++connections.latest_session;
}

uint64_t http_client::LatestSession(const socket_address& address) const {
  return pools_.at(address)->latest_session;
}

bool http_client::CloseOneIdle(pool& connections) {
  const auto idle =
      std::find_if(connections.open.begin(), connections.open.end(),
                   [](const auto& connection) { return connection->current() == nullptr; });
  if (idle == connections.open.end()) return false;
  (*idle)->Abandon();
  return true;
}

void http_client::OnConnectionClosed(http_client_connection* connection) {
  auto& open = pools_.at(connection->address())->open;
  for (auto it = open.begin(); it != open.end(); ++it) {
    if (it->get() != connection) continue;
    // The connection is still on the call stack, so the next sweep destroys it.
    closed_.push_back(std::move(*it));
    open.erase(it);
    break;
  }
  sweep_.Once(kSweepInterval);
}

void http_client::OnException(const socket_address& address,
                              const http_client_connection* connection) {
  const auto& open = pools_.at(address)->open;
  const auto found = std::find_if(open.begin(), open.end(), [connection](const auto& candidate) {
    return candidate.get() == connection;
  });
  if (found != open.end()) (*found)->FailAfterException();
  Dispatch(address);
}

void http_client::OnUnanswered(const socket_address& address) {
  if (!settings_.close_idle_after_timeout) return;
  pool& connections = *pools_.at(address);
  while (CloseOneIdle(connections)) {
  }
}

void http_client::Sweep(instant now) {
  closed_.clear();
  bool busy = false;
  bool idle = false;
  std::vector<std::unique_ptr<pending>> overdue;
  for (auto& [address, connections] : pools_) {
    auto& waiting = connections->waiting;
    for (auto it = waiting.begin(); it != waiting.end();) {
      if (now < (*it)->deadline) {
        ++it;
        continue;
      }
      overdue.push_back(std::move(*it));
      it = waiting.erase(it);
    }
    std::vector<http_client_connection*> open;
    for (const auto& connection : connections->open) open.push_back(connection.get());
    for (http_client_connection* connection : open) {
      busy = busy || connection->current() != nullptr;
      loop_.Guard("overdue answer", [=] { connection->CheckTimeouts(now); });
    }
    busy = busy || !waiting.empty();
    idle = idle || !connections->open.empty();
  }
  for (auto& request : overdue) {
    http_failure failure{.may_have_run = false, .timed_out = true};
    failure.message = "No connection became available before the time limit.";
    loop_.Guard("request without a connection", [&] {
      if (request->done) request->done(tl::unexpected<http_failure>(std::move(failure)));
    });
  }
  if (busy || !closed_.empty()) {
    sweep_.Once(kSweepInterval);
  } else if (idle) {
    sweep_.Once(kIdleSweepInterval);
  }
}

}  // namespace bulrushway
