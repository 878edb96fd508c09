// What a target says of itself in its answers: how many requests a second it takes from all
// processes together, and that it is leaving. Its gate acts on both, whoever sends the requests.

#include <fcntl.h>

#include <boost/test/unit_test.hpp>
#include <vector>

#include "fleet_view.h"
#include "http_server.h"
#include "open_gate.h"
#include "target_limit.h"

namespace bulrushway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr instant kStart = instant{} + std::chrono::hours(1);

// A target that answers each request after some time, and the gate in front of it.
class outspoken_target {
 public:
  explicit outspoken_target(milliseconds work) : work_(work) {
    BOOST_REQUIRE(server_.Listen(kAddress).has_value());
    target_.OnHeartbeat(boot_clock::now(), ReadyHeartbeat("lookup", kAddress));
    gate_.SetPolicy(boot_clock::now(), 130, 0, 1);
    gate_.Tick(boot_clock::now());
    tick_.Every(milliseconds(10));
  }

  // Sends requests at a constant interval, as all processes together would.
  void OfferFor(milliseconds time, milliseconds interval) {
    timer offer(loop_, [this](instant now) { Offer(now); });
    offer.Every(interval);
    RunFor(time);
  }
  void RunFor(milliseconds time) {
    timer stop(loop_, [this](instant) { loop_.Stop(); });
    stop.Once(time);
    loop_.Run();
  }
  void Offer(instant now) {
    dispatch_request request;
    request.service = "lookup";
    request.request_id = std::to_string(++offered);
    request.time_left = milliseconds(900);
    request.latency_target_left = milliseconds(900);
    request.max_queue_wait = milliseconds(100);
    request.request = {"GET", "/", {{"Host", "a"}}, {}};
    gate_.Handle(now, std::move(request), [this](instant, const dispatch_answer& answer) {
      if (answer.reason != refusal_reason::kNone) refusals.push_back(answer);
    });
  }
  // Another incarnation of the target takes its place.
  void Replace() {
    target_heartbeat heartbeat = ReadyHeartbeat("lookup", kAddress);
    heartbeat.incarnation = {"t2", 2000};
    target_.OnHeartbeat(boot_clock::now(), heartbeat);
    gate_.Tick(boot_clock::now());
  }
  double LimitShown() { return metrics_.Gauge("bulrushway_target_limit"); }
  target_report Report() { return gate_.Report(boot_clock::now()); }
  size_t Running() const { return gate_.Running(); }

  std::string limit;
  bool leaving = false;
  int offered = 0;
  int arrived = 0;
  std::vector<dispatch_answer> refusals;

 private:
  static header_names Names() {
    header_names names;
    names.time_left = "Time-Left";
    names.caller = "Caller";
    names.target_instance = "Target";
    names.limit = "Server-Limit";
    names.leaving = "Server-Leaving";
    names.signature = "Seal";
    names.not_run = "Not-Run";
    return names;
  }
  void OnRequest(const std::shared_ptr<http_exchange>& exchange) {
    ++arrived;
    http_answer answer{200, {{"Seal", "s"}}, "ok"};
    if (!limit.empty()) answer.headers.emplace_back("Server-Limit", limit);
    if (leaving) answer.headers.emplace_back("Server-Leaving", "1");
    auto reply =
        std::make_shared<timer>(loop_, [exchange, answer](instant) { exchange->Reply(answer); });
    reply->Once(work_);
    replies_.push_back(reply);
  }

