#include "table_row_store.h"

#include <utility>

#include "base64.h"

namespace bulrushway {
namespace {

// Polling interval of a watch. A request that reaches the wrong owner triggers an immediate read of
// the key map, so the interval only limits the delay at processes without such requests.
constexpr std::chrono::milliseconds kWatchInterval{500};

std::string FlatKey(const row_key& id) { return id.table + "/" + id.key; }

}  // namespace

row_store table_row_store::AsRowStore() {
  return {[this](const std::string& table, rows_callback done) { Read(table, std::move(done)); },
          [this](const row_transaction& transaction, receipt_callback done) {
            Commit(transaction, std::move(done));
          },
          [this](const std::string& table, uint64_t, std::chrono::milliseconds wait,
                 const rows_callback& done) { Watch(table, boot_clock::now() + wait, done); }};
}

void table_row_store::Read(const std::string& table, rows_callback done) {
  const std::string prefix = table + "/";
  table_.ReadRows(prefix,
                  [this, table, prefix, done = std::move(done)](result<table_snapshot> outcome) {
                    const instant now = boot_clock::now();
                    if (!outcome) return done(now, tl::unexpected<error>(outcome.error()));
                    row_snapshot snapshot;
                    snapshot.version = ++snapshot_count_;
                    snapshot.now = outcome->now;
                    row_versions versions;
                    for (table_row& row : outcome->rows) {
                      const std::string key = row.key.substr(prefix.size());
                      versions[key] = row.version;
                      // An invalid value is passed on; its decoder reports the error.
                      std::string value = DecodeBase64(row.value).value_or(row.value);
                      snapshot.rows.push_back({{table, key}, std::move(value), row.version, false});
                    }
                    reported_.try_emplace(table, std::move(versions));
                    done(now, std::move(snapshot));
                  });
}

void table_row_store::Commit(const row_transaction& transaction, receipt_callback done) {
  bulrushway::transaction change;
  for (const row_condition& condition : transaction.conditions) {
    change.conditions.push_back({FlatKey(condition.id), condition.version});
  }
  for (const row_write& write : transaction.writes) {
    // The table service accepts text only, and values are binary.
    std::optional<std::string> value;
    if (write.value) value = EncodeBase64(*write.value);
    change.writes.push_back({FlatKey(write.id), std::move(value)});
  }
  table_.CommitRows(change, [done = std::move(done)](const result<table_receipt>& receipt) {
    const instant now = boot_clock::now();
    if (!receipt) return done(now, tl::unexpected<error>(receipt.error()));
    // Callers need only the version of the first row written.
    const uint64_t version = receipt->versions.empty() ? 0 : receipt->versions.front();
    done(now, row_receipt{version, receipt->now});
  });
}

void table_row_store::Watch(const std::string& table, instant until, const rows_callback& done) {
  delayed_.CallAt(boot_clock::now() + kWatchInterval, [this, table, until, done](instant) {
    Read(table, [this, table, until, done](instant now, result<row_snapshot> outcome) {
      if (!outcome) return done(now, std::move(outcome));
      outcome->rows = TakeChanges(table, std::move(outcome->rows));
      if (outcome->rows.empty() && now < until) return Watch(table, until, done);
      done(now, std::move(outcome));
    });
  });
}

std::vector<stored_row> table_row_store::TakeChanges(const std::string& table,
                                                     std::vector<stored_row> rows) {
  row_versions versions;
  for (const stored_row& row : rows) versions[row.id.key] = row.version;
  row_versions& reported = reported_[table];
  if (versions == reported) return {};
  for (const auto& [key, version] : reported) {
    if (!versions.contains(key)) rows.push_back({{table, key}, {}, version + 1, true});
  }
  reported = std::move(versions);
  return rows;
}

}  // namespace bulrushway
