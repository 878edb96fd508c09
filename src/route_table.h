#ifndef BULRUSHWAY_ROUTE_TABLE_H
#define BULRUSHWAY_ROUTE_TABLE_H

// One version of the operators' configuration as requests see it: which route a request belongs to,
// which service may run it, and what may be done with it.

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushway {

/// A part of a route's traffic.
struct weighted_service {
  std::string service;
  double weight = 1;
};

/// Requests to one host below one path prefix.
struct route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string prefix;
  /// A request may run more than once.
  bool idempotent = false;
  /// Answers are large.
  bool large_answers = false;
  /// Longest time that a caller is kept waiting.
  std::chrono::milliseconds timeout{1000};
  /// Time within which an answer is worth most.
  std::chrono::milliseconds latency_target{1000};
  /// Targets to which one request may be sent at most.
  uint32_t max_attempts = 1;
  /// 0 is the most urgent.
  uint32_t rank = 0;
  /// Services by weight; never empty.
  std::vector<weighted_service> split;
  /// Regions in which requests may be served; empty: all.
  std::vector<std::string> home_regions;
};

/// How targets of a service are to be treated.
struct service_policy {
  std::string name;
  std::string health_path;
  /// Connections that one target accepts from all callers.
  uint32_t max_connections = 64;
  /// Time for which a target is cold after its start.
  std::chrono::milliseconds warm_up{0};
  /// Requests per second that a cold target bears.
  double cold_requests_per_second = 0;
  /// Each key is held by one target at a time.
  bool keyed = false;
};

/// What callers may send, and how long they may take.
struct caller_limits {
  size_t header_bytes = 16 << 10;
  size_t body_bytes = 1 << 20;
  std::chrono::milliseconds request_timeout{3000};
  std::chrono::milliseconds idle_timeout{15'000};
};

/// A version of the configuration. Immutable once built.
class route_table {
 public:
  route_table() = default;
  route_table(uint64_t version, std::vector<route> routes, std::vector<service_policy> services,
              const caller_limits& limits);

  /// Version that the operators gave it; grows from one to the next.
  uint64_t version() const { return version_; }
  const caller_limits& limits() const { return limits_; }
  const std::vector<route>& routes() const { return routes_; }

  /// The route of the host with the longest prefix that begins the path, or null.
  const route* Find(std::string_view host, std::string_view target) const;
  /// The service's policy, or null.
  const service_policy* FindService(const std::string& service) const;

 private:
  uint64_t version_ = 0;
  std::vector<route> routes_;
  std::map<std::string, service_policy> services_;
  caller_limits limits_;
  // Indices of routes by host, longest prefix first.
  std::map<std::string, std::vector<size_t>, std::less<>> by_host_;
};

/// The service that runs this request. Requests are divided by a hash of their id, so that the
/// shares hold on every process without coordination and a repeat stays with its part.
const std::string& ChooseService(const route& matched_route, std::string_view request_id);

}  // namespace bulrushway

#endif  // BULRUSHWAY_ROUTE_TABLE_H
