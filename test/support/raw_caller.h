#ifndef BULRUSHWAY_TEST_RAW_CALLER_H
#define BULRUSHWAY_TEST_RAW_CALLER_H

// A caller on a plain socket, so that the test controls its bytes and how the connection is closed.

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <string>

#include "socket_address.h"

namespace bulrushway::testing {

/// A loopback address whose port was free a moment ago.
inline socket_address FreeAddress() {
  // Binds port 0 so that the kernel assigns a free port.
  const int probe = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in free_address{};
  free_address.sin_family = AF_INET;
  inet_pton(AF_INET, "127.0.0.1", &free_address.sin_addr);
  socklen_t length = sizeof free_address;
  BOOST_REQUIRE_EQUAL(bind(probe, reinterpret_cast<sockaddr*>(&free_address), length), 0);
  getsockname(probe, reinterpret_cast<sockaddr*>(&free_address), &length);
  close(probe);
  return {"127.0.0.1", ntohs(free_address.sin_port)};
}

class raw_caller {
 public:
  explicit raw_caller(const socket_address& address) : socket_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in server_address{};
    server_address.sin_family = AF_INET;
    server_address.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &server_address.sin_addr);
    BOOST_REQUIRE_EQUAL(
        connect(socket_, reinterpret_cast<sockaddr*>(&server_address), sizeof server_address), 0);
  }
  ~raw_caller() { Close(); }
  raw_caller(const raw_caller&) = delete;
  raw_caller& operator=(const raw_caller&) = delete;

  void Send(const std::string& text) const {
    BOOST_REQUIRE_EQUAL(send(socket_, text.data(), text.size(), 0),
                        static_cast<ssize_t>(text.size()));
  }
  void Close() {
    if (socket_ >= 0) close(socket_);
    socket_ = -1;
  }
  /// Closes the connection by a TCP reset instead of an orderly shutdown.
  void Reset() {
    const linger zero_linger{1, 0};
    setsockopt(socket_, SOL_SOCKET, SO_LINGER, &zero_linger, sizeof zero_linger);
    Close();
  }

 private:
  int socket_;
};

}  // namespace bulrushway::testing

#endif  // BULRUSHWAY_TEST_RAW_CALLER_H
