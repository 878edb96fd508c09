#ifndef BULRUSHWAY_TEST_SMALL_NODE_FLEET_H
#define BULRUSHWAY_TEST_SMALL_NODE_FLEET_H

// Nodes on one event loop with a store in memory that can return from a copy. A configuration row
// is a number: the version, which has the routes /1/ to /version/.

#include <unistd.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "http_client.h"
#include "node.h"
#include "store_era.h"

namespace bulrushway::testing {

/// The tables of the store. Calls are answered from the event loop.
class memory_store {
 public:
  explicit memory_store(event_loop& loop) : answers_(loop, [this](instant now) { Answer(now); }) {
    answers_.Every(std::chrono::milliseconds(2));
  }

  /// Calls of one process; they fail while `reachable` is false.
  row_store Rows(std::shared_ptr<bool> reachable) {
    row_store rows;
    rows.read = [this, reachable](const std::string& table, rows_callback done) {
      Later(reachable, std::move(done), [this, table] { return Snapshot(table); });
    };
    rows.watch = [this, reachable](const std::string& table, uint64_t after,
                                   std::chrono::milliseconds wait, rows_callback done) {
      ++calls_;
      watches_.push_back({table, after, boot_clock::now() + wait, std::move(done), reachable});
    };
    rows.commit = [this, reachable](const row_transaction& change, receipt_callback done) {
      Later(reachable, std::move(done), [this, change] {
        for (const row_write& write : change.writes) Put(write.id, write.value.value_or(""));
        return row_receipt{Version(), {}};
      });
    };
    return rows;
  }
  void Put(const row_key& id, std::string value) {
    ++count_;
    std::erase_if(rows_, [&id](const stored_row& row) { return row.id == id; });
    rows_.push_back({id, std::move(value), Version(), false});
  }
  /// Calls of all processes since the start, watches included.
  size_t Calls() const { return calls_; }
  /// The connections on which watches wait fall silent for good; new ones work.
  void SilenceWatches() {
    for (watch& each : watches_) each.silent = true;
  }
  /// Returns from a copy that has an older configuration; the rows of members are written again.
  void ReturnWith(const std::string& configuration) {
    ++era_;
    for (stored_row& row : rows_) {
      row.version = VersionOf(era_, CountOf(row.version));
      if (row.id.table == "op") row.value = configuration;
    }
    watches_.clear();
  }

 private:
  struct watch {
    std::string table;
    uint64_t after = 0;
    instant until;
    rows_callback done;
    std::shared_ptr<bool> reachable;
    bool silent = false;
  };

  uint64_t Version() const { return VersionOf(era_, count_); }
  row_snapshot Snapshot(const std::string& table) const {
    row_snapshot snapshot{{}, Version(), {}};
    for (const stored_row& row : rows_) {
      if (row.id.table == table) snapshot.rows.push_back(row);
    }
    return snapshot;
  }
  template <class Callback, class Outcome>
  void Later(const std::shared_ptr<bool>& reachable, Callback done, Outcome outcome) {
    ++calls_;
    queue_.push_back([reachable, done = std::move(done), outcome](instant now) {
      if (*reachable) return done(now, outcome());
      done(now, Failure(error_kind::kPeer, "call", "store", "The store does not answer."));
    });
  }
  void Answer(instant now) {
    std::deque<std::function<void(instant)>> due;
    due.swap(queue_);
    for (const auto& answer : due) answer(now);
    std::vector<watch> waiting;
    waiting.swap(watches_);
    for (watch& each : waiting) {
      if (each.silent || !*each.reachable) {
        if (now < each.until + kMaxWatchDelay) {
          watches_.push_back(std::move(each));
        } else {
          each.done(now, Failure(error_kind::kPeer, "watch", "store", "There is no answer."));
        }
        continue;
      }
      row_snapshot changes = Snapshot(each.table);
      std::erase_if(changes.rows,
                    [&each](const stored_row& row) { return row.version <= each.after; });
      if (changes.rows.empty() && now < each.until) {
        watches_.push_back(std::move(each));
      } else {
        each.done(now, std::move(changes));
      }
    }
  }

  uint64_t era_ = 1;
  uint64_t count_ = 0;
  size_t calls_ = 0;
  std::vector<stored_row> rows_;
  std::vector<watch> watches_;
  std::deque<std::function<void(instant)>> queue_;
  timer answers_;
};

/// A configuration that a node was given.
struct given_configuration {
  uint64_t version = 0;
  operator_row_source source;
};

/// A node of data centre "dc", without a target.
struct started_node {
  std::shared_ptr<bool> reaches_store = std::make_shared<bool>(true);
  socket_address callers;
  std::vector<given_configuration> given;
  std::unique_ptr<node> process;

