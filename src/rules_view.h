#ifndef BULRUSHWAY_RULES_VIEW_H
#define BULRUSHWAY_RULES_VIEW_H

// Lookups in the configuration in force, for use on the request path.

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "configuration.h"
#include "entry.h"
#include "peer_messages.h"

namespace bulrushway {

/// The version of the configuration in force, with an index of its services.
class rules_view {
 public:
  /// Puts a version into force.
  void Adopt(std::shared_ptr<const configuration> in_force, uint64_t version);

  /// Whether a version is in force.
  bool Configured() const { return in_force_ != nullptr; }
  /// Number of the version in force; 0 when none is.
  uint64_t Version() const { return version_; }
  /// The service; null when the inventory does not list it.
  const service_info* FindService(const std::string& service) const;
  /// Regions that the request is restricted to; empty when any region may serve it.
  std::vector<std::string> HomeRegions(const dispatch_request& request) const;
  /// Whether the inventory lists the request's route as idempotent, so that it may run more than
  /// once.
  bool IsIdempotent(const dispatch_request& request) const;
  /// Whether operators have taken the data centre out of service.
  bool IsDataCentreOut(const std::string& data_centre) const;
  /// Whether a planned stop of the upstream is active at `wall_now`.
  bool HasActivePlannedStop(const std::string& upstream, std::chrono::sys_seconds wall_now) const;
  /// Whether a node may receive new work: its data centre is in service and it has no planned stop.
  bool MayReceiveNewWork(const node_state& node, std::chrono::sys_seconds wall_now) const;
  /// Slots and connections of an upstream; zeros while no version is in force.
  std::pair<uint32_t, uint32_t> UpstreamCapacity(const std::string& upstream,
                                                 const std::string& service) const;
  /// Queue weight and queue priority of the tenant's requests; a larger priority is more important.
  std::pair<double, uint8_t> TenantWeightAndPriority(const dispatch_request& request) const;

 private:
  std::shared_ptr<const configuration> in_force_;
  uint64_t version_ = 0;
  std::map<std::string, service_info> services_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_RULES_VIEW_H
