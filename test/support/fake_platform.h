#ifndef BULRUSHWAY_TEST_FAKE_PLATFORM_H
#define BULRUSHWAY_TEST_FAKE_PLATFORM_H

// An in-memory table and object store that simulates outages and answers that are lost before or
// after the write takes effect. Run and Step deliver the queued answers in order.

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "table_service.h"

namespace bulrushway {

/// Fault of a call: none, or no answer arrives and the write has or hasn't taken effect.
enum class platform_fault { kNone, kLostBeforeEffect, kLostAfterEffect };

/// Satisfies table_service and object_store.
class fake_platform {
 public:
  void Commit(const transaction& txn, const commit_callback& done) {
    ++commits;
    const platform_fault fault = TakeFault(commit_faults);
    result<void> outcome = NoAnswer();
    if (!down && fault != platform_fault::kLostBeforeEffect) outcome = Execute(txn);
    if (fault == platform_fault::kLostAfterEffect) outcome = NoAnswer();
    Queue([done, outcome] { done(outcome); });
  }

  void ReadPrefix(const std::string& prefix, const table_callback& done) {
    result<std::vector<table_row>> outcome;
    for (const auto& [key, row] : rows) {
      if (key.starts_with(prefix)) outcome->push_back(row);
    }
    if (down || TakeFault(read_faults) != platform_fault::kNone) {
      outcome = tl::unexpected<error>(NoAnswer().error());
    }
    Queue([done, outcome] { done(outcome); });
  }

  void Put(const std::string& name, const std::string& bytes, const commit_callback& done) {
    ++puts;
    const platform_fault fault = TakeFault(put_faults);
    result<void> outcome;
    if (down || fault != platform_fault::kNone) outcome = NoAnswer();
    if (!down && fault != platform_fault::kLostBeforeEffect) objects[name] = bytes;
    Queue([done, outcome] { done(outcome); });
  }

  void Get(const std::string& name, const object_callback& done) {
    result<std::string> outcome = tl::unexpected<error>(NoAnswer().error());
    if (!down && objects.contains(name)) outcome = objects[name];
    Queue([done, outcome] { done(outcome); });
  }

  /// Queues a function behind the pending answers and adds its delay to `waited`.
  void Wait(std::chrono::milliseconds delay, std::function<void()> next) {
    waited += delay;
    Queue(std::move(next));
  }

  /// Delivers answers until none is pending.
  void Run() {
    while (Step()) {
    }
  }

  /// Delivers one answer; returns false if none is pending.
  bool Step() {
    if (pending_.empty()) return false;
    const auto next = std::move(pending_.front());
    pending_.pop_front();
    next();
    return true;
  }

  bool down = false;
  std::deque<platform_fault> commit_faults;
  std::deque<platform_fault> read_faults;
  std::deque<platform_fault> put_faults;
  std::map<std::string, table_row> rows;
  std::map<std::string, std::string> objects;
  int commits = 0;
  int puts = 0;
  std::chrono::milliseconds waited{0};

 private:
  static platform_fault TakeFault(std::deque<platform_fault>& faults) {
    if (faults.empty()) return platform_fault::kNone;
    const platform_fault fault = faults.front();
    faults.pop_front();
    return fault;
  }

  static result<void> NoAnswer() {
    return Failure(error_kind::kPeer, "call platform", "fake", "The platform did not answer.");
  }

  result<void> Execute(const transaction& txn) {
    for (const table_condition& condition : txn.conditions) {
      const auto row = rows.find(condition.key);
      const uint64_t version = row == rows.end() ? 0 : row->second.version;
      if (version == condition.version) continue;
      return Failure(error_kind::kConflict, "commit", "fake",
                     "A condition row has another version.");
    }
    for (const table_write& write : txn.writes) {
      table_row& row = rows[write.key];
      row = {write.key, write.value.value_or(""), row.version + 1};
    }
    return {};
  }

  void Queue(std::function<void()> next) { pending_.push_back(std::move(next)); }

  std::deque<std::function<void()>> pending_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_TEST_FAKE_PLATFORM_H
