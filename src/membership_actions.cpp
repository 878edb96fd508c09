// Carries out what the ownership core asks for.
#include <algorithm>
#include <utility>

#include "membership.h"

namespace bulrushway {
namespace {

event_id EventOf(ownership_event event) {
  switch (event) {
    case ownership_event::kTermActive:
      return event_id::kTermActive;
    case ownership_event::kLapsed:
      return event_id::kLeaseLapsed;
    case ownership_event::kDuplicateNode:
      return event_id::kDuplicateNode;
    case ownership_event::kAddressChanged:
      return event_id::kAddressChanged;
    case ownership_event::kBadRow:
      return event_id::kRowRefused;
    case ownership_event::kClockJumped:
      return event_id::kClockJump;
    case ownership_event::kTermGone:
      return event_id::kTermGone;
    case ownership_event::kTableUnavailable:
      return event_id::kPlatformUnreachable;
    case ownership_event::kTableBack:
      return event_id::kPlatformAnswersAgain;
    default:
      return event_id::kOwnership;
  }
}

std::string NameOf(ownership_event event) {
  switch (event) {
    case ownership_event::kStarted:
      return "started";
    case ownership_event::kTakeOver:
      return "take-over";
    case ownership_event::kRecovered:
      return "recovered";
    case ownership_event::kStopped:
      return "stopped";
    default:
      return "";
  }
}

std::string GoneKey(const term_id& term) { return ToString(term); }

}  // namespace

void membership::RunActions(instant now) {
  for (const ownership_action& action : core_->TakeActions()) {
    std::visit([this, now](const auto& wanted) { Perform(now, wanted); }, action);
  }
}

void membership::Perform(instant, const send_message_action& action) {
  SendTo(action.to, {self_.node, action.to, action.message});
}

void membership::Perform(instant, const commit_action& action) {
  table_.Commit(action.change,
                [this, operation = action.change.operation](const result<void>& outcome) {
                  commit_outcome told = commit_outcome::kApplied;
                  if (!outcome) {
                    const bool conflict = outcome.error().kind == error_kind::kConflict;
                    told = conflict ? commit_outcome::kConflict : commit_outcome::kUnknown;
                  }
                  const instant now = boot_clock::now();
                  core_->OnCommit(now, operation, told);
                  RunActions(now);
                });
}

void membership::Perform(instant, const read_prefix_action& action) {
  table_.ReadPrefix(action.prefix,
                    [this, prefix = action.prefix](const result<std::vector<table_row>>& rows) {
                      const instant now = boot_clock::now();
                      core_->OnRows(now, prefix, rows);
                      RunActions(now);
                    });
}

void membership::Perform(instant now, const publish_claim_action& action) {
  claimed_.clear();
  self_.partition_slices.assign(PartitionCount(layout_), 0);
  for (const slice_epoch& held : action.slices) {
    claimed_.emplace_back(held.slice, held.epoch);
    ++self_.partition_slices[PartitionOf(layout_, held.slice)];
  }
  self_.term = action.term.number;
  self_.first_term = action.first_number;
  self_.witnesses = action.witnesses;
  self_.slices = static_cast<uint32_t>(claimed_.size());
  PublishClaims(now);
  Announce(now);
}

void membership::PublishClaims(instant now) {
  auto claims = MakeClaims(self_.node, self_.service, self_.first_term, claimed_, claim_parts_);
  claim_parts_ = claims.size();
  published_claims_.resize(claims.size());
  for (size_t part = 0; part < claims.size(); ++part) {
    if (claims[part] == published_claims_[part]) continue;
    directory_.OnClaim(claims[part]);
    gossip_.Publish(
        now, {static_cast<uint8_t>(gossip_kind::kClaim), self_.node + "/" + std::to_string(part),
              NextVersion(last_version_), Encode(claims[part])});
    published_claims_[part] = std::move(claims[part]);
  }
}

void membership::Perform(instant now, const publish_fact_action& action) {
  directory_.OnGone(action.gone.node, action.gone.number);
  gossip_.Publish(now, {static_cast<uint8_t>(gossip_kind::kGoneTerm), GoneKey(action.gone),
                        action.gone.number, ""});
}

void membership::Perform(instant now, const slices_gained_action& action) {
  log_.Write(event_id::kSlicesGained, {{"slices", std::to_string(action.slices.size())}});
  metrics_.Counter("bulrush_slices_gained_total") += action.slices.size();
  ports_.gained(now, action.slices);
}

void membership::Perform(instant now, const slices_lost_action& action) {
  log_.Write(event_id::kSlicesLost, {{"slices", std::to_string(action.slices.size())},
                                     {"lapsed", action.lapsed ? "yes" : "no"}});
  metrics_.Counter("bulrush_slices_lost_total") += action.slices.size();
  ports_.lost(now, action.slices, action.lapsed);
}

void membership::Perform(instant, const event_action& action) {
  event_fields fields;
  if (const std::string name = NameOf(action.event); !name.empty()) {
    fields.emplace_back("what", name);
  }
  fields.emplace_back("detail", action.detail);
  log_.Write(EventOf(action.event), std::move(fields));
}

}  // namespace bulrushway
