// Logging of rejections: requests that end with a 4xx status of this process.

#include <utility>

#include "pending_request.h"

namespace bulrushway {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Longest part of a host or path that a line shows.
constexpr size_t kMaxLoggedBytes = 80;

std::string ReasonOf(int status) {
  constexpr int kRequestTimeout = 408;
  constexpr int kBodyTooLarge = 413;
  constexpr int kHeadersTooLarge = 431;
  switch (status) {
    case kRequestTimeout:
      return "request timeout";
    case kBodyTooLarge:
      return "body too large";
    case kHeadersTooLarge:
      return "headers too large";
    default:
      return "malformed";
  }
}

}  // namespace

void request_router::LogRejection(instant now, const rejection& rejected) {
  metrics_.Counter("bulrushway_rejections",
                   {{"reason", rejected.reason}, {"status", std::to_string(rejected.status)}})++;
  const auto table = ports_.configuration();
  const configuration_origin origin = ports_.origin();
  const auto age = duration_cast<milliseconds>(now - origin.adopted);
  log_.Write("request_rejected",
             {{"request", rejected.request_id.empty() ? "-" : rejected.request_id},
              {"status", std::to_string(rejected.status)},
              {"reason", rejected.reason},
              {"host", rejected.host.substr(0, kMaxLoggedBytes)},
              {"target", rejected.target.substr(0, kMaxLoggedBytes)},
              {"detail", rejected.detail},
              {"configuration", table ? std::to_string(table->version()) : "-"},
              {"source", origin.relayed ? "peer" : "store"},
              {"row_version", std::to_string(origin.row_version)},
              {"age_ms", table ? std::to_string(age.count()) : "-"},
              {"newest_reported", std::to_string(origin.newest_reported)}},
             log_priority::kNotable);
}

void request_router::OnRejected(instant now, const rejected_request& rejected) {
  const auto elapsed = duration_cast<milliseconds>(rejected.elapsed);
  LogRejection(
      now,
      {FindHeader(rejected.headers, settings_.headers.request_id), rejected.status,
       ReasonOf(rejected.status), FindHeader(rejected.headers, "Host"), rejected.target,
       "received " + std::to_string(rejected.received) + " bytes in " +
           std::to_string(elapsed.count()) + " ms; limits " + std::to_string(rejected.max_headers) +
           " and " + std::to_string(rejected.max_body)});
}

}  // namespace bulrushway
