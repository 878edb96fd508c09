// A process finds the owner of a slice by hearsay, and is not misled by what dead processes said.
#include "directory.h"

#include <boost/test/unit_test.hpp>

namespace bulrushway {
namespace {

announcement Node(const std::string& name, uint64_t first_term, uint64_t term) {
  announcement node;
  node.node = name;
  node.service = "druck";
  node.first_term = first_term;
  node.term = term;
  return node;
}

struct two_nodes {
  two_nodes() {
    known.OnAnnouncement(Node("a", 1, 2));
    known.OnAnnouncement(Node("b", 1, 1));
    known.OnClaim({"a", "druck", 1, 0, {{3, 2, 10}}});
  }
  directory known;
};

BOOST_FIXTURE_TEST_SUITE(the_owner_of_a_slice, two_nodes)

BOOST_AUTO_TEST_CASE(is_the_node_that_claims_it) {
  BOOST_TEST(known.OwnerOf("druck", 3) == "a");
  BOOST_TEST(known.OwnerOf("druck", 5).empty());
  BOOST_TEST(known.OwnerOf("auskunft", 3).empty());
}

BOOST_AUTO_TEST_CASE(is_the_one_with_the_higher_epoch_in_whatever_order_claims_come) {
  known.OnClaim({"b", "druck", 1, 0, {{3, 1, 11}}});
  BOOST_TEST(known.OwnerOf("druck", 3) == "b");
  known.OnClaim({"a", "druck", 1, 0, {{3, 2, 10}}});
  BOOST_TEST(known.OwnerOf("druck", 3) == "b");
  BOOST_TEST(known.OwnedSlices("druck") == 2U);
}

BOOST_AUTO_TEST_CASE(is_nobody_once_its_term_is_gone) {
  known.OnGone("a", 2);
  BOOST_TEST(known.OwnerOf("druck", 3).empty());
  BOOST_TEST(!known.Alive("a"));
  BOOST_TEST(known.Live("druck").size() == 1U);
}

BOOST_AUTO_TEST_CASE(is_nobody_when_only_an_earlier_process_of_the_node_claimed_it) {
  known.OnAnnouncement(Node("a", 7, 7));
  BOOST_TEST(known.Alive("a"));
  BOOST_TEST(known.OwnerOf("druck", 3).empty());
}

BOOST_AUTO_TEST_CASE(changes_when_the_node_gives_the_slice_up) {
  known.OnClaim({"a", "druck", 1, 0, {{4, 1, 10}}});
  BOOST_TEST(known.OwnerOf("druck", 3).empty());
  BOOST_TEST(known.OwnerOf("druck", 4) == "a");
}

BOOST_AUTO_TEST_CASE(is_found_whatever_the_number_of_claims) {
  std::vector<std::pair<uint32_t, uint64_t>> slices;
  for (uint32_t slice = 0; slice < 1000; ++slice) slices.emplace_back(slice, 20 + slice % 2);
  for (const auto& claim : MakeClaims("b", "druck", 1, slices, 0)) {
    BOOST_TEST(Encode(claim).size() < 1100U);
    known.OnClaim(claim);
  }
  BOOST_TEST(known.OwnedSlices("druck") == 1000U);
  for (const auto& claim : MakeClaims("b", "druck", 1, {}, 10)) known.OnClaim(claim);
  BOOST_TEST(known.OwnedSlices("druck") == 0U);
}

BOOST_AUTO_TEST_CASE(may_be_hinted_until_it_claims) {
  known.OnHint("druck", 3, "b");
  BOOST_TEST(known.OwnerOf("druck", 3) == "b");
  known.OnHint("druck", 3, "nobody");
  BOOST_TEST(known.OwnerOf("druck", 3) == "b");
  known.OnClaim({"a", "druck", 1, 1, {{3, 1, 12}}});
  BOOST_TEST(known.OwnerOf("druck", 3) == "a");
}

BOOST_AUTO_TEST_CASE(is_not_lost_when_slices_shift_between_the_parts_of_a_claim) {
  std::vector<std::pair<uint32_t, uint64_t>> slices;
  for (uint32_t slice = 0; slice < 400; ++slice) slices.emplace_back(slice, 20 + slice % 2);
  for (const auto& claim : MakeClaims("b", "druck", 1, slices, 0)) known.OnClaim(claim);
  slices.erase(slices.begin(), slices.begin() + 100);
  for (const auto& claim : MakeClaims("b", "druck", 1, slices, 4)) known.OnClaim(claim);
  BOOST_TEST(known.OwnedSlices("druck") == 300U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bulrushway
