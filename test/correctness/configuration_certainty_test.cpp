// A request without a route is answered 404 only by a configuration that may be taken for the
// newest one.

#include "configuration_certainty.h"

#include <boost/test/unit_test.hpp>
#include <ostream>

#include "store_era.h"

namespace bulrushway {
namespace {

using std::chrono::milliseconds;

constexpr instant kStart = instant{} + std::chrono::hours(1);

configuration_certainty After(milliseconds age, uint64_t version, uint64_t newest_reported,
                              uint64_t store_era) {
  return CertaintyOf(kStart + age, {version, newest_reported, store_era, kStart, true});
}

}  // namespace

static std::ostream& operator<<(std::ostream& out, configuration_certainty certainty) {
  return out << Name(certainty);
}

BOOST_AUTO_TEST_SUITE(the_configuration_in_force)

BOOST_AUTO_TEST_SUITE(of_a_store_that_has_never_returned)

BOOST_AUTO_TEST_CASE(is_the_newest_from_the_start) {
  BOOST_TEST(After(milliseconds(0), 5, 0, 1) == configuration_certainty::kNewest);
  BOOST_TEST(After(milliseconds(0), 5, 5, 1) == configuration_certainty::kNewest);
  BOOST_TEST_CONTEXT("also of a store without eras") {
    BOOST_TEST(After(milliseconds(0), 5, 0, 0) == configuration_certainty::kNewest);
  }
}

BOOST_AUTO_TEST_CASE(is_behind_while_a_peer_has_a_newer_one) {
  BOOST_TEST(After(milliseconds(0), 5, 6, 1) == configuration_certainty::kBehind);
  BOOST_TEST(After(std::chrono::hours(1), 5, 6, 1) == configuration_certainty::kBehind);
  BOOST_TEST(After(std::chrono::hours(1), 6, 6, 1) == configuration_certainty::kNewest);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_a_store_that_has_returned)

// Peers that started after the return report what the copy holds, too.
BOOST_AUTO_TEST_CASE(is_not_confirmed_by_peers_that_have_the_same_one) {
  BOOST_TEST(After(milliseconds(100), 5, 0, 2) == configuration_certainty::kUnconfirmed);
  BOOST_TEST(After(milliseconds(100), 5, 4, 2) == configuration_certainty::kUnconfirmed);
  BOOST_TEST(After(milliseconds(100), 5, 5, 2) == configuration_certainty::kUnconfirmed);
  BOOST_TEST(After(milliseconds(100), 5, 6, 2) == configuration_certainty::kBehind);
}

BOOST_AUTO_TEST_CASE(is_taken_for_the_newest_when_no_newer_one_appears_for_long) {
  BOOST_TEST(After(kRewriteTime - milliseconds(1), 5, 0, 2) ==
             configuration_certainty::kUnconfirmed);
  BOOST_TEST(After(kRewriteTime, 5, 0, 2) == configuration_certainty::kNewest);
  BOOST_TEST(After(kRewriteTime, 5, 5, 2) == configuration_certainty::kNewest);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
