#include "custody.h"

#include <boost/test/unit_test.hpp>

#include "term_codec.h"

namespace bulrushway {
namespace {

// Two slices of each partition: 0 and 1 anywhere, 2 and 3 in lima, 4 and 5 in cusco.
const slice_layout kLayout{{"lima", "cusco"}, 2};

term_record Record() {
  term_record record;
  record.id = {"n0", 3};
  record.region = "lima";
  record.slices = {{0, 5}, {1, 7}, {2, 4}};
  record.heirs = {{{"h1", 1}, "lima", {"w1"}}, {{"h2", 1}, "cusco", {"w2"}}};
  return record;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(the_holder_of_a_slice)

BOOST_AUTO_TEST_SUITE(is_the_first_of_its_chain_that_is_not_gone)

BOOST_AUTO_TEST_CASE(the_node_itself_at_first) {
  const auto holder = HolderOf(kLayout, {}, Record(), 0);
  BOOST_REQUIRE(holder);
  BOOST_CHECK_EQUAL(holder->holder.term.node, "n0");
  BOOST_CHECK_EQUAL(holder->epoch, 5U);
}

BOOST_AUTO_TEST_CASE(then_heirs_turned_by_the_slice_with_growing_epochs) {
  term_outcomes outcomes;
  outcomes.NoteGone({"n0", 3});
  BOOST_CHECK_EQUAL(HolderOf(kLayout, outcomes, Record(), 0)->holder.term.node, "h1");
  BOOST_CHECK_EQUAL(HolderOf(kLayout, outcomes, Record(), 1)->holder.term.node, "h2");
  BOOST_CHECK_EQUAL(HolderOf(kLayout, outcomes, Record(), 1)->epoch, 8U);
  outcomes.NoteGone({"h2", 1});
  BOOST_CHECK_EQUAL(HolderOf(kLayout, outcomes, Record(), 1)->holder.term.node, "h1");
  BOOST_CHECK_EQUAL(HolderOf(kLayout, outcomes, Record(), 1)->epoch, 9U);
  outcomes.NoteGone({"h1", 1});
  BOOST_CHECK(!HolderOf(kLayout, outcomes, Record(), 1));
}

BOOST_AUTO_TEST_CASE(never_a_node_outside_the_home_region) {
  term_outcomes outcomes;
  outcomes.NoteGone({"n0", 3});
  outcomes.NoteGone({"h1", 1});
  BOOST_CHECK(!HolderOf(kLayout, outcomes, Record(), 2));
  BOOST_CHECK(HolderOf(kLayout, outcomes, Record(), 0));
}

BOOST_AUTO_TEST_CASE(the_receiver_of_a_gift_before_the_giver) {
  term_record record = Record();
  record.gifts = {{0, {{"m", 2}, "cusco", {}}}};
  BOOST_CHECK_EQUAL(HolderOf(kLayout, {}, record, 0)->holder.term.node, "m");
  term_outcomes outcomes;
  outcomes.NoteGone({"m", 2});
  BOOST_CHECK_EQUAL(HolderOf(kLayout, outcomes, record, 0)->holder.term.node, "n0");
  BOOST_CHECK_EQUAL(HolderOf(kLayout, outcomes, record, 0)->epoch, 6U);
}

BOOST_AUTO_TEST_CASE(a_late_heir_after_all_others) {
  term_record record = Record();
  record.late_heirs = {{{"late", 4}, "lima", {}}};
  term_outcomes outcomes;
  for (const char* node : {"h1", "h2"}) outcomes.NoteGone({node, 1});
  outcomes.NoteGone({"n0", 3});
  BOOST_CHECK_EQUAL(HolderOf(kLayout, outcomes, record, 0)->holder.term.node, "late");
  BOOST_CHECK_EQUAL(HolderOf(kLayout, outcomes, record, 0)->epoch, 8U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(goes_on_with_the_next_term_of_a_member)

BOOST_AUTO_TEST_CASE(in_the_same_place_when_that_does_not_list_the_slice) {
  term_outcomes outcomes;
  outcomes.NoteGone({"n0", 3});
  term_record next;
  next.id = {"h1", 2};
  outcomes.NoteSuperseded({"h1", 1}, next);
  const auto holder = HolderOf(kLayout, outcomes, Record(), 0);
  BOOST_CHECK_EQUAL(holder->holder.term.number, 2U);
  BOOST_CHECK(!holder->recorded_elsewhere);
  outcomes.NoteGone({"h1", 2});
  BOOST_CHECK_EQUAL(HolderOf(kLayout, outcomes, Record(), 0)->holder.term.node, "h2");
}

BOOST_AUTO_TEST_CASE(and_is_ruled_by_it_when_that_lists_the_slice) {
  term_outcomes outcomes;
  outcomes.NoteGone({"n0", 3});
  term_record next;
  next.id = {"h1", 2};
  next.slices = {{0, 6}};
  outcomes.NoteSuperseded({"h1", 1}, next);
  BOOST_CHECK(HolderOf(kLayout, outcomes, Record(), 0)->recorded_elsewhere);
}

BOOST_AUTO_TEST_CASE(but_not_by_an_earlier_listing_of_the_slice) {
  term_outcomes outcomes;
  outcomes.NoteGone({"n0", 3});
  term_record next;
  next.id = {"h1", 2};
  next.slices = {{0, 5}};
  outcomes.NoteSuperseded({"h1", 1}, next);
  BOOST_CHECK(!HolderOf(kLayout, outcomes, Record(), 0)->recorded_elsewhere);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(is_kept_in_rows)

BOOST_AUTO_TEST_CASE(that_are_read_as_they_were_written) {
  term_record record = Record();
  record.gifts = {{0, {{"m", 2}, "cusco", {"w"}}}};
  record.late_heirs = {{{"late", 4}, "lima", {}}};
  const auto read = DecodeTerm(EncodeTerm(record), "term/n0/3");
  BOOST_REQUIRE(read);
  BOOST_CHECK(*read == record);
}

BOOST_AUTO_TEST_CASE(and_refused_when_damaged_or_of_a_newer_format) {
  BOOST_CHECK(!DecodeTerm("{\"format\":1,\"node\":", "term/n0/3"));
  BOOST_CHECK(!DecodeTerm("{\"format\":1,\"node\":\"n0\"}", "term/n0/3"));
  const auto newer = DecodeTerm("{\"format\":2}", "term/n0/3");
  BOOST_REQUIRE(!newer);
  BOOST_CHECK_EQUAL(newer.error().peer, "term/n0/3");
  BOOST_CHECK(newer.error().message.find("format 2") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
