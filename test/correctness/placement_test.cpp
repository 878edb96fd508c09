#include "placement.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <numeric>
#include <set>

namespace bulrushway {
namespace {

const slice_layout kLayout{{"lima", "cusco"}, 100};

member Node(const std::string& name, const std::string& region, const std::string& data_centre,
            const std::string& rack, std::vector<uint32_t> slices = {0, 0, 0}) {
  member made;
  made.node = name;
  made.term = {name, 1};
  made.first_number = 1;
  made.service = "druck";
  made.region = region;
  made.data_centre = data_centre;
  made.rack = rack;
  made.partition_slices = std::move(slices);
  return made;
}

ownership_settings Self() {
  ownership_settings self;
  self.node = "self";
  self.service = "druck";
  self.region = "lima";
  self.data_centre = "l1";
  self.rack = "a";
  self.layout = kLayout;
  return self;
}

std::vector<member> Fleet() {
  return {Node("same_rack", "lima", "l1", "a"), Node("other_rack", "lima", "l1", "b"),
          Node("sister_1", "lima", "l2", "a"),  Node("sister_2", "lima", "l2", "b"),
          Node("far_1", "cusco", "c1", "a"),    Node("far_2", "cusco", "c2", "a")};
}

bool Has(const std::vector<node_name>& names, const node_name& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(placement)

BOOST_AUTO_TEST_SUITE(of_witnesses)

BOOST_AUTO_TEST_CASE(spreads_over_rack_data_centre_and_region) {
  const auto chosen = ChooseWitnesses(Self(), Fleet(), {});
  BOOST_REQUIRE_EQUAL(chosen.size(), 3U);
  BOOST_CHECK(Has(chosen, "other_rack"));
  BOOST_CHECK(Has(chosen, "sister_1") || Has(chosen, "sister_2"));
  BOOST_CHECK(Has(chosen, "far_1") || Has(chosen, "far_2"));
}

BOOST_AUTO_TEST_CASE(keeps_witnesses_that_are_as_good_as_others) {
  const std::vector<node_name> current = {"far_2", "other_rack", "sister_2"};
  BOOST_CHECK(ChooseWitnesses(Self(), Fleet(), current) == current);
}

BOOST_AUTO_TEST_CASE(makes_do_with_fewer_nodes) {
  BOOST_CHECK(ChooseWitnesses(Self(), {}, {}) == std::vector<node_name>{"self"});
  const std::vector<member> two = {Node("a", "lima", "l1", "a"), Node("b", "lima", "l1", "a")};
  const std::vector<node_name> expected = {"a", "b", "self"};
  BOOST_CHECK(ChooseWitnesses(Self(), two, {}) == expected);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_heirs)

BOOST_AUTO_TEST_CASE(puts_two_in_the_region_and_none_in_the_own_rack) {
  const auto heirs = ChooseHeirs(Self(), Fleet(), {});
  BOOST_REQUIRE_EQUAL(heirs.size(), 4U);
  const auto in_region = std::count_if(heirs.begin(), heirs.end(),
                                       [](const heir& entry) { return entry.region == "lima"; });
  BOOST_CHECK_GE(in_region, 2);
  for (const heir& entry : heirs) BOOST_CHECK_NE(entry.term.node, "same_rack");
}

BOOST_AUTO_TEST_CASE(leaves_out_leaving_nodes_and_mere_witnesses) {
  std::vector<member> fleet = Fleet();
  fleet[1].leaving = true;
  fleet[2].owner_capable = false;
  for (const heir& entry : ChooseHeirs(Self(), fleet, {})) {
    BOOST_CHECK_NE(entry.term.node, "other_rack");
    BOOST_CHECK_NE(entry.term.node, "sister_1");
  }
}

BOOST_AUTO_TEST_CASE(counts_another_term_of_the_same_process_as_the_same_heir) {
  std::vector<member> fleet = Fleet();
  const auto heirs = ChooseHeirs(Self(), fleet, {});
  for (member& node : fleet) node.term.number = 9;
  BOOST_CHECK(SameProcesses(ChooseHeirs(Self(), fleet, heirs), heirs, fleet));
  for (member& node : fleet) node.first_number = 9;
  BOOST_CHECK(!SameProcesses(ChooseHeirs(Self(), fleet, heirs), heirs, fleet));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_slices)

BOOST_AUTO_TEST_CASE(asks_for_the_share_of_each_partition_and_no_more) {
  const std::vector<member> all = {Node("l", "lima", "l1", "a", {0, 100, 0}),
                                   Node("c", "cusco", "c1", "a", {100, 0, 100}),
                                   Node("new", "cusco", "c1", "b")};
  const auto donors = ChooseDonors(kLayout, all, all[2]);
  BOOST_REQUIRE_EQUAL(donors.size(), 1U);
  BOOST_CHECK_EQUAL(donors[0].donor, "c");
  const std::vector<uint32_t> expected = {33, 0, 50};
  BOOST_CHECK(donors[0].partition_counts == expected);
}

BOOST_AUTO_TEST_CASE(leaves_a_balanced_fleet_alone) {
  const std::vector<member> all = {Node("a", "lima", "l1", "a", {50, 50, 0}),
                                   Node("b", "lima", "l1", "b", {50, 50, 0})};
  BOOST_CHECK(ChooseDonors(kLayout, all, all[0]).empty());
}

BOOST_AUTO_TEST_CASE(follows_the_weights) {
  std::vector<member> all = {Node("a", "lima", "l1", "a"), Node("b", "lima", "l1", "b")};
  all[0].weight = 3;
  BOOST_CHECK_EQUAL(FairShare(kLayout, all, all[0], 0), 75);
  BOOST_CHECK_EQUAL(FairShare(kLayout, all, all[1], 0), 25);
  BOOST_CHECK_EQUAL(FairShare(kLayout, all, all[1], 2), 0);
}

BOOST_AUTO_TEST_CASE(gives_a_leaving_nodes_slices_within_their_regions) {
  const std::vector<member> all = {Node("a", "lima", "l1", "a"), Node("b", "lima", "l1", "b"),
                                   Node("c", "cusco", "c1", "a")};
  std::vector<slice_number> slices(300);
  std::iota(slices.begin(), slices.end(), 0);
  const auto gifts = ChooseReceivers(kLayout, all, "a", slices);
  std::set<slice_number> given;
  for (const slice_gift& gift : gifts) {
    BOOST_CHECK(SliceAllowed(kLayout, gift.slice, gift.receiver.region));
    BOOST_CHECK_NE(gift.receiver.term.node, "a");
    given.insert(gift.slice);
  }
  BOOST_CHECK_EQUAL(given.size(), 300U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
