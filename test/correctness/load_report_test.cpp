// The report of the load stand-in classifies answers, and finds double executions, refusals that
// wrongly say "not run", and gaps in service.

#include "load_report.h"

#include <boost/test/unit_test.hpp>

#include "answer_text.h"

namespace bulrushway::standin {
namespace {

using std::chrono::milliseconds;

load_settings Settings() {
  load_settings settings;
  settings.services = *ParseLoadServices("corredores:lookup:0.5,cronometraje:keyed:0.5");
  return settings;
}

load_result Result(int at_ms, load_outcome outcome, int latency_ms, bool not_run = false) {
  load_result made;
  made.request.at = milliseconds{at_ms};
  made.request.service = 1;
  made.request.idempotent = false;
  made.request.request_id = "load-" + std::to_string(at_ms);
  made.outcome = outcome;
  made.not_run = not_run;
  made.latency = milliseconds{latency_ms};
  return made;
}

load_outcome OutcomeOf(const http_answer& answer, int latency_ms = 10) {
  load_result request_result = Result(1, load_outcome::kLost, latency_ms);
  Classify(answer, "key7", "/item/key7", milliseconds{100}, request_result);
  return request_result.outcome;
}

http_answer Answer(const std::string& id, const std::string& key) {
  return {200, {}, ComposeAnswer({"t1", id, key, "/cronometraje/item/" + key}, 20)};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(load_report_of)

BOOST_AUTO_TEST_SUITE(one_answer)

BOOST_AUTO_TEST_CASE(that_is_whole_and_in_time) {
  BOOST_TEST((OutcomeOf(Answer("load-1", "key7")) == load_outcome::kWhole));
  BOOST_TEST((OutcomeOf(Answer("load-1", "key7"), 101) == load_outcome::kLate));
}

BOOST_AUTO_TEST_CASE(that_was_cut_or_changed) {
  http_answer cut = Answer("load-1", "key7");
  cut.body.resize(cut.body.size() - 5);
  BOOST_TEST((OutcomeOf(cut) == load_outcome::kTruncated));
  http_answer changed = Answer("load-1", "key7");
  changed.body[9] = 'z';
  BOOST_TEST((OutcomeOf(changed) == load_outcome::kTruncated));
}

BOOST_AUTO_TEST_CASE(that_belongs_to_another_request) {
  BOOST_TEST((OutcomeOf(Answer("load-2", "key7")) == load_outcome::kCrossed));
  BOOST_TEST((OutcomeOf(Answer("load-1", "key8")) == load_outcome::kCrossed));
  http_answer wrong_header = Answer("load-1", "key7");
  wrong_header.headers.emplace_back("X-Bulrush-Request-Id", "load-2");
  BOOST_TEST((OutcomeOf(wrong_header) == load_outcome::kCrossed));
}

BOOST_AUTO_TEST_CASE(that_is_a_refusal) {
  http_answer refusal{503, {{"X-Bulrush-Reason", "queue_full"}}, {}};
  load_result request_result = Result(1, load_outcome::kLost, 1);
  Classify(refusal, "key7", "/item/key7", milliseconds{100}, request_result);
  BOOST_TEST((request_result.outcome == load_outcome::kRefused));
  BOOST_TEST(!request_result.not_run);
  refusal.headers.emplace_back("X-Bulrush-Run-State", "not run");
  Classify(refusal, "key7", "/item/key7", milliseconds{100}, request_result);
  BOOST_TEST(request_result.not_run);
  BOOST_TEST((OutcomeOf({500, {}, {}}) == load_outcome::kUnexpectedStatus));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(executions_finds_doubles_and_false_refusals) {
  load_report report(Settings(), milliseconds{1000});
  report.Add(Result(1, load_outcome::kWhole, 5));
  report.Add(Result(2, load_outcome::kRefused, 5, true));
  report.Add(Result(3, load_outcome::kRefused, 5, true));
  report.Add(Result(4, load_outcome::kLost, 5));
  report.Add(Result(5, load_outcome::kWhole, 5));
  report.CheckExecutions({{"load-1", 2}, {"load-2", 1}, {"load-4", 1}}, 1, 0, 4);
  BOOST_TEST(report.Executions().double_executions == 1u);
  BOOST_TEST(report.Executions().false_not_run == 1u);
  BOOST_TEST(report.Executions().whole_but_not_found == 1u);
}

BOOST_AUTO_TEST_CASE(repeats_under_one_idempotency_key_are_one_request) {
  load_report report(Settings(), milliseconds{1000});
  for (const bool refused : {true, false}) {
    load_result request_result = Result(
        refused ? 1 : 2, refused ? load_outcome::kRefused : load_outcome::kWhole, 5, refused);
    request_result.request.idempotency_key = "once-1";
    report.Add(request_result);
  }
  report.CheckExecutions({{"once-1", 1}}, 1, 0, 1);
  BOOST_TEST(report.Executions().false_not_run == 0u);
  BOOST_TEST(report.Executions().double_executions == 0u);
}

BOOST_AUTO_TEST_CASE(the_time_without_service_ends_with_the_next_success) {
  load_report report(Settings(), milliseconds{1000});
  report.Add(Result(0, load_outcome::kWhole, 5));
  report.Add(Result(100, load_outcome::kRefused, 1, true));
  report.Add(Result(400, load_outcome::kLost, 3000));
  report.Add(Result(900, load_outcome::kWhole, 50));
  report.Add(Result(1000, load_outcome::kWhole, 5));
  const auto gaps = report.Gaps();
  BOOST_REQUIRE_EQUAL(gaps.size(), 1u);
  BOOST_TEST((gaps[0].from == milliseconds{100}));
  BOOST_TEST((gaps[0].length == milliseconds{850}));
  BOOST_TEST(!gaps[0].open);
  report.Add(Result(1500, load_outcome::kRefused, 10, true));
  report.Add(Result(3000, load_outcome::kRefused, 10, true));
  BOOST_TEST(report.Gaps()[0].open);
  BOOST_TEST((report.Gaps()[0].length == milliseconds{1510}));
}

BOOST_AUTO_TEST_CASE(a_failed_request_counts_with_the_deadline) {
  load_report report(Settings(), milliseconds{1000});
  report.Add(Result(0, load_outcome::kWhole, 5));
  report.Add(Result(1, load_outcome::kRefused, 1, true));
  report.Add(Result(2, load_outcome::kLost, 3000));
  BOOST_TEST((report.Latency(1).largest == milliseconds{5}));
  BOOST_TEST((report.LatencyOfAll(1).p50 == milliseconds{1000}));
  BOOST_TEST((report.LatencyOfAll(1).largest == milliseconds{3000}));
}

BOOST_AUTO_TEST_CASE(windows_sorts_by_the_planned_time) {
  load_report report(Settings(), milliseconds{1000});
  report.Add(Result(999, load_outcome::kWhole, 5000));
  report.Add(Result(1000, load_outcome::kWhole, 7));
  const auto windows = report.Windows();
  BOOST_REQUIRE_EQUAL(windows.size(), 2u);
  BOOST_TEST((windows[0].latency.largest == milliseconds{5000}));
  BOOST_TEST((windows[1].latency.p99 == milliseconds{7}));
}

BOOST_AUTO_TEST_CASE(a_plan_is_the_same_for_the_same_seed) {
  load_settings settings = Settings();
  settings.rate = 1000;
  settings.zipf = 1;
  settings.repeat_share = 0.5;
  load_plan plan(settings);
  load_plan same_seed_plan(settings);
  uint64_t requests = 0;
  uint64_t repeats = 0;
  std::chrono::nanoseconds previous_at{0};
  while (const auto planned = plan.Next()) {
    const auto counterpart = same_seed_plan.Next();
    BOOST_REQUIRE(counterpart);
    BOOST_REQUIRE(planned->request_id == counterpart->request_id);
    BOOST_REQUIRE((planned->at == counterpart->at));
    BOOST_REQUIRE((planned->at >= previous_at));
    previous_at = planned->at;
    ++requests;
    if (!planned->repeat_of.empty()) ++repeats;
  }
  BOOST_TEST(requests > 9500u);
  BOOST_TEST(requests < 12000u);
  BOOST_TEST(repeats > 300u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway::standin
