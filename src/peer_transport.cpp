#include "peer_transport.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>

#include "output_buffer.h"
#include "peer_codec.h"
#include "socket_options.h"

namespace bulrushway {
struct peer_transport::connection {
  peer_transport* transport;
  connection_id id;
  std::string peer;
  bufferevent* raw;
  bool established;
  instant last_received;
  // Size of the accepted frame that is being received; zero between frames.
  size_t expected = 0;
  // Bytes to discard of a frame that was not accepted.
  size_t to_discard = 0;

  ~connection() {
    if (transport->pacer_ != nullptr) transport->pacer_->BeforeFree(raw);
    bufferevent_free(raw);
  }
};

peer_transport::peer_transport(event_loop& loop, peer_events events, bulk_pacer* pacer,
                               const memory_budget* budget)
    : loop_(loop), events_(std::move(events)), pacer_(pacer), budget_(budget) {}

peer_transport::~peer_transport() {
  if (listener_ != nullptr) evconnlistener_free(listener_);
}

result<void> peer_transport::Listen(const socket_address& address) {
  const sockaddr_in raw = ToSockaddr(address);
  const auto accepted = [](evconnlistener*, evutil_socket_t socket, sockaddr* from, int,
                           void* self) {
    auto* transport = static_cast<peer_transport*>(self);
    const auto* peer = reinterpret_cast<const sockaddr_in*>(from);
    transport->loop_.Guard("connection of a peer", [=] {
      DisableDelay(socket);
      bufferevent* link =
          bufferevent_socket_new(transport->loop_.Base(), socket, BEV_OPT_CLOSE_ON_FREE);
      transport->AddConnection(link, ToString(FromSockaddr(*peer)), true);
    });
  };
  constexpr int kBacklog = 512;
  listener_ =
      evconnlistener_new_bind(loop_.Base(), accepted, this,
                              LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
                              kBacklog, reinterpret_cast<const sockaddr*>(&raw), sizeof raw);
  if (listener_ != nullptr) return {};
  return Failure(
      error_kind::kUser, "listen for peers", ToString(address),
      "The address " + ToString(address) + " cannot be bound: " + std::strerror(errno) + ".");
}

connection_id peer_transport::Connect(const socket_address& address) {
  bufferevent* link = bufferevent_socket_new(loop_.Base(), -1, BEV_OPT_CLOSE_ON_FREE);
  const connection_id id = AddConnection(link, ToString(address), false);
  sockaddr_in raw = ToSockaddr(address);
  bufferevent_socket_connect(link, reinterpret_cast<sockaddr*>(&raw), sizeof raw);
  if (const evutil_socket_t socket = bufferevent_getfd(link); socket >= 0) DisableDelay(socket);
  return id;
}

bool peer_transport::SendFrame(connection_id id, std::string frame) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return false;
  bytes_sent_ += frame.size();
  if (pacer_ != nullptr) pacer_->BeforeWrite(found->second->raw, frame.size());
  Append(bufferevent_get_output(found->second->raw), std::move(frame));
  return true;
}

size_t peer_transport::BufferedBytes() const {
  size_t bytes = 0;
  for (const auto& [id, link] : connections_) {
    bytes += evbuffer_get_length(bufferevent_get_output(link->raw));
    bytes += std::max(link->expected, evbuffer_get_length(bufferevent_get_input(link->raw)));
  }
  return bytes;
}

void peer_transport::Close(connection_id id) { connections_.erase(id); }

bool peer_transport::Established(connection_id id) const {
  const auto found = connections_.find(id);
  return found != connections_.end() && found->second->established;
}

bool peer_transport::HasUnsent() const {
  return std::any_of(connections_.begin(), connections_.end(), [](const auto& entry) {
    return entry.second->established &&
           evbuffer_get_length(bufferevent_get_output(entry.second->raw)) > 0;
  });
}

instant peer_transport::LastReceived(connection_id id) const {
  const auto found = connections_.find(id);
  return found == connections_.end() ? instant{} : found->second->last_received;
}

std::string peer_transport::PeerAddress(connection_id id) const {
  const auto found = connections_.find(id);
  return found == connections_.end() ? "" : found->second->peer;
}

template <class Call>
void peer_transport::GuardLink(connection_id id, std::string_view callback, Call call) {
  if (loop_.Guard(callback, call)) return;
  loop_.Guard(callback, [&] {
    Fail(id, error{error_kind::kInternal, "process input", PeerAddress(id),
                   "An exception ended the processing of the input."});
  });
}

