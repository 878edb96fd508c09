#include "store_relay.h"

#include <algorithm>

namespace bulrushway {
namespace {

using std::chrono::milliseconds;

}  // namespace

row_store ObserveStore(const row_store& store, store_contact& contact, metrics& counters) {
  const auto count = [&counters](const char* call, const std::string& table) {
    counters.Counter("bulrushway_store_calls", {{"call", call}, {"table", table}})++;
  };
  const auto record = [&contact](instant now, const auto& outcome) {
    if (outcome) contact.OnEra(now, EraOf(outcome->version));
  };
  // A failed condition is an answer.
  const auto count_failure = [&counters](const char* call, const std::string& table,
                                         const auto& outcome) {
    if (outcome || outcome.error().kind == error_kind::kConflict) return;
    counters.Counter("bulrushway_store_calls_failed", {{"call", call}, {"table", table}})++;
  };
  row_store recording = store;
  recording.read = [read = store.read, record, count, count_failure](const std::string& table,
                                                                     rows_callback done) {
    count("read", table);
    read(table, [table, record, count_failure, done = std::move(done)](
                    instant now, result<row_snapshot> outcome) {
      record(now, outcome);
      count_failure("read", table, outcome);
      done(now, std::move(outcome));
    });
  };
  recording.watch = [watch = store.watch, count, count_failure](const std::string& table,
                                                                uint64_t after, milliseconds wait,
                                                                rows_callback done) {
    count("watch", table);
    watch(
        table, after, wait,
        [table, count_failure, done = std::move(done)](instant now, result<row_snapshot> outcome) {
          count_failure("watch", table, outcome);
          done(now, std::move(outcome));
        });
  };
  recording.commit = [commit = store.commit, record, count, count_failure](
                         const row_transaction& change, receipt_callback done) {
    const std::string table = change.writes.empty() ? "-" : change.writes.front().id.table;
    count("commit", table);
    commit(change, [table, record, count_failure, done = std::move(done)](
                       instant now, result<row_receipt> outcome) {
      record(now, outcome);
      count_failure("commit", table, outcome);
      done(now, std::move(outcome));
    });
  };
  return recording;
}

const node_state* ChooseFollower(instant now, const fleet_view& fleet,
                                 milliseconds max_report_age) {
  for (const auto& [name, node] : fleet.nodes()) {
    if (name >= fleet.self()) break;
    const bool follows = node.locality == node_locality::kDataCentre && node.reachable &&
                         node.reported && !node.report.stopping && node.report.follows_store &&
                         now - node.report_received < max_report_age;
    if (follows) return &node;
  }
  return nullptr;
}

size_t NeighboursBefore(const fleet_view& fleet) {
  size_t before = 0;
  for (const auto& [name, node] : fleet.nodes()) {
    if (name >= fleet.self()) break;
    const bool asks = node.locality == node_locality::kDataCentre && node.reachable &&
                      node.reported && !node.report.stopping;
    if (asks) ++before;
  }
  return before;
}

std::vector<size_t> relay_gap::Overdue(instant now, const std::vector<uint64_t>& reported,
                                       const std::vector<uint64_t>& own, milliseconds delay) {
  std::vector<size_t> overdue;
  behind_since_.resize(own.size());
  for (size_t i = 0; i < std::min(reported.size(), own.size()); ++i) {
    instant& since = behind_since_[i];
    if (own[i] >= reported[i]) {
      since = {};
    } else if (since == instant{}) {
      since = now;
    } else if (now - since > delay) {
      since = now;
      overdue.push_back(i);
    }
  }
  return overdue;
}

}  // namespace bulrushway
