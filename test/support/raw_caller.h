#ifndef BULRUSHWAY_TEST_RAW_CALLER_H
#define BULRUSHWAY_TEST_RAW_CALLER_H

// A caller on a plain socket, so that the test controls its bytes and how the connection is closed.

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

#include "free_address.h"
#include "socket_address.h"

namespace bulrushway::testing {

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
  /// Sends what the kernel takes at once; returns its length. Zero when the server has closed.
  size_t TrySend(std::string_view text) const {
    const ssize_t sent = send(socket_, text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    return sent < 0 ? 0 : static_cast<size_t>(sent);
  }
  /// Everything received so far.
  const std::string& Receive() {
    std::array<char, 4096> bytes{};
    ssize_t length = 0;
    while ((length = recv(socket_, bytes.data(), bytes.size(), MSG_DONTWAIT)) > 0) {
      received_.append(bytes.data(), static_cast<size_t>(length));
    }
    return received_;
  }
  /// Status codes of the answers received so far, interim ones included.
  std::vector<int> Statuses() {
    static constexpr std::string_view kVersion = "HTTP/1.1 ";
    std::vector<int> statuses;
    Receive();
    for (size_t at = received_.find(kVersion); at != std::string::npos;
         at = received_.find(kVersion, at + 1)) {
      statuses.push_back(std::atoi(received_.c_str() + at + kVersion.size()));
    }
    return statuses;
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
  std::string received_;
};

}  // namespace bulrushway::testing

#endif  // BULRUSHWAY_TEST_RAW_CALLER_H
