// A process that starts after the store has returned from a copy reads an older configuration than
// its peers run. It takes the newest one over from a peer, and until then denies no route.

#include "configuration_handover.h"

#include <boost/test/unit_test.hpp>
#include <set>
#include <string>

#include "peer_codec.h"
#include "small_node_fleet.h"

namespace bulrushway {
namespace {

using std::chrono::milliseconds;
using testing::small_node_fleet;
using testing::started_node;

// Node "a" runs configuration 2, and the store returns with configuration 1.
struct returned_fleet : small_node_fleet {
  returned_fleet() {
    Configure(2);
    BOOST_REQUIRE(Until([this] { return a.WasGiven(2); }));
    store().ReturnWith("1");
  }
  started_node& a = Start("a");
};

constexpr instant kStart = instant{} + std::chrono::hours(1);
constexpr milliseconds kInterval{200};

node_report Report(const std::string& node, const std::string& data_centre, uint64_t version) {
  node_report report;
  report.node = node;
  report.data_centre = data_centre;
  report.region = data_centre == "far" ? "other" : "r";
  report.configuration_version = version;
  return report;
}

// A search of a process in data centre "dc" with configuration 1, and the peers that it reaches.
struct searching_process {
  std::string Ask(milliseconds after) {
    return search.Ask(kStart + after, kInterval,
                      [this](const std::string& node) { return !cut.contains(node); });
  }
  configuration_search search{"self", "dc", "r"};
  std::set<std::string> cut;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(a_search_for_a_newer_configuration)

BOOST_AUTO_TEST_CASE(asks_the_nearest_peer_that_has_the_newest) {
  searching_process process;
  process.search.OnReport(Report("a", "far", 3), 1);
  process.search.OnReport(Report("b", "dc2", 3), 1);
  process.search.OnReport(Report("c", "dc", 3), 1);
  process.search.OnReport(Report("d", "dc", 2), 1);
  BOOST_TEST(process.Ask(milliseconds(0)) == "c");
}

BOOST_AUTO_TEST_CASE(asks_one_peer_at_a_time_and_another_when_it_does_not_answer) {
  searching_process process;
  process.search.OnReport(Report("a", "dc", 3), 1);
  process.search.OnReport(Report("b", "far", 3), 1);
  BOOST_TEST(process.Ask(milliseconds(0)) == "a");
  BOOST_TEST(process.Ask(milliseconds(500)).empty());
  BOOST_TEST(process.Ask(milliseconds(900)) == "b");
  BOOST_TEST(!process.search.OnAnswer("a"));
  BOOST_TEST(process.search.OnAnswer("b"));
  BOOST_TEST_CONTEXT("and the first one again after a refusal of the second") {
    BOOST_TEST(process.Ask(milliseconds(950)).empty());
    BOOST_TEST(process.Ask(milliseconds(1100)) == "a");
  }
}

BOOST_AUTO_TEST_CASE(asks_another_peer_at_once_where_one_is_not_reached) {
  searching_process process;
  process.search.OnReport(Report("a", "dc", 3), 1);
  process.search.OnReport(Report("b", "far", 3), 1);
  process.cut = {"a"};
  BOOST_TEST(process.Ask(milliseconds(0)) == "b");
}

BOOST_AUTO_TEST_CASE(asks_nobody_who_has_nothing_newer) {
  searching_process process;
  process.search.OnReport(Report("a", "dc", 1), 1);
  process.search.OnReport(Report("b", "dc", 3), 1);
  process.search.OnAdopted(3);
  BOOST_TEST(process.Ask(milliseconds(0)).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_process_that_is_asked_for_its_configuration)

BOOST_AUTO_TEST_CASE(answers_a_few_times_a_second_however_many_ask) {
  handover_limit limit;
  int answers = 0;
  for (int ms = 0; ms < 1000; ++ms) answers += limit.Take(kStart + milliseconds(ms)) ? 1 : 0;
  BOOST_TEST(answers == 4);
}

BOOST_AUTO_TEST_CASE(sends_a_large_row_whole) {
  const stored_row row{{"op", "config"}, std::string(600'000, 'x'), VersionOf(1, 130), false};
  const std::string frame = EncodeFrame(configuration_row_answer{"a", true, row});
  const auto decoded = DecodeFrame(frame.substr(kFrameHeaderSize), "a");
  BOOST_REQUIRE(decoded.has_value());
  const auto& answer = std::get<configuration_row_answer>(*decoded);
  BOOST_TEST(answer.found);
  BOOST_TEST(answer.row.value == row.value);
  BOOST_TEST(answer.row.version == row.version);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_process_that_starts_after_the_store_returned)

BOOST_AUTO_TEST_SUITE(with_an_older_configuration_than_its_peer)

BOOST_AUTO_TEST_CASE(takes_over_the_newest_one_from_the_peer) {
  returned_fleet fleet;
  started_node& b = fleet.Start("b");
  BOOST_REQUIRE(fleet.Until([&] { return b.WasGiven(1); }));
  BOOST_REQUIRE(fleet.Until([&] { return b.WasGiven(2); }));
  BOOST_TEST(b.given.back().source.relayed);
  BOOST_TEST(EraOf(b.given.back().source.version) == 1U);
  BOOST_TEST(fleet.StatusOf(b, "/2/") == 503);

  BOOST_TEST_CONTEXT("and later what the operators write to the store") {
    fleet.Configure(3);
    BOOST_TEST(fleet.Until([&] { return b.WasGiven(3); }));
    BOOST_TEST(fleet.StatusOf(b, "/3/") == 503);
  }
}

BOOST_AUTO_TEST_CASE(denies_no_route_before_it_has_the_newest_one) {
  returned_fleet fleet;
  started_node& b = fleet.Start("b");
  BOOST_REQUIRE(fleet.Until([&] { return b.WasGiven(1); }));
  while (!b.WasGiven(2)) {
    const int status = fleet.StatusOf(b, "/2/");
    BOOST_TEST_REQUIRE(status == 503);
  }
  BOOST_TEST_CONTEXT("and then denies one that is not there") {
    BOOST_TEST(fleet.Until([&] { return fleet.StatusOf(b, "/7/") == 404; }));
  }
}

BOOST_AUTO_TEST_CASE(rejects_no_headers_for_their_size_before_it_has_the_newest_one) {
  returned_fleet fleet;
  started_node& b = fleet.Start("b");
  BOOST_REQUIRE(fleet.Until([&] { return b.WasGiven(1); }));
  const std::string longer_than_allowed = "/" + std::string(17'000, 'x');
  while (!b.WasGiven(2)) {
    const int status = fleet.StatusOf(b, longer_than_allowed);
    BOOST_TEST_REQUIRE(status == 503);
  }
  BOOST_TEST_CONTEXT("and then rejects them") {
    BOOST_TEST(fleet.Until([&] { return fleet.StatusOf(b, longer_than_allowed) == 431; }));
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(without_reaching_the_store)

BOOST_AUTO_TEST_CASE(takes_over_the_configuration_of_a_peer_that_reaches_it) {
  small_node_fleet fleet;
  fleet.Configure(2);
  fleet.Announce("b");
  started_node& a = fleet.Start("a");
  BOOST_REQUIRE(fleet.Until([&] { return a.WasGiven(2); }));
  started_node& b = fleet.Start("b", false);
  BOOST_TEST(fleet.Until([&] { return b.WasGiven(2); }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
