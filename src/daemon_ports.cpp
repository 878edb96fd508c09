// Callbacks that connect the gate, the entry, the mesh, membership and the slice owner.
#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

#include "daemon.h"

namespace bulrushway {
namespace {

// Maps decisions of components that other programs share to numbered events of the log.
struct decision_event {
  std::string_view name;
  event_id event;
};
constexpr auto kDecisionEvents = std::to_array<decision_event>({
    {"lease_acquired", event_id::kLeaseAcquired},
    {"lease_lapsed", event_id::kLeaseLapsed},
    {"lease_unreadable", event_id::kRowRefused},
    {"key_map_unreadable", event_id::kRowRefused},
    {"member_unreadable", event_id::kRowRefused},
    {"ownership_change", event_id::kOwnersChanged},
    {"duplicate_node", event_id::kDuplicateNode},
    {"member_known", event_id::kMemberJoined},
    {"member_gone", event_id::kMemberLeft},
    {"peer_lost", event_id::kPeerLost},
    {"peer_reachable", event_id::kPeerReachable},
    {"store_call_failed", event_id::kPlatformUnreachable},
    {"store_answers_again", event_id::kPlatformAnswersAgain},
});

}  // namespace

void daemon::OnNotableDecision(std::string_view event, decision_log::fields values) {
  const auto* found = std::ranges::find(kDecisionEvents, event, &decision_event::name);
  if (found == kDecisionEvents.end()) return;
  event_fields fields;
  for (const auto& [name, value] : values) fields.emplace_back(std::string(name), value);
  log_.Write(found->event, std::move(fields));
}

gate_callbacks daemon::MakeGateCallbacks(daemon& self) {
  gate_callbacks callbacks;
  callbacks.check_rules = [&self](instant now, const dispatch_request& request) {
    return self.CheckRules(now, request);
  };
  callbacks.keyed = [&self] {
    const service_info* info = self.rules_.FindService(self.settings_.node.service);
    return info != nullptr && info->keyed;
  };
  callbacks.serving_epoch = [&self](instant now, slice_number slice) {
    return self.slices_.ServingFence(now, slice);
  };
  callbacks.lease_expiry = [&self](instant now) { return self.slices_.LeaseEnd(now); };
  callbacks.not_served_reason = [&self](instant now, slice_number slice) {
    return self.NotServedRefusal(now, slice);
  };
  callbacks.tenant_share = [&self](const dispatch_request& request) {
    return self.rules_.TenantWeightAndPriority(request);
  };
  callbacks.home_regions = [&self](const dispatch_request& request) {
    return self.rules_.HomeRegions(request);
  };
  callbacks.on_target_state = [&self](instant, bool up) { self.SetTargetUp(up); };
  callbacks.on_quarantined = [&self](instant, uint64_t fingerprint) {
    self.log_.Write(event_id::kRequestQuarantined, {{"fingerprint", std::to_string(fingerprint)}});
  };
  callbacks.on_suspects_changed = [&self](instant now) { self.BroadcastSuspects(now); };
  return callbacks;
}

entry_callbacks daemon::MakeEntryCallbacks(daemon& self) {
  entry_callbacks callbacks;
  callbacks.configured = [&self] { return self.rules_.Configured(); };
  callbacks.find_service = [&self](const std::string& service) {
    return self.rules_.FindService(service);
  };
  callbacks.home_regions = [&self](const dispatch_request& request) {
    return self.rules_.HomeRegions(request);
  };
  callbacks.idempotent_route = [&self](const dispatch_request& request) {
    return self.rules_.IsIdempotent(request);
  };
  callbacks.may_use = [&self](instant, const node_state& to) {
    return self.rules_.MayReceiveNewWork(to, WallNow());
  };
  callbacks.stopping = [&self] { return self.stopping_; };
  callbacks.owner_of = [&self](const std::string& service, slice_number slice) {
    return self.OwnerOf(service, slice);
  };
  callbacks.on_owners_outdated = [&self](instant now) { self.members_.RefreshOwners(now); };
  return callbacks;
}

membership_events daemon::MakeMembershipEvents(daemon& self) {
  return {[&self](instant now) { self.mesh_.FollowMembers(now); }, [](instant) {},
          [&self](instant, const key_map_change& change) {
            // A peer that the message does not reach learns of the change from the store.
            self.mesh_.SendToAll([&change](const node_state&) { return change; });
          }};
}

slice_owner_callbacks daemon::MakeSliceCallbacks(daemon& self) {
  return {[&self](instant now, const std::vector<gained_slice>& slices) {
            self.OnSlicesGained(now, slices);
          },
          [&self](instant now, const std::vector<slice_number>& slices, bool lapsed) {
            self.OnSlicesLost(now, slices, lapsed);
          },
          [&self] { return self.gate_.BusySlices(); }};
}

peer_mesh_events daemon::MakeMeshEvents(daemon& self) {
  return {
      [&self](instant now, session_id from, dispatch_request request) {
        self.OnPeerRequest(now, from, std::move(request));
      },
      [&self](instant now, session_id from, uint64_t id) { self.OnPeerCancelled(now, from, id); },
      [&self](instant now, session_id from) { self.OnPeerGone(now, from); },
      [&self](instant now, const node_report& report) { self.fleet_.OnReport(now, report); },
      [&self](instant now) { return self.OwnReport(now); },
      [&self](instant now, const poison_notice& notice) {
        for (const poison_entry& entry : notice.entries) self.gate_.poison().Merge(entry, now);
      },
      [&self](instant now, session_id from, const peer_message& message) {
        self.OnPeerMessage(now, from, message);
      }};
}

}  // namespace bulrushway
