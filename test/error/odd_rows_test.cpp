// Rows of another writer in the tables of the store, which are not as expected. Such a row is
// skipped and logged; the other rows and the versions that follow are still taken over.

#include <fcntl.h>

#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>
#include <vector>

#include "base64.h"
#include "http_server.h"
#include "store_client.h"
#include "table_follower.h"

namespace bulrushway {
namespace {

using std::chrono::milliseconds;

constexpr instant kStart = instant{} + std::chrono::hours(1);
const socket_address kStoreAddress{"127.0.0.1", 7396};

std::string Row(const std::string& key, uint64_t version, const std::string& value) {
  return R"({"table":"op","part":"","key":")" + key + R"(","ver":)" + std::to_string(version) +
         R"(,"value":")" + EncodeBase64(value) + R"("})";
}

// Answers each call of a store_client with the same body.
class one_answer_store {
 public:
  one_answer_store() { BOOST_REQUIRE(server_.Listen(kStoreAddress).has_value()); }

  result<row_snapshot> Read(const std::string& answer) {
    body_ = answer;
    std::optional<result<row_snapshot>> outcome;
    rows_.read("op", [&](instant, result<row_snapshot> read) {
      outcome = std::move(read);
      loop_.Stop();
    });
    timer stop(loop_, [this](instant) { loop_.Stop(); });
    stop.Once(std::chrono::seconds(10));
    loop_.Run();
    BOOST_REQUIRE(outcome.has_value());
    return *outcome;
  }
  // Commits a change of a row, and returns once the store has answered.
  void Commit(const row_key& id) {
    body_ = R"({"ver":7,"now_s":1.5})";
    rows_.commit({{{id, 0}}, {{id, "value"}}}, [this](instant, const auto&) { loop_.Stop(); });
    timer stop(loop_, [this](instant) { loop_.Stop(); });
    stop.Once(std::chrono::seconds(10));
    loop_.Run();
  }
  // Answers with the odd row between two others.
  result<row_snapshot> ReadWith(const std::string& odd_row) {
    return Read(R"({"rows":[)" + Row("a", 3, "first") + "," + odd_row + "," + Row("z", 5, "last") +
                R"(],"ver":7,"now_s":1.5})");
  }

 private:
  std::string body_;
  event_loop loop_;
  http_server server_{loop_, {}, [this](const std::shared_ptr<http_exchange>& exchange) {
                        exchange->Reply({200, {{"Store-Era", "1"}}, body_});
                      }};
  platform::store_client client_{loop_, kStoreAddress};
  row_store rows_ = client_.Rows();
};

const std::vector<std::pair<std::string, std::string>> kOddRows = {
    {"a value is missing", R"({"table":"op","part":"","key":"m","ver":4})"},
    {"a value is not a text", R"({"table":"op","part":"","key":"m","ver":4,"value":7})"},
    {"a value is not base64", R"({"table":"op","part":"","key":"m","ver":4,"value":"a*=="})"},
    {"a key is missing", R"({"table":"op","part":"","ver":4,"value":""})"},
    {"a key is not a text", R"({"table":"op","part":"","key":[],"ver":4,"value":""})"},
    {"a table is not a text", R"({"table":{},"part":"","key":"m","ver":4,"value":""})"},
    {"a part is not a text", R"({"table":"op","part":7,"key":"m","ver":4,"value":""})"},
    {"a version is missing", R"({"table":"op","part":"","key":"m","value":""})"},
    {"a version is negative", R"({"table":"op","part":"","key":"m","ver":-4,"value":""})"},
    {"a version is a fraction", R"({"table":"op","part":"","key":"m","ver":4.5,"value":""})"},
    {"a version is a text", R"({"table":"op","part":"","key":"m","ver":"4","value":""})"},
    {"a version is too large",
     R"({"table":"op","part":"","key":"m","ver":1099511627776,"value":""})"},
    {"a version is far too large",
     R"({"table":"op","part":"","key":"m","ver":18446744073709551615,"value":""})"},
    {"the row is a number", "7"},
    {"the row is null", "null"},
    {"the row is a list", "[[],{}]"}};

row_snapshot Snapshot(uint64_t version, const std::vector<std::pair<std::string, uint64_t>>& rows,
                      std::vector<unreadable_row> unreadable) {
  row_snapshot snapshot{{}, version, {}, std::move(unreadable)};
  for (const auto& [key, row_version] : rows) {
    snapshot.rows.push_back({{"op", key}, "value", row_version, false});
  }
  return snapshot;
}

// A follower whose store is read by hand.
struct followed_table {
  followed_table() {
    log.OnNotable(
        [this](std::string_view event, decision_log::fields) { logged.emplace_back(event); });
    store.read = [this](const std::string&, rows_callback done) { read = std::move(done); };
    store.watch = [](const std::string&, uint64_t, milliseconds, const rows_callback&) {};
    follower.Start(kStart);
  }
  void Answer(instant now, row_snapshot snapshot) {
    changed.clear();
    read(now, std::move(snapshot));
  }

