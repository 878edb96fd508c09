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
constexpr size_t kMostSlowed = 3;
// Limit for the chosen policy: p99 under a fault relative to p99 without one.
constexpr double kAim = 1.5;
constexpr double kMostAdded = 0.05;

struct cell {
  double p99_ms = 0;
  double ratio = 0;
  double added = 0;
  size_t lost = 0;
};

// Measurements of one policy without a fault and for each fault at 1, 2 and 3 targets.
struct row {
  cell none;
  std::array<std::array<cell, kMostSlowed>, kFaults.size()> faults;

  const cell& At(size_t fault, size_t slowed) const { return faults.at(fault).at(slowed - 1); }
};

template <target_picker Picker>
cell Measure(const load_shape& shape, const std::vector<recorded_request>& load,
             const fault_plan& plan, const Picker& picker, bool hedged) {
  replay_result replayed = load_replay<Picker>(shape, plan, picker, hedged).Run(load);
  const std::chrono::duration<double, std::milli> p99 = replayed.Quantile(0.99);
  return {p99.count(), 1, replayed.AddedShare(), replayed.lost};
}

void Print(const std::string& name, const row& measured) {
  std::printf("%-22s p99 %6.1f ms |", name.c_str(), measured.none.p99_ms);
  for (const auto& fault : measured.faults) {
    for (const cell& each : fault) {
      std::printf(" %5.2f", each.ratio);
      if (each.lost > 0) std::printf("(%zu timed out)", each.lost);
    }
    std::printf(" |");
  }
  std::printf(" hedges, 3 targets slow 10x %.1f%%\n", 100 * measured.At(1, kMostSlowed).added);
}

template <target_picker Picker>
row Compare(const std::string& name, const load_shape& shape, size_t stride, const Picker& picker,
            bool hedged = false) {
  const std::vector<recorded_request> load = RecordLoad(shape);
  row measured;
  measured.none = Measure(shape, load, {}, picker, hedged);
  for (size_t fault = 0; fault < kFaults.size(); ++fault) {
    for (size_t slowed = 1; slowed <= kMostSlowed; ++slowed) {
      cell& each = measured.faults.at(fault).at(slowed - 1);
      each = Measure(shape, load, {kFaults.at(fault), slowed, stride}, picker, hedged);
      each.ratio = each.p99_ms / measured.none.p99_ms;
    }
  }
  Print(name, measured);
  return measured;
}

void PrintHead(const char* title) {
  std::printf(
      "\n%s\np99 to p99 without fault, 1, 2, 3 of 9 targets: slow 3x | slow 10x | frozen |"
      " flapping 10x\n",
      title);
}

void CheckNoWorse(const row& chosen, const row& other) {
  constexpr double kTolerance = 1.1;
  for (size_t fault = 0; fault < kFaults.size(); ++fault) {
    for (size_t slowed = 1; slowed <= kMostSlowed; ++slowed) {
      BOOST_TEST_CONTEXT("fault " << fault << " slowed " << slowed) {
        BOOST_TEST(chosen.At(fault, slowed).p99_ms <= kTolerance * other.At(fault, slowed).p99_ms);
        BOOST_TEST(chosen.At(fault, slowed).lost <= other.At(fault, slowed).lost);
      }
    }
  }
}

void CheckAims(const row& chosen) {
  for (size_t fault = 0; fault < kFaults.size(); ++fault) {
    for (size_t slowed = 1; slowed <= kMostSlowed; ++slowed) {
      BOOST_TEST_CONTEXT("fault " << fault << " slowed " << slowed) {
        BOOST_TEST(chosen.At(fault, slowed).ratio <= kAim);
        BOOST_TEST(chosen.At(fault, slowed).added <= kMostAdded);
        BOOST_TEST(chosen.At(fault, slowed).lost == 0U);
      }
    }
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(pickers_under_stragglers)

BOOST_AUTO_TEST_CASE(the_chosen_policy_meets_the_aim_and_no_simpler_one_beats_it) {
  const load_shape shape;
  PrintHead("equal slots, 60% load");
  Compare("random", shape, 1, random_picker{});
  Compare("round robin", shape, 1, round_robin_picker{});
  const row least = Compare("least requests", shape, 1, least_requests_picker{});
  const row least_hedged =
      Compare("least requests, hedged", shape, 1, least_requests_picker{}, true);
  const row two = Compare("two choices", shape, 1, two_choices_picker{});
  Compare("two choices scored", shape, 1, scored_picker(2));
  Compare("four choices scored", shape, 1, scored_picker());
  const row chosen = Compare("the same, hedged", shape, 1, scored_picker(), true);
  CheckAims(chosen);
  CheckNoWorse(chosen, least);
  CheckNoWorse(chosen, least_hedged);
  CheckNoWorse(chosen, two);
}

BOOST_AUTO_TEST_CASE(the_aim_holds_for_other_recordings) {
  PrintHead("equal slots, 60% load, other seeds");
  for (const uint64_t seed : {2, 3}) {
    load_shape shape;
    shape.seed = seed;
    CheckAims(Compare("seed " + std::to_string(seed), shape, 1, scored_picker(), true));
  }
}

BOOST_AUTO_TEST_CASE(two_of_nine_slow_targets_are_borne_at_three_quarters_load) {
  load_shape shape;
  shape.utilization = 0.75;
  PrintHead("equal slots, 75% load (three slow targets leave less than is offered)");
  const row chosen = Compare("chosen", shape, 1, scored_picker(), true);
  for (size_t slowed = 1; slowed <= 2; ++slowed) {
    BOOST_TEST(chosen.At(1, slowed).ratio <= kAim);
    BOOST_TEST(chosen.At(1, slowed).added <= kMostAdded);
  }
}

BOOST_AUTO_TEST_CASE(unequal_slots_are_filled_by_marginal_utility) {
  load_shape shape;
  shape.slots = {6, 18, 6, 18, 6, 18, 12, 12, 12};
  PrintHead("6, 12 and 18 slots, 60% load");
  const row least = Compare("least requests", shape, 1, least_requests_picker{});
  const row marginal = Compare("marginal utility", shape, 1, marginal_utility_picker{});
  const row chosen = Compare("chosen", shape, 1, scored_picker(), true);
  CheckAims(chosen);
  CheckNoWorse(chosen, least);
  CheckNoWorse(chosen, marginal);
}

BOOST_AUTO_TEST_CASE(three_regions_stay_local_while_one_target_of_each_is_slow) {
  load_shape shape;
  shape.region_size = 3;
  PrintHead("three regions of three targets, 60% load, slow targets in different regions");
  const row chosen = Compare("chosen", shape, 3, scored_picker(), true);
  BOOST_TEST(chosen.At(1, 2).ratio <= kAim);
  PrintHead("the same, slow targets in one region");
  Compare("chosen", shape, 1, scored_picker(), true);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway::test
