// Sends an attempt of a request to the gate of a target, directly or through a relay.

#include <algorithm>
#include <utility>

#include "http_parser.h"
#include "pending_request.h"
#include "process_lease.h"
#include "target_choice.h"

namespace bulrushway {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Longest wait of a request without a key at a busy target while other targets may have a free
// slot.
constexpr milliseconds kMaxWaitWithAlternatives{40};
// Share of the spare time, which is the time left minus the expected work, that a request with no
// other target may wait for a slot.
constexpr double kMaxWaitShare = 0.7;
// The same for a request without a key whose answer will miss its latency target: under lasting
// overload a longer wait delays others and gains nothing.
constexpr double kLateWaitShare = 0.25;

}  // namespace

milliseconds request_router::MaxQueueWait(const pending_request& pending, milliseconds spare,
                                          milliseconds on_time_spare) const {
  spare = std::max(spare, milliseconds{0});
  const auto max_wait = duration_cast<milliseconds>(spare * kMaxWaitShare);
  // A key has only one owner, so that there is no other target to try.
  if (pending.keyed) return max_wait;
  const bool has_alternatives = pending.tries + 1 < kMaxTries;
  if (has_alternatives && on_time_spare > kMaxWaitWithAlternatives)
    return std::min(max_wait, kMaxWaitWithAlternatives);
  // Waits as long as the answer can meet the latency target; a request that misses it in any case
  // waits only a short time, in case the load passes.
  return std::min(max_wait,
                  std::max(on_time_spare, duration_cast<milliseconds>(spare * kLateWaitShare)));
}

dispatch_request request_router::MakeDispatch(instant now, const pending_request& pending,
                                              const node_state& to) const {
  const http_request& original = pending.exchange->request();
  dispatch_request request;
  request.request_id = pending.request_id;
  request.caller = settings_.service;
  request.service = pending.service;
  request.route = pending.matched->name;
  request.key = pending.key;
  request.idempotent = pending.matched->idempotent;
  request.large_answer = pending.matched->large_answers;
  request.rank = pending.matched->rank;
  request.home_regions = pending.home_regions;
  if (const workspace* of = pending.caller_workspace) {
    request.tenant = of->name;
    request.rank = of->rank.value_or(request.rank);
  }
  const auto return_time = duration_cast<milliseconds>(to.round_trip / 2);
  const auto left = duration_cast<milliseconds>(pending.deadline - now) - return_time;
  request.time_left = std::max(left, milliseconds{1});
  request.expected_work = ExpectedWork(pending.matched->name);
  const auto target_left = duration_cast<milliseconds>(pending.on_time_until - now) - return_time;
  request.latency_target_left = target_left;
  const milliseconds work = WorkAt(to.report.target.slowness_percent, request.expected_work);
  request.max_queue_wait = MaxQueueWait(pending, left - work, target_left - work);
  request.request.method = original.method;
  request.request.target = original.target;
  request.request.headers = original.headers;
  if (!pending.table->workspaces().empty()) {
    // Also on public routes, and unknown ones: a newer configuration may have the key.
    RemoveCredentials(request.request.headers);
    std::erase_if(request.request.headers, [this](const auto& header) {
      return EqualIgnoringCase(header.first, settings_.headers.workspace);
    });
  }
  request.request.body = pending.body;
  return request;
}

bool request_router::SendThroughRelay(instant now, const pending_request_ptr& pending,
                                      refusal_reason& reason) {
  const node_state* owner = fleet_.Find(OwnerOf(*pending));
  if (owner == nullptr || pending->tries >= kMaxTries) return false;
  const choice_request request{.home_regions = pending->home_regions, .tried = pending->tried};
  const node_state* relay = ChooseRelay(now, fleet_, *owner, request, rng_);
  if (relay == nullptr) {
    if (request.home_regions.empty() || !MayRelay(now, *owner)) return false;
    reason = refusal_reason::kNoHomeRelay;
    // By then the lease of an owner that is gone has ended, and its keys have another one.
    const auto unreachable = duration_cast<milliseconds>(now - owner->reachable_since);
    pending->retry_after = std::max(lease_settings{}.duration - unreachable, milliseconds{0});
    return false;
  }
  metrics_.Counter("bulrushway_requests_relayed")++;
  SendTo(now, pending, *owner, relay);
  return true;
}

void request_router::SendTo(instant now, const pending_request_ptr& pending, const node_state& to,
                            const node_state* relay) {
  const std::string node = relay == nullptr ? to.member.node : relay->member.node;
  const bool own = to.locality == node_locality::kSelf;
  dispatch_request request = MakeDispatch(now, *pending, to);
  if (relay != nullptr) request.relay_to = to.member.node;
  const uint64_t attempt = ++pending->attempt;
  ++pending->tries;
  pending->tried.push_back(node);
  pending->node = node;
  pending->outstanding = true;
  pending->at_own_gate = own;
  pending->ticket = 0;
  fleet_.OnSent(node);
  const auto done = [this, pending, attempt, node](instant answered, dispatch_answer answer) {
    OnAnswer(answered, pending, attempt, node, std::move(answer));
  };
  if (own) {
    const uint64_t ticket = gate_.Handle(now, std::move(request), done);
    if (pending->attempt == attempt) pending->ticket = ticket;
    return;
  }
  pending->ticket =
      mesh_.Send(now, node, std::move(request), pending->matched->large_answers, done);
  if (pending->ticket != 0) return;
  dispatch_answer unreachable;
  unreachable.reason = refusal_reason::kOwnerUnreachable;
  OnAnswer(now, pending, attempt, node, std::move(unreachable));
}

}  // namespace bulrushway
