// The platform stand-in keeps the guarantees of the platform's table service.

#include "platform_store.h"

#include <boost/test/unit_test.hpp>

#include "platform_faults.h"

namespace bulrushway::standin {
namespace {

const instant kStart{std::chrono::hours{1}};

transaction Write(const std::string& operation, const std::string& key, uint64_t version,
                  const std::string& value) {
  return {operation, {{key, version}}, {{key, value}}};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(platform_table)

BOOST_AUTO_TEST_SUITE(a_transaction)

BOOST_AUTO_TEST_CASE(takes_effect_when_its_conditions_hold) {
  platform_store store;
  BOOST_TEST(!store.Commit(Write("1", "row", 0, "a"), kStart));
  BOOST_TEST(!store.Commit(Write("2", "row", 1, "b"), kStart));
  const auto rows = store.Rows("row");
  BOOST_REQUIRE_EQUAL(rows.size(), 1u);
  BOOST_TEST(rows[0].value == "b");
  BOOST_TEST(rows[0].version == 2u);
}

BOOST_AUTO_TEST_CASE(writes_nothing_when_one_condition_fails) {
  platform_store store;
  store.Commit(Write("1", "a", 0, "x"), kStart);
  const transaction both{"2", {{"b", 0}, {"a", 7}}, {{"a", "y"}, {"b", "y"}}};
  const auto conflict = store.Commit(both, kStart);
  BOOST_REQUIRE(conflict);
  BOOST_TEST(conflict->key == "a");
  BOOST_TEST(conflict->version == 1u);
  BOOST_TEST(store.Rows("").size() == 1u);
  BOOST_TEST(store.Rows("")[0].value == "x");
}

BOOST_AUTO_TEST_CASE(is_answered_with_its_first_outcome_when_repeated) {
  platform_store store;
  const transaction first = Write("1", "row", 0, "a");
  BOOST_TEST(!store.Commit(first, kStart));
  BOOST_TEST(!store.Commit(Write("2", "row", 1, "b"), kStart));
  BOOST_TEST(!store.Commit(first, kStart + std::chrono::minutes{9}));
  BOOST_TEST(store.Rows("row")[0].value == "b");
  const auto conflict = store.Commit(first, kStart + std::chrono::minutes{11});
  BOOST_REQUIRE(conflict);
  BOOST_TEST(conflict->version == 2u);
}

BOOST_AUTO_TEST_CASE(repeats_a_conflict_even_if_it_would_hold_now) {
  platform_store store;
  const transaction early = Write("1", "row", 1, "b");
  BOOST_TEST(store.Commit(early, kStart)->version == 0u);
  store.Commit(Write("2", "row", 0, "a"), kStart);
  BOOST_TEST(store.Commit(early, kStart)->version == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_row)

BOOST_AUTO_TEST_CASE(goes_on_counting_after_it_was_deleted) {
  platform_store store;
  store.Commit(Write("1", "row", 0, "a"), kStart);
  store.Commit({"2", {{"row", 1}}, {{"row", std::nullopt}}}, kStart);
  BOOST_TEST(store.Rows("").empty());
  BOOST_TEST(store.Commit(Write("3", "row", 1, "b"), kStart)->version == 0u);
  store.Commit(Write("4", "row", 0, "b"), kStart);
  BOOST_TEST(store.Rows("row")[0].version == 3u);
}

BOOST_AUTO_TEST_CASE(is_found_by_its_prefix_in_order) {
  platform_store store;
  for (const char* key : {"node/b", "nodes", "node/a", "m"}) {
    store.Commit(Write(key, key, 0, "x"), kStart);
  }
  const auto rows = store.Rows("node/");
  BOOST_REQUIRE_EQUAL(rows.size(), 2u);
  BOOST_TEST(rows[0].key == "node/a");
  BOOST_TEST(rows[1].key == "node/b");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(objects_never_change) {
  platform_store store;
  BOOST_TEST(store.Put("inventory", "abc"));
  BOOST_TEST(store.Put("inventory", "abc"));
  BOOST_TEST(!store.Put("inventory", "abd"));
  BOOST_TEST(*store.Get("inventory") == "abc");
  BOOST_TEST(store.Get("other") == nullptr);
}

BOOST_AUTO_TEST_CASE(state_survives_a_restart) {
  platform_store store;
  store.Commit(Write("1", "row", 0, "a"), kStart);
  store.Put("object", std::string("\0\xff", 2));
  platform_store restarted;
  BOOST_REQUIRE(restarted.Load(store.Save()));
  BOOST_TEST(restarted.Rows("")[0].version == 1u);
  BOOST_TEST(*restarted.Get("object") == std::string("\0\xff", 2));
  BOOST_TEST(!restarted.Load("{\"rows\":[{}]}"));
  BOOST_TEST(restarted.Rows("").size() == 1u);
}

BOOST_AUTO_TEST_CASE(faults_are_changed_by_name_and_a_misspelt_one_is_reported) {
  std::mt19937_64 random(1);
  auto faults = ChangeFaults({}, R"({"outage":"drop","slow_ms":40,"lose_next":1})");
  BOOST_REQUIRE(faults);
  BOOST_TEST((faults->outage == platform_outage::kDrop));
  BOOST_TEST(faults->answer_delay.count() == 40);
  BOOST_TEST(ShouldLoseAnswer(*faults, random));
  BOOST_TEST(!ShouldLoseAnswer(*faults, random));
  BOOST_TEST(!ChangeFaults({}, R"({"outtage":"drop"})"));
  BOOST_TEST(!ChangeFaults({}, R"({"outage":"gone"})"));
  BOOST_TEST(!ChangeFaults({}, "drop"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway::standin
