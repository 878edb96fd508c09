// At most one target holds a key, in whatever order calls, expiries and restarts happen. Each rule
// of the protocol is necessary: without it the search finds a violation.
#include "lease_model.h"

#include <boost/test/unit_test.hpp>

namespace bulrushway::model {
namespace {

// Many owner changes, a restart and a replaced machine together have too many states, so each
// search covers one of them, completely.
constexpr limits kSearches[] = {{3, 0, false}, {2, 1, false}, {2, 0, true}};
// More states than any search visits.
constexpr size_t kMostStates = 4'000'000;

std::string Steps(const search_result& found) {
  std::string text;
  for (const std::string& step : found.trace) text += "\n  " + step;
  return text;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(ownership_by_leases)

BOOST_AUTO_TEST_CASE(has_one_holder_at_most_in_every_state) {
  for (const limits& bounds : kSearches) {
    const search_result found = Search(rule::kNone, bounds, kMostStates);
    BOOST_TEST_MESSAGE(int{bounds.changes}
                       << " changes of owner, " << int{bounds.restarts} << " restarts, machine "
                       << (bounds.move_machine ? "replaced: " : "stays: ") << found.states
                       << " states");
    BOOST_TEST(found.violation.empty(), found.violation << Steps(found));
    BOOST_TEST(found.complete);
  }
}

BOOST_AUTO_TEST_CASE(needs_each_of_its_rules) {
  for (int i = 1; i < static_cast<int>(rule::kCount); ++i) {
    const auto broken = static_cast<rule>(i);
    search_result found;
    for (const limits& bounds : kSearches) {
      if (found.violation.empty()) found = Search(broken, bounds, kMostStates);
    }
    BOOST_TEST_MESSAGE(Name(broken)
                       << ": " << found.states << " states, "
                       << (found.violation.empty() ? "MISSED" : found.violation) << Steps(found));
    BOOST_TEST(!found.violation.empty(), "without the rule \"" << Name(broken) << "\"");
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway::model
