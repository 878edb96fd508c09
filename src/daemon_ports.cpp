// How the services of a process reach each other: the ports of gate, entry and membership.
#include <chrono>
#include <utility>

#include "daemon.h"

namespace bulrushway {
gate_ports daemon::MakeGatePorts() {
  gate_ports ports;
  ports.check_rules = [this](instant now, const forward_request& request) {
    return CheckRules(now, request);
  };
  ports.keyed = [this] {
    const service_facts* facts = rules_.FindService(settings_.node.service);
    return facts != nullptr && facts->keyed;
  };
  ports.serves = [this](instant now, uint32_t slice) { return membership_.Serves(now, slice); };
  ports.lease_expiry = [this] { return membership_.LeaseExpiry(); };
  ports.not_served = [this](instant now, uint32_t slice) { return NotServed(now, slice); };
  ports.share = [this](const forward_request& request) { return rules_.Share(request); };
  ports.home_regions = [this](const forward_request& request) {
    return rules_.HomeRegions(request);
  };
  ports.target_state = [this](instant, bool up) { SetTargetUp(up); };
  ports.quarantined = [this](instant, uint64_t fingerprint) {
    log_.Write(event_id::kRequestQuarantined, {{"fingerprint", std::to_string(fingerprint)}});
  };
  ports.suspects_changed = [this](instant now) { PublishSuspects(now); };
  return ports;
}

entry_ports daemon::MakeEntryPorts() {
  entry_ports ports;
  ports.configured = [this] { return rules_.Configured(); };
  ports.find_service = [this](const std::string& service) { return rules_.FindService(service); };
  ports.home_regions = [this](const forward_request& request) {
    return rules_.HomeRegions(request);
  };
  ports.idempotent_route = [this](const forward_request& request) {
    return rules_.IdempotentRoute(request);
  };
  ports.may_use = [this](instant, const announcement& to) { return rules_.MayUse(to, WallNow()); };
  ports.configuration_version = [this] { return rules_.Version(); };
  ports.stopping = [this] { return stopping_; };
  ports.learn_owner = [this](const std::string& service, uint32_t slice, const std::string& node) {
    membership_.LearnOwner(service, slice, node);
  };
  return ports;
}

membership_ports daemon::MakeMembershipPorts() {
  membership_ports ports;
  ports.gained = [this](instant now, const std::vector<slice_epoch>& slices) {
    OnGained(now, slices);
  };
  ports.lost = [this](instant now, const std::vector<slice_number>& slices, bool lapsed) {
    if (lapsed) {
      gate_.OnLapse(now);
      if (const uint64_t cut = gate_.counts().cut_by_lapse; cut > 0) {
        log_.Write(event_id::kInFlightCut, {{"total", std::to_string(cut)}});
      }
    }
    for (const slice_number slice : slices) gate_.LoseSlice(now, slice);
  };
  ports.in_flight = [this](slice_number slice) { return gate_.InFlight(slice); };
  ports.item = [this](instant now, const gossip_item& item) { OnItem(now, item); };
  return ports;
}

}  // namespace bulrushway
