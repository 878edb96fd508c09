// Exceptions in callbacks of the event loop. An exception that nothing caught used to end the
// process, and with it the requests of all callers.

#include <boost/test/unit_test.hpp>
#include <optional>
#include <stdexcept>

#include "delayed_calls.h"
#include "http_client.h"
#include "http_server.h"

namespace bulrushway {
namespace {

using std::chrono::milliseconds;

const socket_address kAddress{"127.0.0.1", 7397};

// A server that throws an exception for each request to /fault, and a client of it.
struct faulty_process {
  faulty_process() { BOOST_REQUIRE(server.Listen(kAddress).has_value()); }

  void Send(const std::string& target, http_client::callback done) {
    http_request request;
    request.target = target;
    client.Send(kAddress, std::move(request), milliseconds(2000), std::move(done));
  }
  void Run() {
    timer stop(loop, [this](instant) { loop.Stop(); });
    stop.Once(std::chrono::seconds(5));
    loop.Run();
  }

  event_loop loop;
  http_server server{loop, {}, [](const std::shared_ptr<http_exchange>& exchange) {
                       if (exchange->request().target == "/fault") throw std::runtime_error("x");
                       exchange->Reply({200, {}, "ok"});
                     }};
  http_client client{loop, 4};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(an_exception_in_a_callback)

BOOST_AUTO_TEST_CASE(of_a_timer_ends_neither_the_loop_nor_the_timer) {
  event_loop loop;
  int expired = 0;
  timer faulty(loop, [&](instant) {
    if (++expired == 3) loop.Stop();
    throw std::runtime_error("x");
  });
  faulty.Every(milliseconds(1));
  loop.Run();
  BOOST_TEST(expired == 3);
}

BOOST_AUTO_TEST_CASE(of_a_delayed_call_does_not_stop_the_calls_that_follow) {
  event_loop loop;
  delayed_calls calls(loop);
  bool called = false;
  const instant now = boot_clock::now();
  calls.CallAt(now, [](instant) { throw std::runtime_error("x"); });
  calls.CallAt(now + milliseconds(5), [&](instant) {
    called = true;
    loop.Stop();
  });
  timer stop(loop, [&loop](instant) { loop.Stop(); });
  stop.Once(std::chrono::seconds(5));
  loop.Run();
  BOOST_TEST(called);
}

BOOST_AUTO_TEST_CASE(of_a_request_closes_its_connection_and_no_other) {
  faulty_process fixture;
  std::optional<bool> faulty_answered;
  std::optional<bool> sound_answered;
  const auto finish = [&] {
    if (faulty_answered && sound_answered) fixture.loop.Stop();
  };
  fixture.Send("/fault", [&](auto answer) {
    faulty_answered = answer.has_value();
    finish();
  });
  fixture.Send("/sound", [&](auto answer) {
    sound_answered = answer.has_value();
    finish();
  });
  fixture.Run();
  BOOST_TEST(faulty_answered.value_or(true) == false);
  BOOST_TEST(sound_answered.value_or(false) == true);
}

BOOST_AUTO_TEST_CASE(that_processes_an_answer_does_not_keep_the_next_request_waiting) {
  faulty_process fixture;
  http_client client(fixture.loop, 1);
  bool answered = false;
  const auto send = [&](http_client::callback done) {
    client.Send(kAddress, {}, milliseconds(2000), std::move(done));
  };
  send([](const auto&) { throw std::runtime_error("x"); });
  send([&](const auto& answer) {
    answered = answer.has_value();
    fixture.loop.Stop();
  });
  fixture.Run();
  BOOST_TEST(answered);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
