// The target stand-in checks grants, counts executions and is slower while it is cold.

#include <boost/test/unit_test.hpp>

#include "execution_log.h"
#include "service_times.h"
#include "target_faults.h"
#include "target_request.h"

namespace bulrushway::standin {
namespace {

using std::chrono::milliseconds;

const instant kStart{std::chrono::hours{1}};

target_request RequestWithGrant(uint64_t epoch, const std::string& expires_ms) {
  http_request request{"POST", "/druck/item/7", {}, {}};
  request.headers = {{"X-Bulrush-Service", "druck"},
                     {"X-Bulrush-Slice", "3"},
                     {"X-Bulrush-Epoch", std::to_string(epoch)},
                     {"X-Bulrush-Grant-Expires-Ms", expires_ms}};
  return ReadTargetRequest(request, kStart);
}

service_settings ColdSettings() {
  service_settings settings;
  settings.mean = milliseconds{10};
  settings.shape = service_shape::kFixed;
  settings.cold_requests = 2;
  settings.cold_factor = 4;
  settings.cold_concurrency = 3;
  return settings;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(target_stand_in)

BOOST_AUTO_TEST_CASE(reads_the_headers_of_the_gate) {
  const target_request request = RequestWithGrant(5, "250");
  BOOST_REQUIRE(request.owner);
  BOOST_TEST(request.owner->slice == 3u);
  BOOST_TEST(request.owner->epoch == 5u);
  BOOST_TEST((request.grant_expires == kStart + milliseconds{250}));
  BOOST_TEST(!request.deadline);
  BOOST_TEST(!request.idempotent);
  BOOST_TEST(ReadTargetRequest({"GET", "/a/poison/1", {}, {}}, kStart).poison);
}

BOOST_AUTO_TEST_SUITE(grants)

BOOST_AUTO_TEST_CASE(of_a_lower_epoch_are_refused) {
  grant_checker grants;
  BOOST_TEST(!grants.Check(RequestWithGrant(5, "250"), kStart));
  BOOST_TEST(!grants.Check(RequestWithGrant(5, "250"), kStart));
  BOOST_TEST(grants.Check(RequestWithGrant(4, "250"), kStart).value() == "epoch");
  BOOST_TEST(!grants.Check(RequestWithGrant(6, "250"), kStart));
  BOOST_TEST(grants.Check(RequestWithGrant(5, "250"), kStart).has_value());
}

BOOST_AUTO_TEST_CASE(that_expired_are_refused) {
  grant_checker grants;
  BOOST_TEST(!grants.Check(RequestWithGrant(5, "250"), kStart + milliseconds{250}));
  BOOST_TEST(grants.Check(RequestWithGrant(5, "250"), kStart + milliseconds{251}).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(counts_double_runs_of_requests_that_are_not_idempotent) {
  execution_log log;
  log.RecordExecution("a", false);
  log.RecordExecution("b", true);
  log.RecordExecution("b", true);
  BOOST_TEST(log.DoubleExecutions() == 0u);
  log.RecordExecution("a", false);
  BOOST_TEST(log.DoubleExecutions() == 1u);
  BOOST_TEST(log.Total() == 4u);
}

BOOST_AUTO_TEST_CASE(is_slow_while_cold_and_collapses_under_too_much) {
  service_times times(ColdSettings(), 1, kStart);
  BOOST_TEST((times.Draw(3, kStart) == milliseconds{40}));
  BOOST_TEST(times.ColdOverloads() == 0u);
  BOOST_TEST((times.Draw(6, kStart) == milliseconds{160}));
  BOOST_TEST(times.ColdOverloads() == 1u);
  times.RecordDone();
  times.RecordDone();
  BOOST_TEST((times.Draw(6, kStart) == milliseconds{10}));
  times.TurnCold(kStart);
  BOOST_TEST(times.IsCold(kStart));
}

BOOST_AUTO_TEST_CASE(draws_the_same_times_from_the_same_seed_around_their_mean) {
  service_settings settings;
  settings.shape = service_shape::kLognormal;
  service_times times(settings, 7, kStart);
  service_times same_seed_times(settings, 7, kStart);
  std::chrono::duration<double, std::milli> sum{0};
  constexpr int kDraws = 20000;
  for (int i = 0; i < kDraws; ++i) {
    const auto drawn = times.Draw(1, kStart);
    BOOST_REQUIRE((drawn == same_seed_times.Draw(1, kStart)));
    sum += drawn;
  }
  BOOST_TEST(sum.count() / kDraws > 4.8);
  BOOST_TEST(sum.count() / kDraws < 5.2);
}

BOOST_AUTO_TEST_CASE(flaps_between_frozen_and_sound) {
  const auto change =
      ChangeFaults({}, R"({"freeze":true,"slowdown":3,"flap_on_ms":100,"flap_period_ms":400})");
  BOOST_REQUIRE(change);
  const instant period_start{std::chrono::hours{1}};
  BOOST_TEST(IsFrozen(change->faults, period_start + milliseconds{99}));
  BOOST_TEST(!IsFrozen(change->faults, period_start + milliseconds{100}));
  BOOST_TEST(SlowdownAt(change->faults, period_start) == 3.0);
  BOOST_TEST(SlowdownAt(change->faults, period_start + milliseconds{399}) == 1.0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway::standin
