// Open connections to the store fall silent for good, while new ones work. What does not arrive
// must not be taken for an unchanged table.

#include <fcntl.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "answering_server.h"
#include "base64.h"
#include "json_text.h"
#include "small_node_fleet.h"
#include "store_client.h"
#include "store_relay.h"
#include "table_follower.h"

namespace bulrushway {
namespace {

using json = nlohmann::json;
using std::chrono::milliseconds;
using testing::RunFor;
using testing::RunUntil;
using testing::small_node_fleet;
using testing::started_node;

// A change is in force within this time, less what a process needs to pass it on.
constexpr milliseconds kConfigurationLimit{2500};

// A store with one row, "op/config", of which each version is a change.
struct one_row_store {
  one_row_store() { BOOST_REQUIRE(server.Listen(address).has_value()); }

  void Write() {
    ++version;
    for (const auto& watch : std::exchange(watches, {})) Answer(watch);
  }
  /// All connections that are open fall silent.
  void Silence() { silent.insert(connections.begin(), connections.end()); }

  void OnCall(const std::shared_ptr<http_exchange>& call) {
    const uint16_t connection = call->Peer().port;
    connections.insert(connection);
    if (silent.contains(connection)) {
      held.push_back(call);
    } else if (call->request().target.find("rows-feed") != std::string::npos) {
      watches.push_back(call);
    } else {
      Answer(call);
    }
  }
  void Answer(const std::shared_ptr<http_exchange>& call) {
    if (silent.contains(call->Peer().port)) return held.push_back(call);
    const json row = {{"table", "op"},
                      {"part", ""},
                      {"key", "config"},
                      {"ver", version},
                      {"value", EncodeBase64("x")}};
    const json body = {{"rows", json::array({row})}, {"ver", version}, {"now_s", 1.5}};
    call->Reply({200, {}, body.dump()});
  }

