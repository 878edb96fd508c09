// Messages between a process and its peers: dispatched requests, slice memories, reports and poison
// notices.
#include <algorithm>
#include <utility>

#include "daemon.h"

namespace bulrushway {

node_report daemon::OwnReport(instant now) const {
  node_report report;
  report.node = settings_.node.name;
  report.data_centre = settings_.node.data_centre;
  report.region = settings_.node.region;
  report.process = process_;
  report.stopping = stopping_;
  report.leased = members_.Leased(now);
  report.configuration_version = rules_.Version();
  target_report& target = report.target;
  target.incarnation = slices_.incarnation();
  target.service = settings_.node.service;
  target.accepting = target_up_ && rules_.Configured() && !Leaving();
  target.evacuated = data_centre_out_;
  target.cold = gate_.cap().cold();
  target.slots = TargetSlots();
  target.running = static_cast<uint32_t>(gate_.InFlight());
  target.waiting = static_cast<uint32_t>(gate_.Waiting());
  return report;
}

void daemon::OnPeerRequest(instant now, session_id from, dispatch_request request) {
  const uint64_t id = request.id;
  // The gate may answer before Handle() returns the ticket; such a request is not stored.
  auto answered = std::make_shared<bool>(false);
  const gate::ticket ticket =
      gate_.Handle(now, std::move(request), [this, from, id, answered](dispatch_answer answer) {
        *answered = true;
        peer_requests_.Remove({from, id});
        answer.id = id;
        mesh_.Answer(boot_clock::now(), from, answer);
      });
  if (!*answered) peer_requests_.Add({from, id}, ticket);
}

void daemon::OnPeerCancelled(instant now, session_id from, uint64_t id) {
  if (const auto ticket = peer_requests_.Take({from, id})) gate_.Cancel(now, *ticket);
}

void daemon::OnPeerGone(instant now, session_id from) {
  // The answers can no longer be delivered.
  for (const gate::ticket ticket : peer_requests_.TakeAll(from)) gate_.Cancel(now, ticket);
}

void daemon::OnPeerMessage(instant now, session_id from, const peer_message& message) {
  if (const auto* memory_request = std::get_if<slice_memory_request>(&message)) {
    OnSliceMemoryRequest(from, *memory_request);
  } else if (const auto* memory_answer = std::get_if<slice_memory_answer>(&message)) {
    OnSliceMemoryAnswer(now, *memory_answer);
  } else if (const auto* change = std::get_if<key_map_change>(&message)) {
    members_.OnKeyMapChange(now, *change);
  } else {
    configuration_.OnMessage(now, from, message);
  }
}

void daemon::BroadcastSuspects(instant now) {
  mesh_.SendToAll([this, now](const node_state& peer) {
    return poison_notice{gate_.poison().Export(peer.member.region, now)};
  });
}

void daemon::OnSlicesGained(instant now, const std::vector<gained_slice>& slices) {
  log_.Write(event_id::kSlicesGained, {{"slices", std::to_string(slices.size())}});
  metrics_.Counter("bulrush_slices_gained_total") += slices.size();
  std::map<std::string, slice_memory_request> requests_by_node;
  for (const gained_slice& gained : slices) {
    const node_state* previous_owner = fleet_.Find(gained.previous_node);
    if (gained.previous_node.empty()) {
      gate_.AcquireFreshSlice(gained.slice);
    } else if (previous_owner == nullptr || !previous_owner->reachable ||
               gained.previous_node == settings_.node.name) {
      gate_.AcquireSliceWithoutMemory(gained.slice);
    } else {
      gate_.AwaitSliceMemory(now, gained.slice);
      requests_by_node[gained.previous_node].slices.push_back(gained.slice);
    }
  }
  for (const auto& [node, request] : requests_by_node) {
    if (mesh_.SendMessage(node, request)) continue;
    for (const slice_number slice : request.slices) gate_.OnNoSliceMemory(slice);
  }
}

void daemon::OnSlicesLost(instant now, const std::vector<slice_number>& slices, bool lapsed) {
  log_.Write(event_id::kSlicesLost,
             {{"slices", std::to_string(slices.size())}, {"lapsed", lapsed ? "yes" : "no"}});
  metrics_.Counter("bulrush_slices_lost_total") += slices.size();
  if (lapsed) {
    const uint64_t aborted_before = gate_.counts().aborted_by_lapse;
    gate_.OnLeaseLapse(now);
    const uint64_t aborted = gate_.counts().aborted_by_lapse - aborted_before;
    if (aborted > 0) log_.Write(event_id::kInFlightCut, {{"requests", std::to_string(aborted)}});
  }
  for (const slice_number slice : slices) gate_.ReleaseSlice(now, slice);
}

void daemon::OnSliceMemoryRequest(session_id from, const slice_memory_request& request) {
  for (const slice_number slice : request.slices) {
    auto memory = gate_.ReleasedSliceMemory(slice);
    slice_memory_answer answer{slice, memory.has_value(), {}};
    if (memory) answer.memory = std::move(*memory);
    mesh_.Reply(from, std::move(answer));
  }
}

void daemon::OnSliceMemoryAnswer(instant now, const slice_memory_answer& answer) {
  if (answer.found) {
    gate_.ImportSliceMemory(now, answer.slice, answer.memory);
  } else {
    gate_.OnNoSliceMemory(answer.slice);
  }
}

std::string daemon::OwnerOf(const std::string& service, slice_number slice) const {
  const service_info* info = rules_.FindService(service);
  if (info == nullptr) return {};
  const slice_location location = LocationOf(service, info->layout, slice);
  return members_.OwnerOf(location.space, location.key);
}

size_t daemon::CountOwnedSlices(const std::string& service) const {
  const service_info* info = rules_.FindService(service);
  if (info == nullptr || !info->keyed) return 0;
  const uint32_t slices = PartitionCount(info->layout) * info->layout.slices_per_partition;
  size_t owned = 0;
  for (slice_number slice = 0; slice < slices; ++slice) {
    const node_state* owner = fleet_.Find(OwnerOf(service, slice));
    if (owner != nullptr && owner->reachable) ++owned;
  }
  return owned;
}

}  // namespace bulrushway
