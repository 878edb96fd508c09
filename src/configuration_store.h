#ifndef BULRUSHWAY_CONFIGURATION_STORE_H
#define BULRUSHWAY_CONFIGURATION_STORE_H

// Reads and commits versions of the configuration in the platform's table and object store.
// Documents are stored before the head that refers to them. The head is committed only if the
// newest version is the base of the change, on condition that the head's row is unchanged since it
// was read. After a commit without an answer, the version's history row shows the outcome; while
// that row does not exist, the commit is retried under the same operation id.

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "configuration_change.h"
#include "configuration_head.h"
#include "table_service.h"

namespace bulrushway {

/// Client of the stored configuration. Callbacks run on the event loop of the table and the object
/// store; this object must outlive all calls in progress.
template <table_service Table, object_store Objects>
class configuration_store {
 public:
  /// Calls a function after a delay.
  using wait_function = std::function<void(std::chrono::milliseconds, std::function<void()>)>;
  using head_callback = std::function<void(result<stored_head>)>;
  using configuration_callback = std::function<void(result<stored_configuration>)>;
  using history_callback = std::function<void(result<std::vector<configuration_head>>)>;
  using apply_callback = std::function<void(apply_outcome)>;

  configuration_store(Table& table, Objects& objects, wait_function wait)
      : table_(table), objects_(objects), wait_(std::move(wait)) {}

  /// Reads the newest head.
  void ReadHead(head_callback done) {
    table_.ReadPrefix(std::string(kHeadKey), [done = std::move(done)](
                                                 const result<std::vector<table_row>>& rows) {
      done(rows ? FindHead(*rows) : result<stored_head>(tl::unexpected<error>(rows.error())));
    });
  }

  /// Reads the newest head with its documents. Before the first commit, the result has version 0
  /// and no documents.
  void ReadCurrent(configuration_callback done) {
    ReadHead([this, done = std::move(done)](const result<stored_head>& head) {
      if (!head) return done(tl::unexpected<error>(head.error()));
      ReadDocuments(*head, done);
    });
  }

  /// Reads a version with its documents; a version that does not exist is a user error.
  void ReadVersion(uint64_t version, configuration_callback done) {
    ReadHistoryRow(version, [this, version, done = std::move(done)](
                                const result<std::optional<configuration_head>>& head) {
      if (!head) return done(tl::unexpected<error>(head.error()));
      if (!*head) {
        return done(Failure(error_kind::kUser, "read version", "",
                            "There is no version " + std::to_string(version) + "."));
      }
      ReadDocuments(stored_head{*head, 0}, done);
    });
  }

  /// Reads up to `count` heads, from version `newest` downwards.
  void ReadHistory(uint64_t newest, size_t count, const history_callback& done) {
    ReadHistoryPage(newest, count, {}, done);
  }

  /// Commits a change. The outcome is kUnknown when it cannot be determined whether the change is
  /// in force.
  void Apply(const configuration_change& change, const apply_callback& done) {
    if (std::string fault = ValidationError(change); !fault.empty()) {
      return done({apply_state::kNotApplied, {}, {}, std::move(fault)});
    }
    auto run = std::make_shared<apply_run>();
    run->change = change;
    run->done = done;
    ReadBase(run);
  }

 private:
  struct apply_run {
    configuration_change change;
    apply_callback done;
    configuration_head head;
    uint64_t row_version = 0;
    int failures = 0;
  };
  using run_pointer = std::shared_ptr<apply_run>;

  void ReadDocuments(const stored_head& head, configuration_callback done) {
    if (!head.head) return done(stored_configuration{});
    if (head.head->format > kHeadFormat) return done(NewerFormatError(*head.head));
    const std::string rules_hash = head.head->rules_hash;
    ReadDocument(head.head->inventory_hash, [this, head, rules_hash, done = std::move(done)](
                                                const result<std::string>& inventory) {
      if (!inventory) return done(tl::unexpected<error>(inventory.error()));
      ReadDocument(rules_hash,
                   [head, inventory = *inventory, done](const result<std::string>& rules) {
                     if (!rules) return done(tl::unexpected<error>(rules.error()));
                     done(stored_configuration{head, inventory, *rules});
                   });
    });
  }

  void ReadDocument(const std::string& hash, object_callback done) {
    objects_.Get(DocumentName(hash),
                 [hash, done = std::move(done)](const result<std::string>& bytes) {
                   done(bytes ? VerifyDocument(hash, *bytes) : bytes);
                 });
  }

  void ReadHistoryRow(uint64_t version,
                      std::function<void(result<std::optional<configuration_head>>)> done) {
    table_.ReadPrefix(HistoryKey(version), [version, done = std::move(done)](
                                               const result<std::vector<table_row>>& rows) {
      if (!rows) return done(tl::unexpected<error>(rows.error()));
      done(FindHistoryHead(*rows, version));
    });
  }

