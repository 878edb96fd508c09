// A request that a target has run, and that is sent again and refused, must not be reported to its
// caller as not run.

#include <fcntl.h>

#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>

#include "open_gate.h"
#include "raw_caller.h"
#include "request_router.h"
#include "scripted_peer.h"

namespace bulrushway {
namespace {

using std::chrono::milliseconds;
using testing::FreeAddress;
using testing::scripted_server;

constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;

header_names Names() {
  header_names names = ScriptedHeaderNames();
  names.retry_after = "Retry-After";
  return names;
}

// A process with one route to one target, which follows a script.
class small_entry {
 public:
  explicit small_entry(std::vector<scripted_server::step> script)
      : server_(loop_, std::move(script)) {
    const instant now = boot_clock::now();
    target_.OnHeartbeat(now, ReadyHeartbeat("lookup", server_.address()));
    gate_.SetPolicy(now, 130, 0, 1);
    gate_.Tick(now);
    fleet_.OnMember({"a", FreeAddress(), "dc", "r", "lookup", 1, {}});
    fleet_.OnReachable(now, "a", true);
    node_report report;
    report.node = "a";
    report.process = 1;
    report.sequence = 1;
    report.target = gate_.Report(now);
    fleet_.OnReport(now, report);
    BOOST_REQUIRE(callers_.Listen(address_).has_value());
  }

  void StopWithin(milliseconds left) { latest_deadline_ = boot_clock::now() + left; }
  const std::string& Received() const { return server_.Received(); }

  http_answer Call() {
    std::optional<http_answer> result;
    client_.Send(address_, {"GET", "/a/", {{"Host", "h"}, {"X-Request-Id", "1"}}, {}},
                 milliseconds(2000), [&](tl::expected<http_answer, http_failure> outcome) {
                   if (outcome) result = std::move(*outcome);
                   loop_.Stop();
                 });
    timer stop(loop_, [this](instant) { loop_.Stop(); });
    stop.Once(std::chrono::seconds(5));
    loop_.Run();
    BOOST_REQUIRE(result.has_value());
    return *result;
  }

 private:
  static std::shared_ptr<const route_table> Routes() {
    route lookup;
    lookup.name = "lookup";
    lookup.host = "h";
    lookup.prefix = "/a/";
    lookup.idempotent = true;
    lookup.max_attempts = 3;
    lookup.split = {{"lookup", 1}};
    service_policy service;
    service.name = "lookup";
    return std::make_shared<route_table>(1, std::vector{lookup}, std::vector{service},
                                         caller_limits{});
  }
  request_router_ports Ports() {
    return {[] { return Routes(); },
            [](const std::string&, uint32_t) { return std::string{}; },
            [](instant) { return std::optional<milliseconds>{}; },
            [this] { return latest_deadline_; },
            [] { return milliseconds{2500}; },
            [] { return configuration_origin{}; },
            [](instant) { return configuration_certainty::kNewest; }};
  }

  instant latest_deadline_ = instant::max();
  event_loop loop_;
  scripted_server server_;
  const socket_address address_ = FreeAddress();
  decision_log log_{loop_, "test", open("/dev/null", O_WRONLY | O_CLOEXEC)};
  metrics metrics_;
  own_target target_{{"lookup", server_.address()}};
  target_gate gate_{
      loop_,           metrics_, log_, target_, {server_.address(), "lookup", "r", Names()},
      OpenGatePorts(), 1};
  fleet_view fleet_{"a", "dc", "r"};
  peer_mesh mesh_{loop_, log_, metrics_, fleet_, {}};
  request_router router_{log_,  metrics_, {"a", "lookup", Names()}, Ports(), fleet_, mesh_,
                         gate_, 1};
  http_server callers_{loop_, {}, [this](const std::shared_ptr<http_exchange>& exchange) {
                         router_.Handle(boot_clock::now(), exchange);
                       }};
  http_client client_{loop_, 1};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(a_request_that_a_target_has_run)

BOOST_AUTO_TEST_CASE(and_failed_is_not_called_not_run_when_its_retry_finds_no_target) {
  small_entry entry(
      {{"HTTP/1.1 500 -\r\nX-Request-Id: 1\r\nSeal: s\r\nContent-Length: 0\r\n\r\n"}});
  BOOST_TEST(entry.Call().status == kBadGateway);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_request_at_a_process_that_stops)

BOOST_AUTO_TEST_CASE(is_refused_as_not_run_when_it_would_be_cut_off) {
  small_entry entry({{"", scripted_server::step::end::kIgnore}});
  entry.StopWithin(milliseconds(300));
  BOOST_TEST(entry.Call().status == kUnavailable);
  BOOST_TEST(entry.Received().empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
