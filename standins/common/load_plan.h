#ifndef BULRUSHWAY_LOAD_PLAN_H
#define BULRUSHWAY_LOAD_PLAN_H

// The schedule of the load generator: which request is sent at which time, drawn from a seed. The
// load is open-loop: it does not depend on answers, so that slow answers do not lower the rate.

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "error.h"

namespace bulrushway::standin {

/// One service's share of the load.
struct load_service {
  std::string name;
  /// Requests to keyed services carry a key, and a share of them are writes.
  bool keyed = false;
  /// Share of all requests, 0 to 1.
  double share = 1;
};

/// Parses a list of services, such as "corredores:lookup:0.8,cronometraje:keyed:0.2".
result<std::vector<load_service>> ParseLoadServices(const std::string& text);

/// Parameters of a load.
struct load_settings {
  std::vector<load_service> services;
  /// Mean rate in requests per second; the intervals are exponentially distributed.
  double rate = 100;
  std::chrono::milliseconds duration{10000};
  /// Deadline of each request, measured from its planned send time.
  std::chrono::milliseconds deadline{1000};
  uint64_t keys = 100;
  /// Exponent of the Zipf distribution of keys; 0 means uniform.
  double zipf = 0;
  uint64_t tenants = 4;
  /// Share of the requests to keyed services that are not idempotent.
  double write_share = 0.5;
  /// Share of the writes that carry an idempotency key.
  double idempotency_share = 0.5;
  /// Share of the writes with an idempotency key that are sent a second time shortly afterwards.
  double repeat_share = 0;
  /// Path element before the key, for example "poison".
  std::string item = "item";
  uint64_t seed = 1;
};

/// One planned request.
struct planned_request {
  /// Planned send time, from the start of the load.
  std::chrono::nanoseconds at{0};
  uint32_t service = 0;
  uint32_t key = 0;
  uint32_t tenant = 0;
  bool idempotent = true;
  std::string request_id;
  std::string idempotency_key;
  /// For a repeat under the same idempotency key: request id of the first request; otherwise empty.
  std::string repeat_of;
};

/// Generates the requests of a load in the order of their planned times.
class load_plan {
 public:
  explicit load_plan(load_settings settings);

  /// Returns the next request, or nothing at the end of the load.
  std::optional<planned_request> Next();
  const load_settings& Settings() const { return settings_; }

 private:
  planned_request DrawRequest();
  uint32_t DrawService();
  uint32_t DrawKey();
  double DrawUniform();

  load_settings settings_;
  std::mt19937_64 random_;
  std::vector<double> cumulative_key_shares_;
  std::chrono::nanoseconds at_{0};
  uint64_t next_number_ = 0;
  std::optional<planned_request> next_request_;
  std::vector<planned_request> repeats_;
};

}  // namespace bulrushway::standin

#endif  // BULRUSHWAY_LOAD_PLAN_H
