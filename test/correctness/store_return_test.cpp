// The store returns from a copy that is some seconds old: what it acknowledged since is gone, and
// it gives out the same versions again.

#include <fcntl.h>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <optional>

#include "base64.h"
#include "http_server.h"
#include "membership.h"
#include "store_client.h"
#include "table_follower.h"

namespace bulrushway {
namespace {

using std::chrono::milliseconds;
using json = nlohmann::json;

constexpr instant kStart = instant{} + std::chrono::hours(1);

// Answers each call with the rows and versions that the test sets.
class scripted_store {
 public:
  scripted_store() { BOOST_REQUIRE(server_.Listen(kAddress).has_value()); }

  // Runs the event loop until `done` is set, but at most for a second.
  template <class Outcome>
  const Outcome& Await(const std::optional<Outcome>& done) {
    timer poll(loop_, [this, &done](instant) {
      if (done) loop_.Stop();
    });
    poll.Every(milliseconds(1));
    timer stop(loop_, [this](instant) { loop_.Stop(); });
    stop.Once(std::chrono::seconds(1));
    loop_.Run();
    BOOST_REQUIRE(done.has_value());
    return *done;
  }
  result<row_snapshot> Read() {
    std::optional<result<row_snapshot>> outcome;
    rows.read("op", [&](instant, result<row_snapshot> read) { outcome = std::move(read); });
    return Await(outcome);
  }
  result<row_snapshot> Watch(uint64_t after) {
    std::optional<result<row_snapshot>> outcome;
    rows.watch("op", after, milliseconds(1000),
               [&](instant, result<row_snapshot> read) { outcome = std::move(read); });
    return Await(outcome);
  }
  result<row_receipt> Commit(uint64_t expected) {
    std::optional<result<row_receipt>> outcome;
    rows.commit({{{{"op", "config"}, expected}}, {{{"op", "config"}, "new"}}},
                [&](instant, result<row_receipt> receipt) { outcome = std::move(receipt); });
    return Await(outcome);
  }

  uint64_t era = 1;
  uint64_t count = 0;
  int commits = 0;

 private:
  void Answer(const std::shared_ptr<http_exchange>& exchange) {
    if (exchange->request().method == "POST") ++commits;
    json row = {{"table", "op"}, {"part", ""}, {"key", "config"}, {"ver", count}};
    row["value"] = EncodeBase64("value");
    const json body = {{"rows", json::array({row})}, {"ver", count}, {"now_s", 1.5}};
    exchange->Reply({200, {{"Store-Era", std::to_string(era)}}, body.dump()});
  }

  const socket_address kAddress{"127.0.0.1", 7392};
  event_loop loop_;
  http_server server_{
      loop_, {}, [this](const std::shared_ptr<http_exchange>& exchange) { Answer(exchange); }};
  platform::store_client client_{loop_, kAddress};

 public:
  row_store rows = client_.Rows();
};

// A follower whose store is read and watched by hand.
struct followed_table {
  followed_table() {
    store.read = [this](const std::string&, rows_callback done) { read = std::move(done); };
    store.watch = [this](const std::string&, uint64_t after, milliseconds, const rows_callback&) {
      watched = after;
    };
    follower.Start(kStart);
  }
  void OnRead(instant now, uint64_t version, std::vector<std::pair<std::string, uint64_t>> rows) {
    row_snapshot snapshot{{}, version, {}};
    for (const auto& [key, row_version] : rows) {
      snapshot.rows.push_back({{"op", key}, "value", row_version, false});
    }
    changed.clear();
    read(now, snapshot);
  }

  event_loop loop;
  decision_log log{loop, "test", open("/dev/null", O_WRONLY | O_CLOEXEC)};
  row_store store;
  rows_callback read;
  uint64_t watched = 0;
  std::vector<std::string> changed;
  table_follower follower{loop,
                          log,
                          store,
                          "op",
                          milliseconds(1000),
                          [] { return milliseconds(1); },
                          [this](instant, instant, const std::vector<stored_row>& rows) {
                            for (const stored_row& row : rows) {
                              changed.push_back(row.id.key + (row.deleted ? " deleted" : ""));
                            }
                          }};
};

// The membership of a node "a" that has announced itself, and a peer "b".
struct announced_member {
  announced_member() {
    store.read = [this](const std::string& table, rows_callback done) {
      if (table == "members") read_members = std::move(done);
    };
    store.watch = [](const std::string&, uint64_t, milliseconds, const rows_callback&) {};
    store.commit = [this](const row_transaction& change, const receipt_callback& done) {
      if (change.writes[0].id.table == "members") ++announcements;
      done(kStart, row_receipt{VersionOf(1, 1), {}});
    };
    members.Start(kStart);
  }
  static member_record Peer(uint64_t process) {
    return {"b", {"10.0.0.2", 1}, "dc", "r", "lookup", process};
  }
  void KnowPeer(uint64_t process) {
    fleet.OnMember(Peer(process));
    fleet.OnReachable(kStart, "b", true);
    node_report report;
    report.node = "b";
    report.process = process;
    report.sequence = 1;
    fleet.OnReport(kStart, report);
  }
  // Delivers the member table with a row of the peer.
  void FeedPeer(instant now, uint64_t process) {
    members.RefreshMembers(now);
    const stored_row row{{"members", "b"}, EncodeMember(Peer(process)), VersionOf(2, process)};
    read_members(now, row_snapshot{{row}, VersionOf(2, process), {}});
  }

