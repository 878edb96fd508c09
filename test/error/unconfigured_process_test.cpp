// A process without a configuration does not know which sizes the operators allow.

#include <boost/test/unit_test.hpp>
#include <string>

#include "answering_server.h"
#include "node.h"
#include "raw_caller.h"

namespace bulrushway {
namespace {

using testing::FreeAddress;
using testing::raw_caller;

// A node whose store never answers.
struct unconfigured_node {
  event_loop loop;
  node_settings settings = Settings();
  node process{loop, settings, Ports(), 1};

  unconfigured_node() {
    const auto started = process.Start(boot_clock::now());
    BOOST_REQUIRE_MESSAGE(started.has_value(), (started ? "" : ToString(started.error())));
  }

  static node_settings Settings() {
    node_settings settings;
    settings.name = "n1";
    settings.ip = "127.0.0.1";
    settings.data_centre = "dc1";
    settings.region = "r1";
    settings.service = "s";
    settings.target = FreeAddress();
    settings.callers = FreeAddress();
    settings.peers = FreeAddress();
    settings.metrics = FreeAddress();
    settings.headers.request_id = "X-Id";
    settings.headers.retry_after = "Retry-After";
    return settings;
  }

  static node_ports Ports() {
    node_ports ports;
    ports.store.read = [](const std::string&, const rows_callback&) {};
    ports.store.commit = [](const row_transaction&, const receipt_callback&) {};
    ports.store.watch = [](const std::string&, uint64_t, std::chrono::milliseconds,
                           const rows_callback&) {};
    ports.operator_row = [](instant, const stored_row&, const operator_row_source&) {};
    ports.parse_load = [](const std::string&) { return std::optional<reported_load>{}; };
    return ports;
  }

  // Sends bytes and returns the answer.
  std::string Answer(const std::string& bytes) {
    raw_caller caller(settings.callers);
    caller.Send(bytes);
    testing::RunUntil(loop, [&] { return caller.Receive().find("\r\n\r\n") != std::string::npos; });
    return caller.Receive();
  }
};

void CheckRefused(const std::string& answer) {
  BOOST_TEST(answer.substr(0, 12) == "HTTP/1.1 503");
  BOOST_TEST(answer.find("\r\nRetry-After: ") != std::string::npos);
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(a_process_without_a_configuration, unconfigured_node)

BOOST_AUTO_TEST_CASE(refuses_a_small_request) {
  CheckRefused(Answer("GET /a HTTP/1.1\r\nHost: a\r\nX-Id: 7\r\n\r\n"));
}

BOOST_AUTO_TEST_CASE(refuses_a_body_that_a_configuration_may_allow) {
  const std::string answer =
      Answer("POST /a HTTP/1.1\r\nHost: a\r\nX-Id: 7\r\nContent-Length: 60000000\r\n\r\n");
  CheckRefused(answer);
  BOOST_TEST(answer.find("\r\nX-Id: 7\r\n") != std::string::npos);
  BOOST_TEST(answer.find("\r\nConnection: close\r\n") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(refuses_headers_that_a_configuration_may_allow) {
  CheckRefused(Answer("GET /a HTTP/1.1\r\nHost: a\r\nX: " + std::string(40'000, 'x') + "\r\n\r\n"));
}

BOOST_AUTO_TEST_CASE(refuses_headers_that_take_longer_than_it_may_wait) {
  raw_caller caller(settings.callers);
  caller.Send("GET /a HTTP/1.1\r\n");
  testing::RunUntil(loop, [&] { return !caller.Statuses().empty(); });
  CheckRefused(caller.Receive());
}

BOOST_AUTO_TEST_CASE(rejects_what_no_configuration_allows) {
  const std::string answer = Answer("GET\r\n\r\n");
  BOOST_TEST(answer.substr(0, 12) == "HTTP/1.1 400");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
