// Rejections: requests that end with a status of this process for what they are or how they
// arrived.

#include <algorithm>
#include <utility>

#include "home_regions.h"
#include "pending_request.h"

namespace bulrushway {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr int kUnauthorized = 401;
constexpr int kUnavailable = 503;
// Longest part of a host or path that a line shows.
constexpr size_t kMaxLoggedBytes = 80;

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
              {"source", origin.row.relayed ? "peer" : "store"},
              {"peer", origin.row.peer.empty() ? "-" : origin.row.peer},
              {"row_version", std::to_string(origin.row.version)},
              {"age_ms", table ? std::to_string(age.count()) : "-"},
              {"newest_reported", std::to_string(origin.newest_reported)}},
             log_priority::kNotable);
}

bool request_router::Reject(instant now, const pending_request_ptr& pending, int status,
                            const std::string& outcome) {
  const http_request& request = pending->exchange->request();
  LogRejection(now, {pending->request_id, status, outcome, FindHeader(request.headers, "Host"),
                     request.target});
  Complete(now, pending, http_answer{status, {}, {}}, outcome);
  return false;
}

bool request_router::IdentifyWorkspace(instant now, const pending_request_ptr& pending) {
  const route& matched = *pending->matched;
  pending->home_regions = matched.home_regions;
  if (matched.is_public || pending->table->workspaces().empty()) return true;
  if (!ports_.may_accept_keys(now)) {
    Refuse(now, pending, refusal_reason::kStaleRules);
    return false;
  }
  const std::string_view key = BearerKey(pending->exchange->request().headers);
  pending->caller_workspace = key.empty() ? nullptr : pending->table->FindWorkspaceByKey(key);
  if (pending->caller_workspace == nullptr) {
    // A newer configuration may have the key, or no workspaces.
    const std::string reason = key.empty() ? "no workspace key" : "unknown workspace key";
    if (RefuseIfUncertain(now, pending, reason)) return false;
    return Reject(now, pending, kUnauthorized, reason);
  }
  pending->home_regions =
      CommonHomeRegions(matched.home_regions, pending->caller_workspace->home_regions);
  const std::vector<std::string>& homes = pending->home_regions;
  if (std::find(homes.begin(), homes.end(), kNoRegion) == homes.end()) return true;
  Refuse(now, pending, refusal_reason::kHomeRegion);
  return false;
}

void request_router::AttemptWithinQuota(instant now, const pending_request_ptr& pending) {
  const workspace* of = pending->caller_workspace;
  if (of == nullptr || !of->HasQuota() || !ports_.take_quota) return Attempt(now, pending);
  ports_.take_quota(now, of->name, [this, pending](instant decided, const quota_verdict& verdict) {
    pending->token = verdict.token;
    if (pending->finished) return ReturnQuota(decided, *pending);
    if (verdict.token) return Attempt(decided, pending);
    pending->retry_after = verdict.wait;
    Refuse(decided, pending, refusal_reason::kOverQuota);
  });
}

void request_router::ReturnQuota(instant now, pending_request& pending) {
  if (!pending.token || pending.may_have_run) return;
  ports_.return_quota(now, pending.caller_workspace->name, *pending.token);
  pending.token.reset();
}

bool request_router::RefuseIfUncertain(instant now, const pending_request_ptr& pending,
                                       const std::string& reason) {
  const configuration_certainty certainty = ports_.certainty(now);
  if (certainty == configuration_certainty::kNewest) return false;
  metrics_.Counter("bulrushway_rejections_withheld",
                   {{"certainty", std::string(Name(certainty))}, {"reason", reason}})++;
  const std::string host = FindHeader(pending->exchange->request().headers, "Host");
  log_.Write("rejection_withheld",
             {{"request", pending->request_id.empty() ? "-" : pending->request_id},
              {"reason", reason},
              {"certainty", std::string(Name(certainty))},
              {"host", host.substr(0, kMaxLoggedBytes)},
              {"target", pending->exchange->request().target.substr(0, kMaxLoggedBytes)},
              {"configuration", std::to_string(pending->table->version())},
              {"newest_reported", std::to_string(ports_.origin().newest_reported)}},
             log_priority::kNotable);
  Refuse(now, pending, refusal_reason::kStaleRules);
  return true;
}

http_answer request_router::OnRejected(instant now, const rejected_request& rejected) {
  const std::string request_id = FindHeader(rejected.headers, settings_.headers.request_id);
  const bool certain =
      ports_.configuration() && ports_.certainty(now) == configuration_certainty::kNewest;
  const bool no_memory = rejected.reason == rejection_reason::kNoMemory;
  const bool refused = no_memory || (!certain && rejected.reason != rejection_reason::kMalformed);
  http_answer answer{rejected.status, {}, {}};
  if (refused) {
    answer.status = kUnavailable;
    answer.headers.emplace_back(settings_.headers.retry_after, RetryAfterText(milliseconds{0}));
    auto reason =
        ports_.configuration() ? refusal_reason::kStaleRules : refusal_reason::kNoConfiguration;
    if (no_memory) reason = refusal_reason::kQueueFull;
    metrics_.CountRefusal(reason, run_state::kNotRun);
  }
  if (!request_id.empty()) answer.headers.emplace_back(settings_.headers.request_id, request_id);
  const auto elapsed = duration_cast<milliseconds>(rejected.elapsed);
  LogRejection(now, {request_id, answer.status, std::string(Name(rejected.reason)),
                     FindHeader(rejected.headers, "Host"), rejected.target,
                     "received " + std::to_string(rejected.received) + " bytes in " +
                         std::to_string(elapsed.count()) + " ms; limits " +
                         std::to_string(rejected.max_headers) + " and " +
                         std::to_string(rejected.max_body)});
  return answer;
}

}  // namespace bulrushway
