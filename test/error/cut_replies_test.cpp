// Answers to callers that this process cannot finish: whatever part has left, the caller can tell
// that the rest is missing.

#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>

#include "http_client.h"
#include "http_parser.h"
#include "http_server.h"
#include "raw_caller.h"

namespace bulrushway {
namespace {

using std::chrono::milliseconds;
using outcome = tl::expected<http_answer, http_failure>;

// More than the sockets of both sides buffer.
constexpr size_t kLongBody = 12 << 20;

// A server on a loop, and a caller that takes an answer without a length as well.
struct server_and_caller {
  explicit server_and_caller(http_server::handler handle)
      : server(std::make_unique<http_server>(loop, http_limits{}, std::move(handle))) {
    BOOST_REQUIRE(server->Listen(address).has_value());
  }

  void Send(milliseconds timeout = milliseconds(10'000)) {
    client.Send(address, {"GET", "/", {{"Host", "a"}}, {}}, timeout, [this](outcome received) {
      result = std::move(received);
      loop.Stop();
    });
  }
  void Run() {
    timer stop(loop, [this](instant) { loop.Stop(); });
    stop.Once(std::chrono::seconds(20));
    loop.Run();
  }

  event_loop loop;
  const socket_address address = testing::FreeAddress();
  std::unique_ptr<http_server> server;
  http_client client{loop, http_client_settings{}};
  std::optional<outcome> result;
};

void CheckNoAnswer(const std::optional<outcome>& result) {
  BOOST_REQUIRE(result.has_value());
  BOOST_TEST(!result->has_value());
  if (!*result) BOOST_TEST(result->error().may_have_run);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(an_answer_to_a_caller)

BOOST_AUTO_TEST_CASE(is_incomplete_at_every_byte_but_its_last) {
  for (const int status : {200, 404, 500, 503}) {
    const http_answer answer{status, {{"Seal", "s"}, {"Connection", "X"}}, "all of it"};
    for (const bool keep_alive : {true, false}) {
      const std::string text = SerializeAnswerHead(answer, keep_alive) + answer.body;
      for (size_t length = 0; length <= text.size(); ++length) {
        BOOST_TEST_CONTEXT("cut after " << length << " bytes of " << text) {
          http_answer_parser caller(http_size_limits{});
          BOOST_REQUIRE(caller.Feed(text.substr(0, length), "server").has_value());
          BOOST_TEST(caller.FeedEnd("server").has_value() == (length == text.size()));
        }
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(is_no_answer_if_the_server_ends_while_it_is_written) {
  std::unique_ptr<timer> shutdown;
  server_and_caller fixture([&](const std::shared_ptr<http_exchange>& exchange) {
    exchange->Reply({200, {{"Seal", "s"}}, std::string(kLongBody, 'x')});
    shutdown->Once(milliseconds(1));
  });
  shutdown = std::make_unique<timer>(fixture.loop, [&](instant) { fixture.server.reset(); });
  fixture.Send();
  fixture.Run();
  CheckNoAnswer(fixture.result);
}

BOOST_AUTO_TEST_CASE(is_no_answer_if_its_exchange_is_dropped) {
  std::shared_ptr<http_exchange> held;
  server_and_caller fixture(
      [&](const std::shared_ptr<http_exchange>& exchange) { held = exchange; });
  timer drop(fixture.loop, [&](instant) {
    if (held) held->Drop();
  });
  drop.Once(milliseconds(100));
  fixture.Send();
  fixture.Run();
  CheckNoAnswer(fixture.result);
}

BOOST_AUTO_TEST_CASE(is_no_answer_if_its_exchange_is_destroyed) {
  server_and_caller fixture([](const std::shared_ptr<http_exchange>&) {});
  fixture.Send();
  fixture.Run();
  CheckNoAnswer(fixture.result);
}

BOOST_AUTO_TEST_CASE(is_no_answer_if_it_is_truncated_on_purpose) {
  for (const size_t bytes : {0U, 1U, 8U}) {
    server_and_caller fixture([bytes](const std::shared_ptr<http_exchange>& exchange) {
      exchange->ReplyTruncated({200, {{"Seal", "s"}}, "all of it"}, bytes);
    });
    fixture.Send();
    fixture.Run();
    CheckNoAnswer(fixture.result);
  }
}

BOOST_AUTO_TEST_CASE(is_whole_if_the_server_drains_while_it_is_written) {
  std::unique_ptr<timer> drain;
  server_and_caller fixture([&](const std::shared_ptr<http_exchange>& exchange) {
    exchange->Reply({200, {{"Seal", "s"}}, std::string(kLongBody, 'x')});
    drain->Once(milliseconds(1));
  });
  drain = std::make_unique<timer>(
      fixture.loop, [&](instant now) { fixture.server->Drain(now, milliseconds(1500)); });
  fixture.Send();
  fixture.Run();
  BOOST_REQUIRE(fixture.result.has_value());
  BOOST_REQUIRE_MESSAGE(fixture.result->has_value(), fixture.result->error().message);
  BOOST_TEST((*fixture.result)->body.size() == kLongBody);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