  event_loop loop;
  decision_log log{loop, "test", open("/dev/null", O_WRONLY | O_CLOEXEC)};
  metrics counters;
  row_store store;
  rows_callback read_members;
  int announcements = 0;
  fleet_view fleet{"a", "dc", "r"};
  membership members{loop,
                     log,
                     counters,
                     store,
                     fleet,
                     {{"a", {"10.0.0.1", 1}, "dc", "r", "lookup", 1}, "10.0.0.1"},
                     {[](instant) {}, [](instant) {}, [](instant, const key_map_change&) {}}};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(a_store_that_returns_from_a_copy)

BOOST_AUTO_TEST_CASE(gives_versions_that_are_later_than_all_before) {
  scripted_store store;
  store.count = 148;
  const auto before = store.Read();
  store.era = 2;
  store.count = 41;
  const auto after = store.Read();
  BOOST_TEST(after->version > before->version);
  BOOST_TEST(after->rows[0].version > before->rows[0].version);
}

BOOST_AUTO_TEST_CASE(is_not_asked_to_continue_from_a_version_that_it_gives_out_again) {
  scripted_store store;
  store.count = 41;
  const uint64_t before = store.Read()->version;
  store.era = 2;
  store.count = 45;
  const auto changes = store.Watch(before);
  BOOST_REQUIRE(!changes.has_value());
  BOOST_TEST((changes.error().kind == error_kind::kConflict));
}

BOOST_AUTO_TEST_SUITE(does_not_commit)

BOOST_AUTO_TEST_CASE(on_a_condition_from_before_although_its_count_holds_again) {
  scripted_store store;
  store.count = 41;
  const uint64_t before = store.Read()->rows[0].version;
  store.era = 2;
  store.Read();
  const auto receipt = store.Commit(before);
  BOOST_REQUIRE(!receipt.has_value());
  BOOST_TEST((receipt.error().kind == error_kind::kConflict));
  BOOST_TEST(store.commits == 0);
  BOOST_TEST(store.Commit(VersionOf(2, 41)).has_value());
}

BOOST_AUTO_TEST_CASE(for_certain_what_was_sent_before_and_arrives_after) {
  scripted_store store;
  store.count = 41;
  const uint64_t before = store.Read()->rows[0].version;
  store.era = 2;
  const auto receipt = store.Commit(before);
  BOOST_REQUIRE(!receipt.has_value());
  BOOST_TEST((receipt.error().kind == error_kind::kPeer));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(is_followed)

BOOST_AUTO_TEST_CASE(through_changes_whose_versions_were_given_out_before) {
  followed_table table;
  table.OnRead(kStart, VersionOf(1, 130), {{"config", VersionOf(1, 130)}});
  table.follower.Refresh(kStart);
  table.OnRead(kStart, VersionOf(2, 60), {{"config", VersionOf(2, 60)}});
  BOOST_TEST(table.changed.size() == 1U);
  BOOST_TEST(table.follower.version() == VersionOf(2, 60));
  BOOST_TEST(table.follower.LatestChange() == VersionOf(2, 60));
}

BOOST_AUTO_TEST_CASE(without_taking_rows_that_the_copy_lacks_for_deleted_at_once) {
  followed_table table;
  table.OnRead(kStart, VersionOf(1, 130),
               {{"config", VersionOf(1, 1)}, {"evacuate/a", VersionOf(1, 120)}});
  table.follower.Refresh(kStart);
  table.OnRead(kStart, VersionOf(2, 60), {{"config", VersionOf(2, 1)}});
  BOOST_TEST(table.changed == std::vector<std::string>{"config"});

  BOOST_TEST_CONTEXT("but when they are not written again") {
    table.follower.Refresh(kStart);
    table.OnRead(kStart + std::chrono::seconds(6), VersionOf(2, 61), {{"config", VersionOf(2, 1)}});
    BOOST_TEST(table.changed == std::vector<std::string>{"evacuate/a deleted"});
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(is_told_again)

BOOST_AUTO_TEST_CASE(of_the_members_that_run_whose_connections_stay_meanwhile) {
  announced_member self;
  BOOST_TEST(self.announcements == 1);
  self.members.OnStoreEra(kStart, 2, {});
  self.members.OnStoreReturned(kStart);
  BOOST_TEST(self.announcements == 2);

  BOOST_TEST_CONTEXT("and the copy's row of a member that is connected is not believed") {
    self.KnowPeer(2);
    self.FeedPeer(kStart + milliseconds(10), 1);
    BOOST_TEST(self.fleet.Find("b")->member.process == 2U);
    BOOST_TEST(self.fleet.Find("b")->reachable);
    self.FeedPeer(kStart + std::chrono::seconds(6), 3);
    BOOST_TEST(self.fleet.Find("b")->member.process == 3U);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
