// At most one target holds a key, in whatever order calls, expiries and restarts happen. Each rule
// of the protocol is necessary: without it the search finds a violation.
#include "lease_model.h"

#include <boost/test/unit_test.hpp>

namespace bulrushway::model {
namespace {

// Many owner changes, a restart and a replaced machine together have too many states, so each
// search covers one of them, completely.
constexpr limits kSearchLimits[] = {{3, 0, false}, {2, 1, false}, {2, 0, true}};
// More states than any search visits.
constexpr size_t kMaxStates = 4'000'000;

std::string FormatTrace(const search_result& result) {
  std::string text;
  for (const std::string& step : result.trace) text += "\n  " + step;
  return text;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(ownership_by_leases)

BOOST_AUTO_TEST_CASE(has_one_holder_at_most_in_every_state) {
  for (const limits& bounds : kSearchLimits) {
    const search_result result = Search(rule::kNone, bounds, kMaxStates);
    BOOST_TEST_MESSAGE(int{bounds.changes}
                       << " changes of owner, " << int{bounds.restarts} << " restarts, machine "
                       << (bounds.move_machine ? "replaced: " : "stays: ") << result.states
                       << " states");
    BOOST_TEST(result.violation.empty(), result.violation << FormatTrace(result));
    BOOST_TEST(result.complete);
  }
}

BOOST_AUTO_TEST_CASE(needs_each_of_its_rules) {
  for (int i = 1; i < static_cast<int>(rule::kCount); ++i) {
    const auto broken = static_cast<rule>(i);
    search_result result;
    for (const limits& bounds : kSearchLimits) {
      if (result.violation.empty()) result = Search(broken, bounds, kMaxStates);
    }
    BOOST_TEST_MESSAGE(Name(broken) << ": " << result.states << " states, "
                                    << (result.violation.empty() ? "MISSED" : result.violation)
                                    << FormatTrace(result));
    BOOST_TEST(!result.violation.empty(), "without the rule \"" << Name(broken) << "\"");
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway::model
