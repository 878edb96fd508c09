#ifndef BULRUSHWAY_RULES_VIEW_H
#define BULRUSHWAY_RULES_VIEW_H

// The configuration in force as the request path asks for it: small questions with quick answers.

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

/// One version of the configuration, indexed.
class rules_view {
 public:
  /// Takes a version into force.
  void Adopt(std::shared_ptr<const configuration> in_force, uint64_t version);

  /// Whether any version is in force.
  bool Configured() const { return in_force_ != nullptr; }
  /// The version in force; 0 when none is.
  uint64_t Version() const { return version_; }
  /// The service; null when the inventory has none of this name.
  const service_info* FindService(const std::string& service) const;
  /// Regions to which the request is bound; empty when it may go anywhere.
  std::vector<std::string> HomeRegions(const dispatch_request& request) const;
  /// Whether the inventory says that the request may run twice without harm.
  bool IsIdempotent(const dispatch_request& request) const;
  /// Whether operators have taken the data centre out.
  bool IsDataCentreOut(const std::string& data_centre) const;
  /// Whether a planned stop of the upstream is in force.
  bool HasActivePlannedStop(const std::string& upstream, std::chrono::sys_seconds wall_now) const;
  /// Whether a member may get new work.
  bool MayReceiveNewWork(const node_state& node, std::chrono::sys_seconds wall_now) const;
  /// Slots and connections of an upstream.
  std::pair<uint32_t, uint32_t> UpstreamCapacity(const std::string& upstream,
                                                 const std::string& service) const;
  /// Weight and priority of the tenant's requests.
  std::pair<double, uint8_t> TenantWeightAndPriority(const dispatch_request& request) const;

 private:
  std::shared_ptr<const configuration> in_force_;
  uint64_t version_ = 0;
  std::map<std::string, service_info> services_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_RULES_VIEW_H