connection_id peer_transport::AddConnection(bufferevent* raw, const std::string& peer,
                                            bool established) {
  const connection_id id = next_id_++;
  auto link = std::make_unique<connection>();
  link->transport = this;
  link->id = id;
  link->peer = peer;
  link->raw = raw;
  link->established = established;
  link->last_received = boot_clock::now();
  const auto read = [](bufferevent*, void* self) {
    auto* from = static_cast<connection*>(self);
    from->last_received = boot_clock::now();
    from->transport->GuardLink(from->id, "input of a peer",
                               [from] { from->transport->Read(*from); });
  };
  const auto changed = [](bufferevent*, short events, void* self) {
    auto* from = static_cast<connection*>(self);
    if ((events & BEV_EVENT_CONNECTED) != 0) {
      from->established = true;
      from->last_received = boot_clock::now();
      return;
    }
    const int problem = errno;
    from->transport->GuardLink(from->id, "connection to a peer", [=] {
      const std::string cause =
          (events & BEV_EVENT_EOF) != 0 ? "the peer closed it" : std::strerror(problem);
      from->transport->Fail(from->id, error{error_kind::kPeer, "keep connection", from->peer,
                                            "The connection is gone: " + cause + "."});
    });
  };
  bufferevent_setcb(raw, read, nullptr, changed, link.get());
  bufferevent_enable(raw, EV_READ | EV_WRITE);
  connections_.emplace(id, std::move(link));
  return id;
}

void peer_transport::Read(connection& link) {
  const connection_id id = link.id;
  // A handler may close the connection.
  while (ReadFrame(link) && connections_.contains(id)) {
  }
}

bool peer_transport::ReadFrame(connection& link) {
  evbuffer* input = bufferevent_get_input(link.raw);
  const size_t available = evbuffer_get_length(input);
  if (link.to_discard > 0) {
    const size_t discarded = std::min(link.to_discard, available);
    evbuffer_drain(input, discarded);
    bytes_received_ += discarded;
    link.to_discard -= discarded;
    return discarded > 0;
  }
  if (available < kFrameHeaderSize) return false;
  std::array<char, kFrameHeaderSize> header{};
  evbuffer_copyout(input, header.data(), header.size());
  const auto length = FrameLength({header.data(), header.size()}, link.peer);
  if (!length) {
    Fail(link.id, length.error());
    return true;
  }
  const size_t frame_size = kFrameHeaderSize + *length;
  if (frame_size > kSmallMessageBytes && link.expected == 0) {
    if (available < kFrameHeaderSize + kFrameStartBytes) return false;
    if (!Accept(link, frame_size)) return true;
    link.expected = frame_size;
  }
  if (available < frame_size) return false;
  const auto* bytes =
      reinterpret_cast<const char*>(evbuffer_pullup(input, static_cast<ev_ssize_t>(frame_size)));
  auto message = DecodeFrame({bytes + kFrameHeaderSize, *length}, link.peer);
  evbuffer_drain(input, frame_size);
  bytes_received_ += frame_size;
  link.expected = 0;
  if (!message) {
    Fail(link.id, message.error());
    return true;
  }
  // The next messages concern other requests.
  loop_.Guard("message of a peer", [&] { events_.received(link.id, std::move(*message)); });
  return true;
}

bool peer_transport::Accept(connection& link, size_t frame_size) {
  evbuffer* input = bufferevent_get_input(link.raw);
  std::array<char, kFrameHeaderSize + kFrameStartBytes> start{};
  evbuffer_copyout(input, start.data(), start.size());
  const auto decoded = DecodeStart({start.data() + kFrameHeaderSize, kFrameStartBytes});
  // A body was permitted before it was sent.
  const bool permitted = decoded && decoded->type == TypeOf<request_body>();
  if (permitted || budget_ == nullptr ||
      budget_->Fits(frame_size - std::min(frame_size, evbuffer_get_length(input)))) {
    return true;
  }
  link.to_discard = frame_size;
  if (decoded && events_.discarded) {
    loop_.Guard("message of a peer", [&] { events_.discarded(link.id, *decoded); });
  }
  return false;
}

void peer_transport::Fail(connection_id id, const error& reason) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  const bool was_established = found->second->established;
  connections_.erase(found);
  events_.closed(id, was_established, reason);
}

}  // namespace bulrushway
