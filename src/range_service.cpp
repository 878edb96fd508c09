#include "range_service.h"

#include <utility>

namespace bulrushway {

range_service::range_service(decision_log& log, metrics& counters, const row_store& store,
                             const range_service_settings& settings, instant now,
                             map_changed_function map_changed, grant_call_function call_target)
    : log_(log),
      metrics_(counters),
      store_(store),
      settings_(settings),
      map_changed_(std::move(map_changed)),
      call_target_(std::move(call_target)),
      lease_(settings_.node, settings_.ip, settings_.process, settings_.lease),
      controller_(settings_.controller, now) {}

void range_service::OnStoreEra(instant now, uint64_t era, std::chrono::milliseconds age) {
  if (era == 0) return;
  const auto lease_left = lease_.Remaining(now, clock_);
  if (controller_.OnStoreEra(now, era, age, lease_left)) {
    log_.Write("store_era_of_keys",
               {{"service", settings_.service},
                {"era", std::to_string(era)},
                {"lease_left_ms", std::to_string(lease_left.count())}},
               log_priority::kNotable);
  }
  lease_.OnStoreEra(era);
}

void range_service::Tick(instant now, const std::vector<range_candidate>& candidates) {
  MaintainLease(now);
  const bool leased = Leased(now);
  if (leased != leased_) {
    leased_ = leased;
    log_.Write(leased ? "lease_acquired" : "lease_lapsed",
               {{"service", settings_.service},
                {"map_version", std::to_string(controller_.map_version())}},
               log_priority::kNotable);
  }
  // A change is written together with the lease.
  const bool may_change = lease_.ReadyForChange(now, clock_);
  switch (controller_.NextAction(now, candidates, may_change)) {
    case range_action::kNone:
      break;
    case range_action::kReadMap:
      ReadMap(now);
      break;
    case range_action::kReadLeases:
      ReadLeases(now);
      break;
    case range_action::kCommitChange:
      CommitChange(now);
      break;
  }
  SendCalls(now);
}

void range_service::MaintainLease(instant now) {
  if (lease_.NeedsRead(now)) {
    lease_.OnReadStarted();
    store_.read(kLeaseTable, [this, now](instant answered, result<row_snapshot> outcome) {
      if (!outcome) return lease_.OnReadFailed(answered, clock_);
      ObserveStore(now, answered, *outcome);
      for (const observed_lease& lease : DecodeLeases(*outcome)) {
        if (lease.record.node != settings_.node) continue;
        return lease_.OnRead(answered, lease.record, lease.version);
      }
      lease_.OnRead(answered, std::nullopt, 0);
    });
    return;
  }
  const auto write = lease_.NextWrite(now, clock_, controller_.Settled(now));
  if (!write) return;
  const row_key id = LeaseRowKey(settings_.node);
  row_transaction renewal{{{id, write->version}}, {{id, EncodeLease(write->record)}}};
  store_.commit(std::move(renewal), [this, now](instant answered, result<row_receipt> outcome) {
    if (!outcome) {
      metrics_.Counter("bulrushway_lease_renewals_failed")++;
      return lease_.OnWriteFailed(answered, clock_, outcome.error().kind == error_kind::kConflict);
    }
    ObserveStore(now, answered, *outcome);
    const uint64_t previous_acquisitions = lease_.AcquisitionCount();
    lease_.OnWritten(answered, outcome->version);
    if (lease_.AcquisitionCount() != previous_acquisitions) controller_.OnLeaseAcquired(answered);
  });
}

std::vector<observed_lease> range_service::DecodeLeases(const row_snapshot& rows) const {
  std::vector<observed_lease> leases;
  for (const stored_row& row : rows.rows) {
    if (!row.id.key.starts_with(settings_.service + "/")) continue;
    auto record = DecodeLease(row.value);
    if (record) {
      leases.push_back({std::move(*record), row.version});
      continue;
    }
    log_.Write("lease_unreadable", {{"row", row.id.key}, {"reason", record.error().message}},
               log_priority::kNotable);
  }
  return leases;
}

void range_service::ReadMap(instant now) {
  store_.read(kKeyMapTable, [this, now](instant answered, result<row_snapshot> outcome) {
    if (!outcome) return controller_.OnReadFailed(answered);
    ObserveStore(now, answered, *outcome);
    for (const stored_row& row : outcome->rows) {
      if (row.id.key == settings_.service) return OnMapRow(answered, now, row);
    }
    for (const unreadable_row& row : outcome->unreadable) {
      if (row.key == settings_.service) return OnMapUnreadable(answered, row.reason);
    }
    controller_.OnNoMap(now, EraOf(outcome->version));
  });
}

void range_service::OnMapRow(instant now, instant sent, const stored_row& row) {
  OnStoreEra(now, EraOf(row.version), {});
  auto map = DecodeKeyMap(row.value);
  if (!map) return OnMapUnreadable(now, map.error().message);
  controller_.OnMap(sent, std::move(*map), row.version);
  ReportUnusableHandovers("key map");
}

void range_service::ReportUnusableHandovers(std::string_view source) {
  const uint64_t total = controller_.UnusableHandovers();
  if (total == reported_unusable_handovers_) return;
  const uint64_t added = total - std::exchange(reported_unusable_handovers_, total);
  metrics_.Counter("bulrushway_handovers_unusable", {{"source", std::string(source)}}) += added;
  log_.Write("handover_unusable",
             {{"service", settings_.service},
              {"source", std::string(source)},
              {"handovers", std::to_string(added)}},
             log_priority::kNotable);
}

void range_service::OnMapUnreadable(instant now, const std::string& reason) {
  log_.Write("key_map_unreadable", {{"service", settings_.service}, {"reason", reason}},
             log_priority::kNotable);
  controller_.OnReadFailed(now);
}

void range_service::ReadLeases(instant now) {
  store_.read(kLeaseTable, [this, now](instant answered, result<row_snapshot> outcome) {
    if (!outcome) return controller_.OnReadFailed(answered);
    ObserveStore(now, answered, *outcome);
    controller_.OnLeases(answered, DecodeLeases(*outcome), outcome->now);
  });
}

void range_service::OnMapChanged(instant now, const key_map& map, uint64_t version) {
  OnStoreEra(now, EraOf(version), {});
  // Nothing says whether this map was read after the lease was acquired.
  controller_.OnMap({}, map, version);
  ReportUnusableHandovers("key map");
}

void range_service::CommitChange(instant now) {
  const ownership_change& change = controller_.change();
  const row_key map_row{kKeyMapTable, settings_.service};
  row_transaction transaction;
  transaction.conditions.push_back({map_row, change.map_version});
  transaction.writes.push_back({map_row, EncodeKeyMap(change.map)});
  for (const auto& [node, version] : change.ended_leases) {
    transaction.conditions.push_back({LeaseRowKey(node), version});
    transaction.writes.push_back({LeaseRowKey(node), std::nullopt});
  }
  for (const std::string& node : change.absent_leases) {
    transaction.conditions.push_back({LeaseRowKey(node), 0});
  }
  const row_key lease_row = LeaseRowKey(settings_.node);
  const process_lease::pending_write renewal = lease_.RenewalForChange(now, clock_);
  transaction.conditions.push_back({lease_row, renewal.version});
  transaction.writes.push_back({lease_row, EncodeLease(renewal.record)});
  const auto current = std::make_shared<std::vector<stored_row>>();
  transaction.on_conflict = [current](std::vector<stored_row> rows) { *current = std::move(rows); };
  store_.commit(std::move(transaction), [this, now, reason = change.reason, current](
                                            instant answered, const result<row_receipt>& outcome) {
    OnCommitted(answered, now, reason, outcome, *current);
  });
}

void range_service::OnCommitted(instant now, instant sent, const std::string& reason,
                                const result<row_receipt>& outcome,
                                const std::vector<stored_row>& current) {
  const uint64_t base_version = controller_.change().map_version;
  log_.Write("ownership_change",
             {{"service", settings_.service},
              {"reason", reason},
              {"from_version", std::to_string(base_version)},
              {"to_version", outcome ? std::to_string(outcome->version) : "-"},
              {"outcome", outcome ? "committed" : outcome.error().message}},
             log_priority::kNotable);
  if (!outcome) {
    lease_.OnWriteFailed(now, clock_, outcome.error().kind == error_kind::kConflict);
    controller_.OnChanged(now, tl::unexpected<error>(outcome.error()));
    return TakeCurrentRows(now, current);
  }
  ObserveStore(sent, now, *outcome);
  lease_.OnWritten(now, outcome->version);
  metrics_.Counter("bulrushway_ownership_changes", {{"reason", reason}})++;
  const key_map_delta delta = DeltaBetween(controller_.map(), controller_.change().map);
  const bool is_base = controller_.map_version() == base_version;
  controller_.OnChanged(now, outcome->version);
  if (!is_base) return;
  map_changed_(now, {settings_.service, base_version, outcome->version, EncodeDelta(delta), false});
}

void range_service::TakeCurrentRows(instant now, const std::vector<stored_row>& current) {
  const std::string lease_key = LeaseRowKey(settings_.node).key;
  for (const stored_row& row : current) {
    OnStoreEra(now, EraOf(row.version), {});
    if (row.id.table == kKeyMapTable && row.id.key == settings_.service) OnMapRow(now, now, row);
    if (row.id.table != kLeaseTable || row.id.key != lease_key) continue;
    if (auto record = DecodeLease(row.value)) lease_.OnRead(now, std::move(*record), row.version);
  }
}

void range_service::SendCalls(instant now) {
  if (!call_target_) return;
  for (const grant_call& call : controller_.NextCalls(now, lease_.Remaining(now, clock_))) {
    call_target_(call, [this, call](instant answered, const grant_call_outcome& outcome) {
      OnCallOutcome(answered, call, outcome);
    });
  }
}

void range_service::OnCallOutcome(instant now, const grant_call& call,
                                  const grant_call_outcome& outcome) {
  const bool grant = call.type == grant_call::kind::kGrant;
  const std::string_view result = Name(outcome.result);
  metrics_.Counter("bulrushway_target_orders",
                   {{"order", grant ? "grant" : "release"}, {"result", std::string(result)}})++;
  // Renewals that succeed are too many for the log.
  if (!grant || outcome.result != grant_call_result::kDone) {
    log_.Write(grant ? "grant_failed" : "keys_released",
               {{"service", settings_.service},
                {"target", call.target.id},
                {"first_key", std::to_string(call.range.keys.first)},
                {"last_key", std::to_string(call.range.keys.last)},
                {"fence", std::to_string(call.range.fence)},
                {"session", std::to_string(outcome.session)},
                {"result", std::string(result)},
                {"detail", outcome.detail}},
               log_priority::kNotable);
  }
  controller_.OnCallOutcome(now, call, outcome);
  ReportUnusableHandovers("target");
}

std::optional<target_grant> range_service::OnHeartbeat(instant now,
                                                       const target_heartbeat& heartbeat) {
  auto grant = controller_.OnHeartbeat(now, heartbeat, lease_.Remaining(now, clock_));
  ReportUnusableHandovers("target");
  return grant;
}

}  // namespace bulrushway