  event_loop loop;
  socket_address address = testing::FreeAddress();
  uint64_t version = 1;
  std::set<uint16_t> connections;
  std::set<uint16_t> silent;
  std::vector<std::shared_ptr<http_exchange>> watches;
  std::vector<std::shared_ptr<http_exchange>> held;
  http_server server{
      loop, {}, [this](const std::shared_ptr<http_exchange>& call) { OnCall(call); }};
  platform::store_client client{loop, address};
  row_store rows = client.Rows();
};

struct followed_row : one_row_store {
  decision_log log{loop, "test", open("/dev/null", O_WRONLY | O_CLOEXEC)};
  uint64_t known = 0;
  table_follower follower{loop,
                          log,
                          rows,
                          "op",
                          milliseconds(1000),
                          [] { return milliseconds(10); },
                          [this](instant, instant, const std::vector<stored_row>& changes) {
                            for (const stored_row& row : changes) known = row.version;
                          }};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(a_feed_that_falls_silent)

BOOST_AUTO_TEST_CASE(delivers_a_change_in_time_all_the_same) {
  followed_row table;
  table.follower.Start(boot_clock::now());
  BOOST_REQUIRE(RunUntil(table.loop, [&] { return table.watches.size() == 1; }));
  BOOST_TEST(table.follower.Current(boot_clock::now()));
  table.Silence();
  const instant silenced = boot_clock::now();
  RunFor(table.loop, milliseconds(50));
  table.Write();
  BOOST_REQUIRE(RunUntil(table.loop, [&] { return table.known == 2; }));
  BOOST_TEST((boot_clock::now() - silenced < kConfigurationLimit));
}

BOOST_AUTO_TEST_CASE(is_not_called_current) {
  followed_row table;
  table.follower.Start(boot_clock::now());
  BOOST_REQUIRE(RunUntil(table.loop, [&] { return table.watches.size() == 1; }));
  table.server.Drain(boot_clock::now(), milliseconds(60'000));
  const instant now = boot_clock::now();
  BOOST_TEST(table.follower.Current(now + milliseconds(1000)));
  BOOST_TEST(!table.follower.Current(now + milliseconds(2100)));
}

BOOST_AUTO_TEST_CASE(costs_one_call_without_an_answer_however_many_connections_are_silent) {
  one_row_store store;
  int answers = 0;
  const auto read = [&] {
    store.rows.read("op", [&](instant, const result<row_snapshot>& rows) {
      answers += rows.has_value() ? 1 : 0;
    });
  };
  for (int i = 0; i < 4; ++i) read();
  BOOST_REQUIRE(RunUntil(store.loop, [&] { return answers == 4; }));
  BOOST_TEST(store.connections.size() == 4U);
  store.Silence();
  bool failed = false;
  store.rows.read("op",
                  [&](instant, const result<row_snapshot>& rows) { failed = !rows.has_value(); });
  BOOST_REQUIRE(RunUntil(store.loop, [&] { return failed; }));
  const instant before = boot_clock::now();
  read();
  BOOST_REQUIRE(RunUntil(store.loop, [&] { return answers == 5; }));
  BOOST_TEST((boot_clock::now() - before < milliseconds(500)));
}

BOOST_AUTO_TEST_CASE(ends_the_watches_on_other_connections) {
  one_row_store store;
  bool ended = false;
  store.rows.watch("members", 1, milliseconds(10'000),
                   [&](instant, const result<row_snapshot>& rows) { ended = !rows.has_value(); });
  BOOST_REQUIRE(RunUntil(store.loop, [&] { return store.watches.size() == 1; }));
  store.Silence();
  store.rows.watch("op", 1, milliseconds(0), [](instant, const result<row_snapshot>&) {});
  BOOST_REQUIRE(RunUntil(store.loop, [&] { return store.watches.size() == 2; }));
  BOOST_TEST(RunUntil(store.loop, [&] { return ended; }));
}

BOOST_AUTO_TEST_CASE(does_not_end_watches_that_began_after_the_unanswered_call) {
  one_row_store store;
  bool read = false;
  store.rows.read("op", [&](instant, const result<row_snapshot>&) { read = true; });
  BOOST_REQUIRE(RunUntil(store.loop, [&] { return read; }));
  store.Silence();
  bool unanswered = false;
  store.rows.read("op", [&](instant, const result<row_snapshot>&) { unanswered = true; });
  RunFor(store.loop, milliseconds(20));
  bool ended = false;
  store.rows.watch("members", 1, milliseconds(10'000),
                   [&](instant, const result<row_snapshot>&) { ended = true; });
  BOOST_REQUIRE(RunUntil(store.loop, [&] { return unanswered; }));
  RunFor(store.loop, milliseconds(100));
  BOOST_TEST(!ended);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(processes_whose_feeds_fall_silent)

BOOST_AUTO_TEST_CASE(put_a_new_configuration_into_force_in_time) {
  small_node_fleet fleet;
  fleet.Configure(1);
  started_node& a = fleet.Start("a");
  started_node& b = fleet.Start("b");
  BOOST_REQUIRE(fleet.Until([&] { return a.WasGiven(1) && b.WasGiven(1); }));
  // Until one of them follows the store and waits for changes.
  fleet.Until([] { return false; }, milliseconds(600));
  const instant silenced = boot_clock::now();
  fleet.store().SilenceWatches();
  fleet.Configure(2);
  BOOST_REQUIRE(fleet.Until([&] { return a.WasGiven(2) && b.WasGiven(2); }));
  BOOST_TEST((boot_clock::now() - silenced < kConfigurationLimit));
}

BOOST_AUTO_TEST_CASE(deny_no_route_that_the_store_may_have) {
  small_node_fleet fleet;
  fleet.Configure(1);
  started_node& a = fleet.Start("a");
  BOOST_REQUIRE(fleet.Until([&] { return fleet.StatusOf(a, "/2/") == 404; }));
  *a.reaches_store = false;
  BOOST_TEST(fleet.Until([&] { return fleet.StatusOf(a, "/2/") == 503; }, kConfigurationLimit));
  BOOST_TEST_CONTEXT("until the store answers again") {
    *a.reaches_store = true;
    BOOST_TEST(fleet.Until([&] { return fleet.StatusOf(a, "/2/") == 404; }));
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_table_that_peers_know_newer)

BOOST_AUTO_TEST_CASE(is_read_again_once_it_had_time_to_arrive) {
  constexpr instant kStart = instant{} + std::chrono::hours(1);
  constexpr milliseconds kDelay{300};
  relay_gap gap;
  const auto overdue = [&](milliseconds after, uint64_t own) {
    return gap.Overdue(kStart + after, {9}, {own}, kDelay).size();
  };
  BOOST_TEST(overdue(milliseconds(0), 8) == 0U);
  BOOST_TEST(overdue(milliseconds(200), 8) == 0U);
  BOOST_TEST(overdue(milliseconds(400), 8) == 1U);
  BOOST_TEST(overdue(milliseconds(500), 8) == 0U);
  BOOST_TEST(overdue(milliseconds(800), 8) == 1U);
  BOOST_TEST(overdue(milliseconds(900), 9) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
