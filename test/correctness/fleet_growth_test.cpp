// The work of a process per second is bounded in a fleet of any size: reports to peers, and calls
// to the store when many rows change at once.
#include <fcntl.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>

#include "delayed_calls.h"
#include "owner_hints.h"
#include "peer_mesh.h"
#include "table_follower.h"

namespace bulrushway {
namespace {

using std::chrono::milliseconds;

// A store whose feed answers the pending watch as soon as a row is added.
struct busy_store {
  explicit busy_store(event_loop& loop) : calls(loop) {
    rows.read = [this](const std::string&, rows_callback done) {
      calls.CallAt(boot_clock::now(), [this, done = std::move(done)](instant now) {
        done(now, row_snapshot{{}, version, store_time{0}});
      });
    };
    rows.watch = [this](const std::string&, uint64_t after, milliseconds,
                        const rows_callback& done) {
      ++watch_calls;
      pending_watch = [this, after, done](instant now) {
        row_snapshot answer;
        answer.version = version;
        for (uint64_t v = after + 1; v <= version; ++v) {
          answer.rows.push_back({{"members", "node-" + std::to_string(v)}, "x", v, false});
        }
        done(now, std::move(answer));
      };
      if (version > after) AnswerWatch();
    };
  }

  void AddRow() {
    ++version;
    AnswerWatch();
  }

  void AnswerWatch() {
    if (!pending_watch) return;
    calls.CallAt(boot_clock::now(),
                 [answer = std::exchange(pending_watch, nullptr)](instant now) { answer(now); });
  }

  delayed_calls calls;
  row_store rows;
  uint64_t version = 0;
  int watch_calls = 0;
  std::function<void(instant)> pending_watch;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(in_a_fleet_of_any_size)

BOOST_AUTO_TEST_CASE(a_process_sends_a_bounded_number_of_reports) {
  for (const size_t peers : {5U, 14U, 78U, 299U, 2177U}) {
    for (const auto locality : {node_locality::kDataCentre, node_locality::kRemote}) {
      const milliseconds interval = ReportInterval(locality, peers);
      const double reports =
          static_cast<double>(peers) * 1000 / static_cast<double>(interval.count());
      BOOST_TEST(reports <= 81);
    }
  }
  // Small fleets report their load often.
  BOOST_TEST((ReportInterval(node_locality::kDataCentre, 14) == milliseconds{200}));
  // Load that is 40 ms away is used when nothing nearer has room, and answers carry it.
  BOOST_TEST((ReportInterval(node_locality::kRemote, 14) == milliseconds{2000}));
  BOOST_TEST((ReportInterval(node_locality::kRemote, 2177) > milliseconds{80'000}));
}

BOOST_AUTO_TEST_CASE(many_changes_at_once_cost_few_calls_of_the_store) {
  event_loop loop;
  decision_log log(loop, "n", open("/dev/null", O_WRONLY));
  busy_store store(loop);
  size_t received = 0;
  table_follower follower(
      loop, log, store.rows, "members", milliseconds{10'000}, [] { return milliseconds{50}; },
      [&received](instant, instant, const std::vector<stored_row>& changes) {
        received += changes.size();
      });
  follower.Start(boot_clock::now());
  constexpr uint64_t kRows = 79;
  timer write_timer(loop, [&store](instant) {
    if (store.version < kRows) store.AddRow();
  });
  write_timer.Every(milliseconds{2});
  timer stop_timer(loop, [&loop](instant) { loop.Stop(); });
  stop_timer.Once(milliseconds{600});
  loop.Run();
  BOOST_TEST(received == kRows);
  // The 79 rows arrive within about 160 ms; meanwhile the follower calls the store every 50 ms.
  BOOST_TEST(store.watch_calls < 20);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_key_that_has_moved)

BOOST_AUTO_TEST_CASE(is_requested_from_the_owner_that_the_former_owner_names) {
  owner_hints hints;
  BOOST_TEST(hints.Add("druck", 7, "b", {"a"}));
  BOOST_TEST(hints.Find("druck", 7) == "b");
  BOOST_TEST(hints.Find("druck", 8).empty());
  BOOST_TEST(hints.Find("auskunft", 7).empty());
}

BOOST_AUTO_TEST_CASE(is_not_sent_to_and_fro_between_nodes_that_name_each_other) {
  owner_hints hints;
  BOOST_TEST(hints.Add("druck", 7, "b", {"a"}));
  BOOST_TEST(!hints.Add("druck", 7, "a", {"a", "b"}));
  BOOST_TEST(!hints.Add("druck", 7, "", {"a"}));
}

BOOST_AUTO_TEST_CASE(is_looked_up_in_the_map_again_after_an_update_of_the_map) {
  owner_hints hints;
  BOOST_TEST(hints.Add("druck", 7, "b", {}));
  hints.Clear();
  BOOST_TEST(hints.Find("druck", 7).empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