  event_loop loop;
  decision_log log{loop, "test", open("/dev/null", O_WRONLY | O_CLOEXEC)};
  row_store store;
  rows_callback read;
  std::vector<std::string> changed;
  std::vector<std::string> logged;
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

}  // namespace

BOOST_AUTO_TEST_SUITE(odd_rows)

BOOST_AUTO_TEST_SUITE(in_an_answer_of_the_store)

BOOST_AUTO_TEST_CASE(leave_the_other_rows_readable) {
  one_answer_store store;
  for (const auto& [what, row] : kOddRows) {
    const auto snapshot = store.ReadWith(row);
    BOOST_TEST_CONTEXT(what) {
      BOOST_REQUIRE_MESSAGE(snapshot.has_value(), snapshot.error().message);
      BOOST_REQUIRE(snapshot->rows.size() == 2U);
      BOOST_TEST(snapshot->rows[0].value == "first");
      BOOST_TEST(snapshot->rows[1].value == "last");
      BOOST_TEST(snapshot->version == VersionOf(1, 7));
    }
  }
}

BOOST_AUTO_TEST_CASE(are_not_the_same_as_an_answer_that_cannot_be_read) {
  one_answer_store store;
  for (const char* answer :
       {R"({"rows":7,"ver":7,"now_s":1.5})", R"({"rows":{"a":1},"ver":7,"now_s":1.5})",
        R"({"ver":7,"now_s":1.5})", R"({"rows":[],"ver":"7","now_s":1.5})",
        R"({"rows":[],"ver":-7,"now_s":1.5})", R"({"rows":[],"ver":7.5,"now_s":1.5})",
        R"({"rows":[],"ver":1099511627776,"now_s":1.5})", R"({"rows":[],"ver":7,"now_s":"1"})",
        R"({"rows":[],"ver":7,"now_s":1e300})", R"({"rows":[],"ver":7,"now_s":-1})",
        R"({"rows":[],"ver":7})", R"({"rows":[],"ver":7,"now_s":1.5)", "[]", "7", "", "\xff\xfe"}) {
    const auto snapshot = store.Read(answer);
    BOOST_TEST(!snapshot.has_value(), "taken for an answer: " << answer);
  }
}

BOOST_AUTO_TEST_CASE(are_named_by_their_key_and_version_as_far_as_these_are_readable) {
  one_answer_store store;
  const auto snapshot = store.ReadWith(R"({"table":"op","part":"","key":"m","ver":4,"value":7})");
  BOOST_REQUIRE(snapshot.has_value());
  BOOST_REQUIRE(snapshot->unreadable.size() == 1U);
  BOOST_TEST(snapshot->unreadable[0].key == "m");
  BOOST_TEST(snapshot->unreadable[0].version == VersionOf(1, 4));
  BOOST_TEST(!snapshot->unreadable[0].reason.empty());
  BOOST_TEST(store.ReadWith("7")->unreadable[0].key.empty());
}

BOOST_AUTO_TEST_CASE(may_be_nested_deeply) {
  std::string nested;
  for (int i = 0; i < 1 << 20; ++i) nested += '[';
  one_answer_store store;
  const auto snapshot = store.Read(R"({"rows":)" + nested);
  BOOST_REQUIRE(!snapshot.has_value());
  BOOST_TEST(snapshot.error().message.find("nested") != std::string::npos,
             snapshot.error().message);
}

BOOST_AUTO_TEST_SUITE_END()

// Peers name nodes in msgpack, which takes any bytes. A change of the row of such a node used to
// end the process.
BOOST_AUTO_TEST_CASE(whose_names_are_no_text_do_not_keep_a_change_from_being_sent) {
  one_answer_store store;
  for (int byte = 0; byte < 256; ++byte) {
    const std::string name = "n" + std::string(1, static_cast<char>(byte)) + "1";
    BOOST_REQUIRE_NO_THROW(store.Commit({"leases", name}));
  }
}

BOOST_AUTO_TEST_SUITE(in_a_table_that_is_followed)

BOOST_AUTO_TEST_CASE(leave_in_force_what_they_replace) {
  followed_table table;
  table.Answer(kStart, Snapshot(7, {{"a", 3}, {"m", 4}}, {}));
  BOOST_TEST(table.changed == std::vector<std::string>({"a", "m"}));

  BOOST_TEST_CONTEXT("when the table is read again") {
    table.follower.Refresh(kStart);
    table.Answer(kStart, Snapshot(9, {{"a", 3}}, {{"m", 9, "the value is not base64"}}));
    BOOST_TEST(table.changed.empty());
    BOOST_TEST(table.logged.size() == 1U);
    BOOST_TEST(table.follower.version() == 9U);
  }
  BOOST_TEST_CONTEXT("with one log line for each version") {
    for (uint64_t version = 9; version < 12; ++version) {
      for (int i = 0; i < 3; ++i) {
        table.follower.Refresh(kStart);
        table.Answer(kStart, Snapshot(version, {{"a", 3}}, {{"m", version, "odd"}}));
      }
    }
    BOOST_TEST(table.logged.size() == 3U);
    BOOST_TEST(table.logged[0] == "row_unreadable");
  }
  BOOST_TEST_CONTEXT("until a readable one follows") {
    table.follower.Refresh(kStart);
    table.Answer(kStart, Snapshot(13, {{"a", 3}, {"m", 13}}, {}));
    BOOST_TEST(table.changed == std::vector<std::string>({"m"}));
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