  // Reads ten versions at a time: a history key without its last digit is their common prefix.
  void ReadHistoryPage(uint64_t newest, size_t count, std::vector<configuration_head> heads,
                       history_callback done) {
    if (newest == 0 || heads.size() >= count) return done(std::move(heads));
    std::string prefix = HistoryKey(newest);
    prefix.pop_back();
    table_.ReadPrefix(prefix,
                      [this, newest, count, heads = std::move(heads),
                       done = std::move(done)](const result<std::vector<table_row>>& rows) mutable {
                        if (!rows) return done(tl::unexpected<error>(rows.error()));
                        AppendHistory(*rows, newest, count, heads);
                        const uint64_t first_of_page = newest - newest % 10;
                        ReadHistoryPage(first_of_page == 0 ? 0 : first_of_page - 1, count,
                                        std::move(heads), std::move(done));
                      });
  }

  void ReadBase(const run_pointer& run) {
    ReadHead([this, run](const result<stored_head>& head) {
      if (!head) {
        return RetryOrGiveUp(run, head.error(), apply_state::kNotApplied,
                             [this, run] { ReadBase(run); });
      }
      if (head->head && head->head->format > kHeadFormat) {
        return run->done(
            {apply_state::kNotApplied, {}, {}, NewerFormatError(*head->head).value().message});
      }
      if (head->version() != run->change.base_version) return ReportConflict(run, head->version());
      run->row_version = head->row_version;
      run->head = MakeHead(run->change);
      run->failures = 0;
      StoreDocumentsAndCommit(run, head->head ? &*head->head : nullptr);
    });
  }

  void StoreDocumentsAndCommit(const run_pointer& run, const configuration_head* base) {
    const bool rules_stored = base != nullptr && base->rules_hash == run->head.rules_hash;
    const bool inventory_stored =
        base != nullptr && base->inventory_hash == run->head.inventory_hash;
    const auto store_rules = [this, run, rules_stored] {
      if (rules_stored) return Commit(run);
      StoreDocument(run, run->change.rules, [this, run] { Commit(run); });
    };
    if (inventory_stored) return store_rules();
    StoreDocument(run, run->change.inventory, store_rules);
  }

  // Retries are idempotent: the object's name is the hash of its bytes.
  void StoreDocument(const run_pointer& run, const std::string& bytes, std::function<void()> next) {
    objects_.Put(DocumentName(HashDocument(bytes)), bytes,
                 [this, run, bytes, next](const result<void>& stored) {
                   if (stored) {
                     run->failures = 0;
                     return next();
                   }
                   RetryOrGiveUp(run, stored.error(), apply_state::kNotApplied,
                                 [this, run, bytes, next] { StoreDocument(run, bytes, next); });
                 });
  }

  void Commit(const run_pointer& run) {
    table_.Commit(MakeTransaction(run->head, run->row_version),
                  [this, run](const result<void>& committed) {
                    if (committed) return ReportAccepted(run);
                    if (committed.error().kind == error_kind::kConflict) return ReadBack(run, true);
                    RetryOrGiveUp(run, committed.error(), apply_state::kUnknown,
                                  [this, run] { ReadBack(run, false); });
                  });
  }

  // A version's history row is written in the same transaction as its head, so the operation id in
  // that row shows which change was committed.
  void ReadBack(const run_pointer& run, bool condition_failed) {
    ReadHistoryRow(run->head.version, [this, run, condition_failed](
                                          const result<std::optional<configuration_head>>& row) {
      if (!row) {
        return RetryOrGiveUp(run, row.error(), apply_state::kUnknown,
                             [this, run, condition_failed] { ReadBack(run, condition_failed); });
      }
      if (*row && (*row)->operation == run->head.operation) return ReportAccepted(run);
      if (*row || condition_failed) return ReadHeadAndReportConflict(run);
      Commit(run);
    });
  }

  void ReportAccepted(const run_pointer& run) {
    run->done({apply_state::kAccepted, run->head, {}, Describe(run->head) + " is accepted."});
  }

  void ReadHeadAndReportConflict(const run_pointer& run) {
    ReadHead([this, run](const result<stored_head>& head) {
      ReportConflict(run, head ? head->version() : run->head.version);
    });
  }

  void ReportConflict(const run_pointer& run, uint64_t newest) {
    const uint64_t base = run->change.base_version;
    const size_t count = newest > base ? std::min<size_t>(newest - base, kMaxReportedConflicts) : 0;
    // Reads the base version too, to compare the first change after it with the base.
    ReadHistory(
        newest, count + 1, [run, newest](const result<std::vector<configuration_head>>& heads) {
          std::vector<configuration_head> newer_heads;
          if (heads) newer_heads = *heads;
          const uint64_t base_version = run->change.base_version;
          std::string message = DescribeConflict(base_version, newest, newer_heads);
          std::erase_if(newer_heads,
                        [&](const auto& head) { return head.version <= base_version; });
          run->done({apply_state::kConflict, {}, std::move(newer_heads), std::move(message)});
        });
  }

  // Calls `next` after an exponential backoff; gives up after kMaxApplyFailures failures.
  void RetryOrGiveUp(const run_pointer& run, const error& cause, apply_state state_on_giving_up,
                     const std::function<void()>& next) {
    ++run->failures;
    if (run->failures >= kMaxApplyFailures) {
      return run->done({state_on_giving_up,
                        run->head,
                        {},
                        DescribePlatformFailure(state_on_giving_up, run->change.operation, cause)});
    }
    wait_(kInitialApplyBackoff * (1 << (run->failures - 1)), next);
  }

  Table& table_;
  Objects& objects_;
  wait_function wait_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_CONFIGURATION_STORE_H
