// Answers that take longer to transfer than a connection may be idle.

#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>

#include "bulk_pacer.h"
#include "http_client.h"
#include "http_server.h"

namespace bulrushway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const socket_address kServer{"127.0.7.200", 7190};
// Link rate at which an answer takes 2.4 s.
constexpr double kLinkBytesPerSecond = 100'000;
constexpr size_t kBodyBytes = 200'000;

}  // namespace

BOOST_AUTO_TEST_SUITE(an_answer_that_waits_for_the_link)

BOOST_AUTO_TEST_CASE(arrives_whole_although_the_server_begins_to_stop) {
  event_loop loop;
  bulk_pacer pacer(loop, kLinkBytesPerSecond);
  http_server server(
      loop, {},
      [](const std::shared_ptr<http_exchange>& exchange) {
        exchange->Reply({200, {}, std::string(kBodyBytes, 'x')});
      },
      &pacer);
  BOOST_REQUIRE(server.Listen(kServer).has_value());
  http_client client(loop, http_client_settings{});
  http_request request;
  request.target = "/";
  request.headers = {{"Host", "h"}};
  std::optional<tl::expected<http_answer, http_failure>> result;
  client.Send(kServer, std::move(request), seconds(5), [&](auto outcome) {
    result = std::move(outcome);
    loop.Stop();
  });
  timer drain_timer(loop, [&server](instant now) { server.Drain(now, milliseconds{400}); });
  drain_timer.Once(milliseconds{200});
  loop.Run();
  BOOST_REQUIRE(result.has_value());
  BOOST_REQUIRE(result->has_value());
  BOOST_TEST((*result)->body.size() == kBodyBytes);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
