#include "store_relay.h"

#include <algorithm>

namespace bulrushway {
namespace {

using std::chrono::milliseconds;

// A lease is renewed each second, so that a process whose calls hang is noticed after this time.
constexpr milliseconds kMaxContactAge{2000};
// Changes that have not arrived this long after the follower reported them are read from the store.
constexpr milliseconds kRelayDelay{300};

}  // namespace

bool store_contact::Working(instant now) const {
  return answered_ > failed_ && now - answered_ < kMaxContactAge;
}

row_store ObserveStore(const row_store& store, store_contact& contact, metrics& counters) {
  const auto count = [&counters](const char* call, const std::string& table) {
    counters.Counter("bulrushway_store_calls", {{"call", call}, {"table", table}})++;
  };
  const auto record = [&contact](instant now, bool answered, const auto& outcome) {
    if (outcome) contact.OnEra(now, EraOf(outcome->version));
    if (answered) return contact.OnAnswer(now);
    contact.OnFailure(now);
  };
  row_store recording = store;
  recording.read = [read = store.read, record, count](const std::string& table,
                                                      rows_callback done) {
    count("read", table);
    read(table, [record, done = std::move(done)](instant now, result<row_snapshot> outcome) {
      record(now, outcome.has_value(), outcome);
      done(now, std::move(outcome));
    });
  };
  recording.watch = [watch = store.watch, count](const std::string& table, uint64_t after,
                                                 rows_callback done) {
    count("watch", table);
    watch(table, after, std::move(done));
  };
  recording.commit = [commit = store.commit, record, count](const row_transaction& change,
                                                            receipt_callback done) {
    count("commit", change.writes.empty() ? "-" : change.writes.front().id.table);
    commit(change, [record, done = std::move(done)](instant now, result<row_receipt> outcome) {
      // A failed condition is an answer too.
      record(now, outcome.has_value() || outcome.error().kind == error_kind::kConflict, outcome);
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

std::vector<size_t> relay_gap::Overdue(instant now, const std::vector<uint64_t>& follower,
                                       const std::vector<uint64_t>& own) {
  std::vector<size_t> overdue;
  behind_since_.resize(own.size());
  for (size_t i = 0; i < std::min(follower.size(), own.size()); ++i) {
    instant& since = behind_since_[i];
    if (own[i] >= follower[i]) {
      since = {};
    } else if (since == instant{}) {
      since = now;
    } else if (now - since > kRelayDelay) {
      since = now;
      overdue.push_back(i);
    }
  }
  return overdue;
}

}  // namespace bulrushway