  const socket_address kAddress{"127.0.0.1", 7391};
  milliseconds work_;
  event_loop loop_;
  std::vector<std::shared_ptr<timer>> replies_;
  http_server server_{
      loop_, {}, [this](const std::shared_ptr<http_exchange>& exchange) { OnRequest(exchange); }};
  decision_log log_{loop_, "test", open("/dev/null", O_WRONLY | O_CLOEXEC)};
  metrics metrics_;
  own_target target_{{"lookup", kAddress}};
  target_gate gate_{loop_,           metrics_, log_, target_, {kAddress, "lookup", "r", Names()},
                    OpenGatePorts(), 1};
  timer tick_{loop_, [this](instant now) { gate_.Tick(now); }};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(a_target_that_names_a_limit)

BOOST_AUTO_TEST_CASE(gets_no_more_requests_than_that) {
  outspoken_target fixture(milliseconds(5));
  fixture.limit = "10";
  fixture.Offer(boot_clock::now());
  fixture.RunFor(milliseconds(50));
  const int before = fixture.arrived;
  fixture.OfferFor(milliseconds(2000), milliseconds(5));
  BOOST_TEST(fixture.offered > 200);
  // 10 a second, and those that may be sent at once.
  BOOST_TEST(fixture.arrived - before <= 20 + 3);
  BOOST_TEST(fixture.arrived - before >= 15);

  BOOST_TEST_CONTEXT("and the others are refused as not run, with the time until it takes one") {
    BOOST_REQUIRE(!fixture.refusals.empty());
    for (const dispatch_answer& refusal : fixture.refusals) {
      BOOST_TEST((refusal.state == run_state::kNotRun));
      BOOST_TEST((refusal.reason == refusal_reason::kTargetLimited));
      BOOST_TEST(refusal.retry_after > milliseconds(0));
      BOOST_TEST(!refusal.sent_to_target);
    }
    BOOST_TEST(fixture.Report().limit_millirate.value_or(0) == 10'000U);
  }
  BOOST_TEST_CONTEXT("until an answer does not name it") {
    fixture.limit.clear();
    fixture.OfferFor(milliseconds(400), milliseconds(5));
    fixture.RunFor(milliseconds(50));
    BOOST_TEST(!fixture.Report().limit_millirate.has_value());
    const int unlimited_before = fixture.arrived;
    fixture.OfferFor(milliseconds(500), milliseconds(5));
    BOOST_TEST(fixture.arrived - unlimited_before > 50);
  }
}

BOOST_AUTO_TEST_CASE(leaves_none_to_its_next_incarnation) {
  outspoken_target fixture(milliseconds(5));
  BOOST_TEST(fixture.LimitShown() == -1);
  fixture.limit = "10";
  fixture.Offer(boot_clock::now());
  fixture.RunFor(milliseconds(50));
  BOOST_TEST(fixture.LimitShown() == 10);
  fixture.Replace();
  BOOST_TEST(fixture.LimitShown() == -1);
  BOOST_TEST(!fixture.Report().limit_millirate.has_value());
}

BOOST_AUTO_TEST_CASE(is_probed_by_few_requests_of_a_restarted_gate_until_its_first_answer) {
  outspoken_target fixture(milliseconds(100));
  fixture.limit = "1";
  for (int i = 0; i < 12; ++i) fixture.Offer(boot_clock::now());
  BOOST_TEST(fixture.Running() <= 2U);
  fixture.OfferFor(milliseconds(900), milliseconds(10));
  BOOST_TEST(fixture.arrived <= 3);
}

BOOST_AUTO_TEST_CASE(keeps_it_although_an_older_answer_that_does_not_name_it_arrives_late) {
  target_limit limit;
  BOOST_TEST(limit.OnAnswer(kStart + seconds(2), kStart + seconds(1), 40.5));
  BOOST_TEST(!limit.OnAnswer(kStart + seconds(3), kStart, std::nullopt));
  BOOST_TEST(limit.rate().value() == 40.5);
  BOOST_TEST(limit.OnAnswer(kStart + seconds(4), kStart + seconds(3), std::nullopt));
  BOOST_TEST(!limit.rate().has_value());
}

BOOST_AUTO_TEST_CASE(is_understood_only_if_it_is_a_number) {
  BOOST_TEST(ParseRequestLimit("40.5").value() == 40.5);
  BOOST_TEST(ParseRequestLimit("0").value() == 0.0);
  for (const char* text : {"", "-1", "many", "3 a second", "inf", "nan", "1e999"}) {
    BOOST_TEST(!ParseRequestLimit(text).has_value(), text);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_target_that_says_in_an_answer_that_it_is_leaving)

BOOST_AUTO_TEST_CASE(gets_no_more_requests_although_its_heartbeats_do_not_say_so) {
  outspoken_target fixture(milliseconds(5));
  fixture.leaving = true;
  fixture.Offer(boot_clock::now());
  fixture.RunFor(milliseconds(50));
  BOOST_TEST(fixture.Report().leaving);
  fixture.OfferFor(milliseconds(200), milliseconds(10));
  BOOST_TEST(fixture.arrived == 1);
  BOOST_REQUIRE(!fixture.refusals.empty());
  BOOST_TEST((fixture.refusals.back().state == run_state::kNotRun));
}

BOOST_AUTO_TEST_CASE(is_not_chosen_after_a_restart_of_its_gate_which_does_not_know) {
  fleet_view fleet("a", "dc", "r");
  node_report report;
  report.node = "b";
  report.process = 1;
  report.sequence = 1;
  report.target.incarnation = {"t", 1};
  report.target.service = "lookup";
  report.target.leaving = true;
  fleet.OnMember({"b", {"10.0.0.2", 1}, "dc", "r", "lookup", 1});
  fleet.OnReachable(kStart, "b", true);
  fleet.OnReport(kStart, report);

  fleet.OnMember({"b", {"10.0.0.2", 1}, "dc", "r", "lookup", 2});
  fleet.OnReachable(kStart, "b", true);
  report.process = 2;
  report.target.accepting = true;
  report.target.leaving = false;
  fleet.OnReport(kStart + seconds(1), report);
  BOOST_TEST(!fleet.Find("b")->Usable());
  BOOST_TEST(!fleet.Find("b")->TargetLeft(kStart + seconds(2), milliseconds(2500)));
  BOOST_TEST(fleet.Find("b")->TargetLeft(kStart + seconds(3), milliseconds(2500)));

  BOOST_TEST_CONTEXT("but its next incarnation is") {
    report.sequence = 2;
    report.target.incarnation = {"t2", 2};
    fleet.OnReport(kStart + seconds(3), report);
    BOOST_TEST(fleet.Find("b")->Usable());
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