  bool WasGiven(uint64_t version) const {
    return std::any_of(given.begin(), given.end(),
                       [version](const given_configuration& c) { return c.version == version; });
  }
};

/// The nodes, the store and a caller.
class small_node_fleet {
 public:
  event_loop& loop() { return loop_; }
  memory_store& store() { return store_; }
  void Configure(uint64_t version) { store_.Put({"op", "config"}, std::to_string(version)); }

  /// Announces the node at the address that it will have, as its predecessor did.
  void Announce(const std::string& name) {
    store_.Put({"members", name},
               EncodeMember({name, Address(name, kPeersPort), "dc", "r", "plain", 1}));
  }
  started_node& Start(const std::string& name, bool reaches_store = true) {
    nodes_.push_back(std::make_unique<started_node>());
    started_node& added = *nodes_.back();
    *added.reaches_store = reaches_store;
    node_settings settings;
    settings.name = name;
    settings.ip = "127.0.0.1";
    settings.data_centre = "dc";
    settings.region = "r";
    settings.service = "plain";
    settings.headers.request_id = "X-Request";
    settings.headers.retry_after = "Retry-After";
    settings.target = Address(name, kTargetPort);
    settings.callers = added.callers = Address(name, kCallersPort);
    settings.peers = Address(name, kPeersPort);
    settings.metrics = Address(name, kMetricsPort);
    node_ports ports;
    ports.store = store_.Rows(added.reaches_store);
    ports.operator_table = "op";
    ports.operator_row = [&added](instant now, const stored_row& row,
                                  const operator_row_source& source) {
      const uint64_t version = std::stoull(row.value);
      added.given.push_back({version, source});
      added.process->OnConfiguration(now, Table(version), source);
    };
    ports.parse_load = [](const std::string&) { return std::nullopt; };
    added.process = std::make_unique<node>(loop_, settings, std::move(ports), nodes_.size() + 1);
    const auto started = added.process->Start(boot_clock::now());
    BOOST_REQUIRE_MESSAGE(started.has_value(),
                          (started ? std::string{} : ToString(started.error())));
    return added;
  }
  /// Runs the event loop until `done` holds, for at most `limit`; returns whether it holds.
  bool Until(const std::function<bool()>& done,
             std::chrono::milliseconds limit = std::chrono::seconds(8)) {
    const instant end = boot_clock::now() + limit;
    timer poll(loop_, [this](instant) { loop_.Stop(); });
    while (!done()) {
      if (boot_clock::now() >= end) return false;
      poll.Once(std::chrono::milliseconds(5));
      loop_.Run();
    }
    return true;
  }
  /// Status of the answer to a request for this path; 0 without an answer.
  int StatusOf(const started_node& at, const std::string& path) {
    http_request request;
    request.target = path;
    request.headers = {{"Host", "h"}, {at.process->settings().headers.request_id, "r-1"}};
    int status = 0;
    client_.Send(at.callers, std::move(request), std::chrono::seconds(2),
                 [&status](const auto& answer) {
                   status = answer ? answer->status : -1;
                   if (!answer) BOOST_TEST_MESSAGE(answer.error().message);
                 });
    Until([&status] { return status != 0; }, std::chrono::seconds(3));
    return status;
  }

 private:
  static constexpr uint16_t kCallersPort = 7147;
  static constexpr uint16_t kPeersPort = 7148;
  static constexpr uint16_t kMetricsPort = 7149;
  static constexpr uint16_t kTargetPort = 7145;

  // Each node of a test program has a loopback address of its own, so that neither programs that
  // run at the same time nor outgoing connections use its ports.
  socket_address Address(const std::string& node, uint16_t port) {
    constexpr int kNumbers = 250;
    static int last_number = 0;
    std::string& ip = ips_[node];
    if (ip.empty()) {
      const int program = getpid() % (kNumbers * kNumbers);
      ip = "127." + std::to_string(1 + program / kNumbers) + "." +
           std::to_string(1 + program % kNumbers) + "." + std::to_string(++last_number);
    }
    return {ip, port};
  }
  static std::shared_ptr<const route_table> Table(uint64_t version) {
    std::vector<route> routes;
    for (uint64_t i = 1; i <= version; ++i) {
      route added;
      added.name = std::to_string(i);
      added.host = "h";
      added.prefix = "/" + added.name + "/";
      added.split = {{"plain", 1}};
      routes.push_back(added);
    }
    service_policy plain;
    plain.name = "plain";
    return std::make_shared<route_table>(version, routes, std::vector{plain}, caller_limits{});
  }

  event_loop loop_;
  memory_store store_{loop_};
  http_client client_{loop_, size_t{8}};
  std::map<std::string, std::string> ips_;
  std::vector<std::unique_ptr<started_node>> nodes_;
};

}  // namespace bulrushway::testing

#endif  // BULRUSHWAY_TEST_SMALL_NODE_FLEET_H
