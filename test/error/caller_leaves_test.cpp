// The server detects that a caller disconnected while the request is still in progress, not only
// when it writes the answer.

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "http_server.h"

namespace bulrushway {
namespace {

constexpr std::chrono::seconds kTestTimeout{10};
const std::string kRequest = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";

// A caller on a plain socket, so that the test controls how the connection is closed.
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
  // Closes the connection by a TCP reset instead of an orderly shutdown.
  void Reset() {
    const linger zero_linger{1, 0};
    setsockopt(socket_, SOL_SOCKET, SO_LINGER, &zero_linger, sizeof zero_linger);
    Close();
  }

 private:
  int socket_;
};

// A server that keeps every exchange open without an answer and counts those closed by callers.
struct holding_server {
  event_loop loop;
  socket_address address{"127.0.0.1", 0};
  std::vector<std::shared_ptr<http_exchange>> exchanges;
  int closed_exchanges = 0;
  std::function<void()> on_request = [] {};
  http_server server{loop, {}, [this](std::shared_ptr<http_exchange> exchange) {
                       exchange->OnClosed([this] {
                         ++closed_exchanges;
                         loop.Stop();
                       });
                       exchanges.push_back(std::move(exchange));
                       on_request();
                     }};
  bool timed_out = false;
  timer timeout{loop, [this](instant) {
                  timed_out = true;
                  loop.Stop();
                }};

  holding_server() {
    // Binds port 0 so that the kernel assigns a free port.
    const int probe = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in free_address{};
    free_address.sin_family = AF_INET;
    inet_pton(AF_INET, "127.0.0.1", &free_address.sin_addr);
    socklen_t length = sizeof free_address;
    BOOST_REQUIRE_EQUAL(bind(probe, reinterpret_cast<sockaddr*>(&free_address), length), 0);
    getsockname(probe, reinterpret_cast<sockaddr*>(&free_address), &length);
    close(probe);
    address.port = ntohs(free_address.sin_port);
    BOOST_REQUIRE(server.Listen(address));
    timeout.Once(kTestTimeout);
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(a_caller_leaves)

BOOST_AUTO_TEST_CASE(by_closing_its_connection) {
  holding_server fixture;
  raw_caller caller(fixture.address);
  fixture.on_request = [&] { caller.Close(); };
  caller.Send(kRequest);
  fixture.loop.Run();
  BOOST_TEST(!fixture.timed_out);
  BOOST_TEST(fixture.closed_exchanges == 1);
  BOOST_TEST(fixture.exchanges.at(0)->Finished());
}

BOOST_AUTO_TEST_CASE(by_a_reset) {
  holding_server fixture;
  raw_caller caller(fixture.address);
  fixture.on_request = [&] { caller.Reset(); };
  caller.Send(kRequest);
  fixture.loop.Run();
  BOOST_TEST(!fixture.timed_out);
  BOOST_TEST(fixture.closed_exchanges == 1);
}

BOOST_AUTO_TEST_CASE(but_one_that_sends_its_next_request_early_stays) {
  holding_server fixture;
  raw_caller caller(fixture.address);
  timer answer(fixture.loop, [&](instant) { fixture.exchanges.at(0)->Reply({}); });
  fixture.on_request = [&] {
    if (fixture.exchanges.size() == 1) answer.Once(std::chrono::milliseconds{20});
    if (fixture.exchanges.size() == 2) fixture.loop.Stop();
  };
  caller.Send(kRequest + kRequest);
  fixture.loop.Run();
  BOOST_TEST(!fixture.timed_out);
  BOOST_TEST(fixture.closed_exchanges == 0);
  BOOST_TEST(fixture.exchanges.size() == 2u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
