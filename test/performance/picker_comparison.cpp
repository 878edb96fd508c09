// Compares the pickers on the same load, with targets that turn slow, freeze or flap.
#include <array>
#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <string>

#include "recorded_load.h"

namespace bulrushway::test {
namespace {

constexpr std::array kFaults = {fault_kind::kSlow3, fault_kind::kSlow10, fault_kind::kFrozen,
                                fault_kind::kFlapping};
constexpr size_t kMaxSlowed = 3;
// Limit for the chosen policy: p99 under a fault relative to p99 without one.
constexpr double kMaxP99Ratio = 1.5;
constexpr double kMaxHedgeShare = 0.05;

struct measurement {
  double p99_ms = 0;
  double ratio = 0;
  double hedge_share = 0;
  size_t timed_out = 0;
};

// Measurements of one policy without a fault and for each fault at 1, 2 and 3 targets.
struct policy_result {
  measurement no_fault;
  std::array<std::array<measurement, kMaxSlowed>, kFaults.size()> faults;

  const measurement& At(size_t fault, size_t slowed) const {
    return faults.at(fault).at(slowed - 1);
  }
};

template <target_picker Picker>
measurement Measure(const load_shape& shape, const std::vector<recorded_request>& load,
                    const fault_plan& plan, const Picker& picker, bool hedged) {
  replay_result replayed = load_replay<Picker>(shape, plan, picker, hedged).Run(load);
  const std::chrono::duration<double, std::milli> p99 = replayed.Quantile(0.99);
  return {p99.count(), 1, replayed.HedgeShare(), replayed.timed_out};
}

void Print(const std::string& name, const policy_result& measured) {
  std::printf("%-22s p99 %6.1f ms |", name.c_str(), measured.no_fault.p99_ms);
  for (const auto& fault : measured.faults) {
    for (const measurement& each : fault) {
      std::printf(" %5.2f", each.ratio);
      if (each.timed_out > 0) std::printf("(%zu timed out)", each.timed_out);
    }
    std::printf(" |");
  }
  std::printf(" hedges, 3 targets slow 10x %.1f%%\n", 100 * measured.At(1, kMaxSlowed).hedge_share);
}

template <target_picker Picker>
policy_result Compare(const std::string& name, const load_shape& shape, size_t stride,
                      const Picker& picker, bool hedged = false) {
  const std::vector<recorded_request> load = RecordLoad(shape);
  policy_result measured;
  measured.no_fault = Measure(shape, load, {}, picker, hedged);
  for (size_t fault = 0; fault < kFaults.size(); ++fault) {
    for (size_t slowed = 1; slowed <= kMaxSlowed; ++slowed) {
      measurement& each = measured.faults.at(fault).at(slowed - 1);
      each = Measure(shape, load, {kFaults.at(fault), slowed, stride}, picker, hedged);
      each.ratio = each.p99_ms / measured.no_fault.p99_ms;
    }
  }
  Print(name, measured);
  return measured;
}

void PrintHeader(const char* title) {
  std::printf(
      "\n%s\np99 to p99 without fault, 1, 2, 3 of 9 targets: slow 3x | slow 10x | frozen |"
      " flapping 10x\n",
      title);
}

void CheckNoWorse(const policy_result& chosen, const policy_result& other) {
  constexpr double kTolerance = 1.1;
  for (size_t fault = 0; fault < kFaults.size(); ++fault) {
    for (size_t slowed = 1; slowed <= kMaxSlowed; ++slowed) {
      BOOST_TEST_CONTEXT("fault " << fault << " slowed " << slowed) {
        BOOST_TEST(chosen.At(fault, slowed).p99_ms <= kTolerance * other.At(fault, slowed).p99_ms);
        BOOST_TEST(chosen.At(fault, slowed).timed_out <= other.At(fault, slowed).timed_out);
      }
    }
  }
}

void CheckLimits(const policy_result& chosen) {
  for (size_t fault = 0; fault < kFaults.size(); ++fault) {
    for (size_t slowed = 1; slowed <= kMaxSlowed; ++slowed) {
      BOOST_TEST_CONTEXT("fault " << fault << " slowed " << slowed) {
        BOOST_TEST(chosen.At(fault, slowed).ratio <= kMaxP99Ratio);
        BOOST_TEST(chosen.At(fault, slowed).hedge_share <= kMaxHedgeShare);
        BOOST_TEST(chosen.At(fault, slowed).timed_out == 0U);
      }
    }
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(pickers_under_stragglers)

BOOST_AUTO_TEST_CASE(the_chosen_policy_meets_the_aim_and_no_simpler_one_beats_it) {
  const load_shape shape;
  PrintHeader("equal slots, 60% load");
  Compare("random", shape, 1, random_picker{});
  Compare("round robin", shape, 1, round_robin_picker{});
  const policy_result least_requests = Compare("least requests", shape, 1, least_requests_picker{});
  const policy_result least_hedged =
      Compare("least requests, hedged", shape, 1, least_requests_picker{}, true);
  const policy_result two_choices = Compare("two choices", shape, 1, two_choices_picker{});
  Compare("two choices scored", shape, 1, scored_picker(2));
  Compare("four choices scored", shape, 1, scored_picker());
  const policy_result chosen = Compare("the same, hedged", shape, 1, scored_picker(), true);
  CheckLimits(chosen);
  CheckNoWorse(chosen, least_requests);
  CheckNoWorse(chosen, least_hedged);
  CheckNoWorse(chosen, two_choices);
}

BOOST_AUTO_TEST_CASE(the_aim_holds_for_other_recordings) {
  PrintHeader("equal slots, 60% load, other seeds");
  for (const uint64_t seed : {2, 3}) {
    load_shape shape;
    shape.seed = seed;
    CheckLimits(Compare("seed " + std::to_string(seed), shape, 1, scored_picker(), true));
  }
}

BOOST_AUTO_TEST_CASE(two_of_nine_slow_targets_are_borne_at_three_quarters_load) {
  load_shape shape;
  shape.utilization = 0.75;
  PrintHeader("equal slots, 75% load (three slow targets leave less than is offered)");
  const policy_result chosen = Compare("chosen", shape, 1, scored_picker(), true);
  for (size_t slowed = 1; slowed <= 2; ++slowed) {
    BOOST_TEST(chosen.At(1, slowed).ratio <= kMaxP99Ratio);
    BOOST_TEST(chosen.At(1, slowed).hedge_share <= kMaxHedgeShare);
  }
}

BOOST_AUTO_TEST_CASE(unequal_slots_are_filled_by_marginal_utility) {
  load_shape shape;
  shape.slots = {6, 18, 6, 18, 6, 18, 12, 12, 12};
  PrintHeader("6, 12 and 18 slots, 60% load");
  const policy_result least_requests = Compare("least requests", shape, 1, least_requests_picker{});
  const policy_result marginal = Compare("marginal utility", shape, 1, marginal_utility_picker{});
  const policy_result chosen = Compare("chosen", shape, 1, scored_picker(), true);
  CheckLimits(chosen);
  CheckNoWorse(chosen, least_requests);
  CheckNoWorse(chosen, marginal);
}

BOOST_AUTO_TEST_CASE(three_regions_stay_local_while_one_target_of_each_is_slow) {
  load_shape shape;
  shape.region_size = 3;
  PrintHeader("three regions of three targets, 60% load, slow targets in different regions");
  const policy_result chosen = Compare("chosen", shape, 3, scored_picker(), true);
  BOOST_TEST(chosen.At(1, 2).ratio <= kMaxP99Ratio);
  PrintHeader("the same, slow targets in one region");
  Compare("chosen", shape, 1, scored_picker(), true);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway::test
