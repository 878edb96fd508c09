#include "peer_transport.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>

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

  ~connection() {
    if (transport->pacer_ != nullptr) transport->pacer_->BeforeFree(raw);
    bufferevent_free(raw);
  }
};

peer_transport::peer_transport(event_loop& loop, peer_events events, bulk_pacer* pacer)
    : loop_(loop), events_(std::move(events)), pacer_(pacer) {}

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

bool peer_transport::Send(connection_id id, const peer_message& message) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return false;
  const std::string frame = EncodeFrame(message);
  bytes_sent_ += frame.size();
  if (pacer_ != nullptr) pacer_->BeforeWrite(found->second->raw, frame.size());
  return bufferevent_write(found->second->raw, frame.data(), frame.size()) == 0;
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
  evbuffer* input = bufferevent_get_input(link.raw);
  while (true) {
    const size_t available = evbuffer_get_length(input);
    if (available < kFrameHeaderSize) return;
    std::array<char, kFrameHeaderSize> header{};
    evbuffer_copyout(input, header.data(), header.size());
    const auto length = FrameLength({header.data(), header.size()}, link.peer);
    if (!length) return Fail(id, length.error());
    const size_t frame_size = kFrameHeaderSize + *length;
    if (available < frame_size) return;
    const auto* bytes =
        reinterpret_cast<const char*>(evbuffer_pullup(input, static_cast<ev_ssize_t>(frame_size)));
    auto message = DecodeFrame({bytes + kFrameHeaderSize, *length}, link.peer);
    evbuffer_drain(input, frame_size);
    bytes_received_ += frame_size;
    if (!message) return Fail(id, message.error());
    // The next messages concern other requests.
    loop_.Guard("message of a peer", [&] { events_.received(id, std::move(*message)); });
    // The handler may have closed this connection.
    if (!connections_.contains(id)) return;
  }
}

void peer_transport::Fail(connection_id id, const error& reason) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  const bool was_established = found->second->established;
  connections_.erase(found);
  events_.closed(id, was_established, reason);
}

}  // namespace bulrushway
