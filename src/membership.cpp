#include "membership.h"

#include <algorithm>
#include <utility>

namespace bulrushway {
namespace {

using std::chrono::milliseconds;

// Member table: one row per node, with the address of its process.
constexpr const char* kMemberTable = "members";
// Longest wait of a watch of the members or the key maps. The processes that write these report the
// versions of their changes, so that a silent feed is also noticed by peers.
constexpr milliseconds kMemberFeedWait{10'000};
// Pause between watches after changes. Processes often start together, which changes many rows.
constexpr milliseconds kMemberPause{700};
// The pause for key maps is short, since the previous owner of a moved key refuses requests for it.
// Every process follows every change, so the fleet's calls would grow with the square of its size
// if the pause were constant. A pause proportional to the number of processes limits them to 65
// calls a second in total.
constexpr milliseconds kOwnerPause{150};
constexpr milliseconds kOwnerPausePerMember{15};
// Delays before a failed announcement is retried.
constexpr milliseconds kAnnounceRetry{500};
constexpr milliseconds kLongestAnnounceRetry{2000};
// Longest hold of a grant by call. A call without an answer delays a handover of its keys for this
// long, so that it is shorter than a grant that answers a heartbeat.
constexpr milliseconds kMaxCallHold{4000};

double Seconds(std::chrono::nanoseconds time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

membership::membership(event_loop& loop, decision_log& log, metrics& counters,
                       const row_store& store, fleet_view& fleet, membership_settings settings,
                       membership_events events, grant_call_function call_target)
    : log_(log),
      metrics_(counters),
      store_(store),
      fleet_(fleet),
      settings_(std::move(settings)),
      events_(std::move(events)),
      call_target_(std::move(call_target)),
      member_follower_(
          loop, log, store, kMemberTable, kMemberFeedWait, [] { return kMemberPause; },
          [this](instant now, instant, const std::vector<stored_row>& rows) {
            OnMemberRows(now, rows);
          }),
      key_map_follower_(
          loop, log, store, kKeyMapTable, kMemberFeedWait,
          [this] {
            const auto members = static_cast<int64_t>(fleet_.nodes().size());
            return std::max(kOwnerPause, kOwnerPausePerMember * members);
          },
          [this](instant now, instant sent, const std::vector<stored_row>& rows) {
            OnKeyMapRows(now, sent, rows);
          }),
      announce_backoff_(kAnnounceRetry, kLongestAnnounceRetry),
      announce_retry_(loop, [this](instant) { Announce(); }) {}

void membership::Start(instant now) {
  Announce();
  member_follower_.Start(now);
  key_map_follower_.Start(now);
}

void membership::Announce() {
  if (announcing_ || announced_) return;
  announcing_ = true;
  fleet_.OnMember(settings_.self);
  row_transaction announcement{
      {}, {{{kMemberTable, settings_.self.node}, EncodeMember(settings_.self)}}};
  store_.commit(std::move(announcement), [this](instant, result<row_receipt> outcome) {
    announcing_ = false;
    // The store may have returned from a copy that lacks the row, while the answer was on its way.
    announced_ = outcome && EraOf(outcome->version) >= store_era_;
    if (announced_) return announce_backoff_.OnSuccess();
    log_.Write(
        "announcement_failed",
        {{"reason", outcome ? "The store has returned from a copy." : outcome.error().message}},
        log_priority::kNotable);
    announce_retry_.Once(announce_backoff_.OnFailure());
  });
}

void membership::AddKeySpaces(instant now, const std::vector<key_space>& spaces) {
  for (const key_space& space : spaces) {
    if (Find(space.name) != nullptr) continue;
    range_service_settings ranges{settings_.self.node,    settings_.ip, space.name,
                                  settings_.self.process, {},           {}};
    ranges.controller.node = settings_.self.node;
    ranges.controller.delivery = settings_.grants;
    milliseconds& max_hold = ranges.controller.grants.max_hold;
    if (settings_.grants == grant_delivery_kind::kCall) max_hold = kMaxCallHold;
    max_hold = std::min(max_hold, settings_.longest_grant);
    const auto map_changed = [this](instant answered, const key_map_change& change) {
      OnKeyMapChange(answered, change);
      events_.key_map_changed(answered, change);
    };
    managed_.push_back({space, std::make_unique<range_service>(log_, metrics_, store_, ranges, now,
                                                               map_changed, call_target_)});
  }
}

void membership::Tick(instant now) {
  for (managed_space& managed : managed_) managed.ranges->Tick(now, Candidates(managed.space));
}

void membership::OnStoreEra(instant now, uint64_t era, milliseconds age) {
  store_era_ = std::max(store_era_, era);
  for (managed_space& managed : managed_) managed.ranges->OnStoreEra(now, era, age);
}

void membership::OnStoreReturned(instant now) {
  rows_outdated_until_ = now + kRewriteTime;
  announced_ = false;
  Announce();
}

void membership::SetTarget(instant now, target_condition condition,
                           const target_incarnation& incarnation, instant ended_before) {
  for (managed_space& managed : managed_) {
    managed.ranges->SetTarget(now, condition, incarnation, ended_before);
  }
}

void membership::OnTargetDisconnected() {
  for (managed_space& managed : managed_) managed.ranges->OnTargetDisconnected();
}

range_service* membership::Find(const std::string& space) {
  return const_cast<range_service*>(std::as_const(*this).Find(space));
}

const range_service* membership::Find(const std::string& space) const {
  const auto found =
      std::find_if(managed_.begin(), managed_.end(),
                   [&space](const managed_space& managed) { return managed.space.name == space; });
  return found == managed_.end() ? nullptr : found->ranges.get();
}

bool membership::Leased(instant now) const {
  return !managed_.empty() &&
         std::all_of(managed_.begin(), managed_.end(),
                     [now](const managed_space& managed) { return managed.ranges->Leased(now); });
}

void membership::OnKeyMapChange(instant now, const key_map_change& change) {
  known_map& known = key_maps_[change.space];
  if (known.version >= change.version) return;
  const auto delta = DecodeDelta(change.delta);
  if (!delta || known.version != change.base_version || !ApplyDelta(known.map, *delta)) {
    // An earlier change has not arrived.
    return RefreshOwners(now);
  }
  known.version = change.version;
  key_map_follower_.OnKnown(change.space, change.version);
  if (range_service* ranges = Find(change.space)) {
    ranges->OnMapChanged(now, known.map, change.version);
  }
  events_.owners_changed(now);
}

double membership::RequestRate(instant now) const {
  double rate = 0;
  for (const managed_space& managed : managed_)
    rate += managed.ranges->controller().RequestRate(now);
  return rate;
}

bool membership::OwnsNoKeys() const {
  return std::all_of(managed_.begin(), managed_.end(), [this](const managed_space& managed) {
    return managed.ranges->controller().map().WidthOf(settings_.self.node) == 0;
  });
}

std::string membership::OwnerOf(const std::string& space, uint32_t key) const {
  const auto map = key_maps_.find(space);
  if (map == key_maps_.end()) return {};
  const owned_range* range = map->second.map.Find(key);
  return range == nullptr ? std::string{} : range->owner.node;
}

std::vector<range_candidate> membership::Candidates(const key_space& space) const {
  std::vector<range_candidate> candidates;
  for (const node_state* node : fleet_.OfService(settings_.self.service)) {
    if (!space.region.empty() && node->member.region != space.region) continue;
    range_candidate candidate;
    candidate.node = node->member.node;
    candidate.target = node->report.target.incarnation;
    candidate.alive = node->reachable && node->reported;
    candidate.leased = node->report.leased;
    candidate.accepting = node->Usable() && node->report.leased;
    const target_report& target = node->report.target;
    // A request needs a slot, its answer the link, and a target may limit the rate of requests; the
    // scarcest of these limits the target.
    candidate.cost = std::max({Seconds(target.usual_work) / std::max(1U, target.slots),
                               Seconds(target.link_time), LimitInterval(target).count()});
    constexpr double kMilliPerUnit = 1000;
    candidate.demand = target.key_request_millirate / kMilliPerUnit * candidate.cost;
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

void membership::CheckOwnRow(const stored_row& row) {
  const auto member = row.deleted ? result<member_record>{settings_.self} : DecodeMember(row.value);
  const bool foreign = member && member->process != settings_.self.process;
  if (!announced_ || !foreign) return;
  log_.Write("duplicate_node",
             {{"address", ToString(member->address)}, {"version", std::to_string(row.version)}},
             log_priority::kNotable);
}

void membership::OnMemberRows(instant now, const std::vector<stored_row>& rows) {
  for (const stored_row& row : rows) {
    if (row.id.key == settings_.self.node) {
      CheckOwnRow(row);
      continue;
    }
    if (row.deleted) {
      fleet_.OnMemberRemoved(row.id.key);
      log_.Write("member_gone", {{"member", row.id.key}}, log_priority::kNotable);
      continue;
    }
    const auto member = DecodeMember(row.value);
    if (!member) {
      log_.Write("member_unreadable", {{"row", row.id.key}, {"reason", member.error().message}},
                 log_priority::kNotable);
      continue;
    }
    if (member->node != row.id.key) {
      log_.Write("member_unreadable",
                 {{"row", row.id.key}, {"reason", "The row names the node " + member->node + "."}},
                 log_priority::kNotable);
      continue;
    }
    const node_state* known = fleet_.Find(member->node);
    const bool live = known != nullptr && known->reachable && known->reported;
    if (live && now < rows_outdated_until_) continue;
    if (!fleet_.OnMember(*member)) continue;
    log_.Write("member_known",
               {{"member", member->node},
                {"address", ToString(member->address)},
                {"service", member->service},
                {"version", std::to_string(row.version)}},
               log_priority::kNotable);
  }
  events_.members_changed(now);
}

void membership::OnKeyMapRows(instant now, instant sent, const std::vector<stored_row>& rows) {
  for (const stored_row& row : rows) {
    if (row.deleted) continue;
    auto map = DecodeKeyMap(row.value);
    if (!map) {
      log_.Write("key_map_unreadable", {{"service", row.id.key}, {"reason", map.error().message}},
                 log_priority::kNotable);
      continue;
    }
    log_.Write("owners_known",
               {{"service", row.id.key},
                {"version", std::to_string(row.version)},
                {"ranges", std::to_string(map->ranges.size())}},
               log_priority::kNotable);
    if (range_service* ranges = Find(row.id.key)) ranges->OnMapRow(now, sent, row);
    known_map& known = key_maps_[row.id.key];
    if (row.version > known.version) known = {std::move(*map), row.version};
  }
  if (!rows.empty()) events_.owners_changed(now);
}

}  // namespace bulrushway
