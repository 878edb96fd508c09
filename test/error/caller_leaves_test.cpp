// The server detects that a caller disconnected while the request is still in progress, not only
// when it writes the answer.

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "http_server.h"
#include "raw_caller.h"

namespace bulrushway {
namespace {

using testing::raw_caller;

constexpr std::chrono::seconds kTestTimeout{10};
const std::string kRequest = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";

// A server that keeps every exchange open without an answer and counts those closed by callers.
struct holding_server {
  event_loop loop;
  socket_address address = testing::FreeAddress();
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
