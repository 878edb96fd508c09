#include "bulk_pacer.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

namespace bulrushway {
namespace {

using std::chrono::milliseconds;

// A socket pair: the pacer limits the writing end, and the reading end is drained at once.
class paced_connection {
 public:
  paced_connection(event_loop& loop, bulk_pacer& pacer) : pacer_(pacer) {
    int sockets[2];
    BOOST_REQUIRE_EQUAL(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, sockets), 0);
    writer_ = bufferevent_socket_new(loop.Base(), sockets[0], BEV_OPT_CLOSE_ON_FREE);
    reader_ = bufferevent_socket_new(loop.Base(), sockets[1], BEV_OPT_CLOSE_ON_FREE);
    const auto on_read = [](bufferevent* raw, void* self) {
      evbuffer* input = bufferevent_get_input(raw);
      static_cast<paced_connection*>(self)->received_ += evbuffer_get_length(input);
      evbuffer_drain(input, evbuffer_get_length(input));
    };
    bufferevent_setcb(reader_, on_read, nullptr, nullptr, this);
    bufferevent_enable(reader_, EV_READ);
    bufferevent_enable(writer_, EV_WRITE);
  }
  ~paced_connection() {
    pacer_.BeforeFree(writer_);
    bufferevent_free(writer_);
    bufferevent_free(reader_);
  }
  paced_connection(const paced_connection&) = delete;
  paced_connection& operator=(const paced_connection&) = delete;

  void Send(size_t bytes) {
    pacer_.BeforeWrite(writer_, bytes);
    const std::string body(bytes, 'x');
    bufferevent_write(writer_, body.data(), body.size());
  }
  size_t Received() const { return received_; }

 private:
  bulk_pacer& pacer_;
  bufferevent* writer_;
  bufferevent* reader_;
  size_t received_ = 0;
};

void RunFor(event_loop& loop, milliseconds duration) {
  timer stop_timer(loop, [&loop](instant) { loop.Stop(); });
  stop_timer.Once(duration);
  loop.Run();
}

constexpr size_t kMegabyte = 1'000'000;
constexpr size_t kSmallBytes = 300;
// A link of 8 Mbit/s.
constexpr double kLinkBytesPerSecond = kMegabyte;

}  // namespace

BOOST_AUTO_TEST_SUITE(large_answers_over_a_narrow_link)

BOOST_AUTO_TEST_CASE(stay_below_what_the_link_carries_all_together) {
  event_loop loop;
  bulk_pacer pacer(loop, kLinkBytesPerSecond);
  paced_connection first(loop, pacer);
  paced_connection second(loop, pacer);
  first.Send(kMegabyte);
  second.Send(kMegabyte);
  BOOST_CHECK_EQUAL(pacer.UnsentBytes(), 2 * kMegabyte);
  RunFor(loop, milliseconds{400});
  BOOST_CHECK_GE(pacer.UnsentBytes(), kMegabyte);
  const size_t sent = first.Received() + second.Received();
  BOOST_CHECK_LE(sent, kMegabyte * 4 / 10);
  BOOST_CHECK_GE(sent, kMegabyte * 2 / 10);
}

BOOST_AUTO_TEST_CASE(let_small_answers_of_other_connections_pass) {
  event_loop loop;
  bulk_pacer pacer(loop, kLinkBytesPerSecond);
  paced_connection large(loop, pacer);
  paced_connection small(loop, pacer);
  large.Send(kMegabyte);
  RunFor(loop, milliseconds{50});
  small.Send(kSmallBytes);
  RunFor(loop, milliseconds{10});
  BOOST_CHECK_EQUAL(small.Received(), kSmallBytes);
}

BOOST_AUTO_TEST_CASE(no_longer_hold_up_the_small_ones_after_them) {
  event_loop loop;
  bulk_pacer pacer(loop, kLinkBytesPerSecond);
  paced_connection connection(loop, pacer);
  paced_connection large(loop, pacer);
  connection.Send(kMegabyte / 20);
  RunFor(loop, milliseconds{150});
  BOOST_REQUIRE_EQUAL(connection.Received(), kMegabyte / 20);
  large.Send(kMegabyte);
  RunFor(loop, milliseconds{50});
  connection.Send(kSmallBytes);
  RunFor(loop, milliseconds{10});
  BOOST_CHECK_EQUAL(connection.Received(), kMegabyte / 20 + kSmallBytes);
}

BOOST_AUTO_TEST_CASE(may_lose_their_connections_while_they_wait) {
  event_loop loop;
  bulk_pacer pacer(loop, kLinkBytesPerSecond);
  std::vector<std::unique_ptr<paced_connection>> connections(40);
  // Each connection is freed while its answer is unsent and the others use up the rate limit.
  for (int round = 0; round < 200; ++round) {
    auto& connection = connections[static_cast<size_t>(round) % connections.size()];
    connection = std::make_unique<paced_connection>(loop, pacer);
    connection->Send(kMegabyte / 10);
    RunFor(loop, milliseconds{3});
  }
  size_t sent = 0;
  for (const auto& connection : connections) sent += connection->Received();
  BOOST_CHECK_GT(sent, 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(large_answers_over_an_unknown_link)

BOOST_AUTO_TEST_CASE(are_not_paced) {
  event_loop loop;
  bulk_pacer pacer(loop, 0);
  paced_connection connection(loop, pacer);
  connection.Send(kMegabyte);
  RunFor(loop, milliseconds{400});
  BOOST_CHECK_EQUAL(connection.Received(), kMegabyte);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
