#include "quota_service.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bulrushway {
namespace {

using std::chrono::milliseconds;

// Longest wait of a request for a token.
constexpr milliseconds kMaxWait{150};
// An issuer that has not answered after this time beyond the round trip is not waited for.
constexpr milliseconds kAnswerTime{40};
// Interval at which the parts that this process issues follow the configuration and the owners.
constexpr milliseconds kUpdateInterval{250};
// Bounds of the time for which a workspace without tokens is not asked for again.
constexpr milliseconds kMinDryTime{20};
constexpr milliseconds kMaxDryTime{250};
// The shorter one doubles with each round in which no part has enough, this often at most.
constexpr uint32_t kMaxDoublings = 5;
// Time constant of the measured rate of tokens, and the least rate that callers are told.
constexpr std::chrono::duration<double> kObtainedTime{1};
constexpr double kMinObtained = 1;
// Callers are not told to return later than this.
constexpr milliseconds kLatestReturn{2000};
// Wait that callers are told when no issuer has named one.
constexpr milliseconds kUnknownWait{500};
// Most tokens that one message can ask for.
constexpr uint32_t kMaxTokens = 1000;

}  // namespace

quota_service::quota_service(decision_log& log, metrics& counters, std::string node,
                             quota_service_ports ports)
    : log_(log), metrics_(counters), node_(std::move(node)), ports_(std::move(ports)) {}

void quota_service::UpdateParts(instant now) {
  next_update_ = now + kUpdateInterval;
  std::map<quota_part, quota_share> parts;
  const auto table = ports_.configuration();
  if (table != nullptr) {
    for (const workspace& entry : table->workspaces()) {
      if (!entry.HasQuota()) continue;
      for (uint32_t part = 0; part < kQuotaParts; ++part) {
        if (ports_.issuer_of(QuotaKey(entry.name, part)) != node_) continue;
        parts.emplace(quota_part{entry.name, part}, ShareOf(entry));
      }
    }
  }
  ledger_.SetParts(now, parts);
}

void quota_service::Acquire(instant now, const std::string& workspace, answer done) {
  account_.OnRequest(now, workspace);
  const auto token = account_.Take(now, workspace);
  workspace_state& state = states_[workspace];
  if (token) {
    if (now >= state.dry_until) Ask(now, workspace, state);
    return done(now, {token, {}});
  }
  if (now < state.dry_until) {
    return Refuse(now, workspace, state, std::chrono::ceil<milliseconds>(state.dry_until - now),
                  done);
  }
  state.waiting.push_back({now + kMaxWait, std::move(done)});
  Ask(now, workspace, state);
}

void quota_service::Refuse(instant now, const std::string& workspace, workspace_state& state,
                           milliseconds wait, const answer& done) {
  const double tokens_per_second = std::max(ObtainedAt(now, state), kMinObtained);
  const std::chrono::duration<double> spacing{1 / tokens_per_second};
  state.next_return = std::max(state.next_return, now) +
                      std::chrono::duration_cast<std::chrono::nanoseconds>(spacing);
  state.next_return = std::min(state.next_return, now + kLatestReturn);
  wait = std::max(wait, std::chrono::ceil<milliseconds>(state.next_return - now));
  metrics_.Counter("bulrushway_quota_refusals")++;
  log_.Write("quota_refused",
             {{"workspace", workspace}, {"wait_ms", std::to_string(wait.count())}});
  done(now, {std::nullopt, wait});
}

double quota_service::ObtainedAt(instant now, const workspace_state& state) {
  const std::chrono::duration<double> elapsed = now - state.obtained_at;
  return state.obtained * std::exp(-std::max(0.0, elapsed / kObtainedTime));
}

std::optional<std::pair<uint32_t, std::string>> quota_service::NextIssuer(
    const std::string& workspace, const workspace_state& state) const {
  std::optional<std::pair<uint32_t, std::string>> nearest;
  std::chrono::nanoseconds shortest{0};
  for (uint32_t part = 0; part < kQuotaParts; ++part) {
    if (state.asked.contains(part)) continue;
    const std::string issuer = ports_.issuer_of(QuotaKey(workspace, part));
    if (issuer.empty()) continue;
    if (issuer == node_) return std::pair{part, issuer};
    const auto round_trip = ports_.round_trip(issuer);
    if (!round_trip || (nearest && *round_trip >= shortest)) continue;
    nearest = {part, issuer};
    shortest = *round_trip;
  }
  return nearest;
}

void quota_service::Ask(instant now, const std::string& workspace, workspace_state& state) {
  while (!state.outstanding) {
    const uint32_t missing = std::min(
        kMaxTokens, account_.Missing(now, workspace, static_cast<uint32_t>(state.waiting.size())));
    if (missing == 0) {
      state.asked.clear();
      state.shortest_wait.reset();
      return;
    }
    const auto next = NextIssuer(workspace, state);
    if (!next) return EndRound(now, workspace, state);
    const auto& [part, issuer] = *next;
    state.asked.insert(part);
    if (issuer == node_) {
      const quota_loan loan =
          ports_.may_issue(now) ? ledger_.Issue(now, {workspace, part}, missing) : quota_loan{};
      TakeLoan(now, now, workspace, state, part, loan);
      continue;
    }
    const uint64_t id = next_question_++;
    if (!ports_.send(issuer, quota_request{node_, id, workspace, part, missing})) continue;
    const auto round_trip = ports_.round_trip(issuer).value_or(std::chrono::nanoseconds{0});
    state.outstanding = question{id, part, now, now + round_trip + kAnswerTime};
  }
}

void quota_service::TakeLoan(instant now, instant asked, const std::string& workspace,
                             workspace_state& state, uint32_t part, const quota_loan& loan) {
  if (loan.tokens > 0) {
    account_.Add(asked, workspace, loan.tokens);
    state.obtained = ObtainedAt(now, state) + loan.tokens / kObtainedTime.count();
    state.obtained_at = now;
    // The part may have more.
    state.dry_rounds = 0;
    if (loan.wait.count() == 0) state.asked.erase(part);
  }
  if (loan.wait.count() > 0) {
    state.shortest_wait = std::min(state.shortest_wait.value_or(loan.wait), loan.wait);
  }
  while (!state.waiting.empty()) {
    const auto token = account_.Take(now, workspace);
    if (!token) break;
    const waiting_request served = std::move(state.waiting.front());
    state.waiting.pop_front();
    served.done(now, {token, {}});
  }
}

void quota_service::EndRound(instant now, const std::string& workspace, workspace_state& state) {
  const milliseconds wait = state.shortest_wait.value_or(kUnknownWait);
  const milliseconds pause = kMinDryTime * (1U << std::min(state.dry_rounds++, kMaxDoublings));
  state.dry_until = now + std::min(std::max(pause, wait), kMaxDryTime);
  state.asked.clear();
  state.shortest_wait.reset();
  std::deque<waiting_request> waiting;
  waiting.swap(state.waiting);
  for (const waiting_request& refused : waiting) Refuse(now, workspace, state, wait, refused.done);
}

quota_answer quota_service::OnRequest(instant now, const quota_request& request) {
  quota_answer result{node_, request.id, request.workspace, 0, milliseconds{0}};
  if (!ports_.may_issue(now)) return result;
  const quota_loan loan =
      ledger_.Issue(now, {request.workspace, request.part}, std::min(request.tokens, kMaxTokens));
  result.tokens = loan.tokens;
  result.wait = loan.wait;
  metrics_.Counter("bulrushway_quota_tokens_issued") += loan.tokens;
  return result;
}

void quota_service::OnAnswer(instant now, const quota_answer& received) {
  const auto found = states_.find(received.workspace);
  if (found == states_.end()) return;
  workspace_state& state = found->second;
  // The tokens of an answer that came too late are lost.
  if (!state.outstanding || state.outstanding->id != received.id) return;
  const question asked = *std::exchange(state.outstanding, std::nullopt);
  TakeLoan(now, asked.sent, received.workspace, state, asked.part,
           {received.tokens, received.wait});
  Ask(now, received.workspace, state);
}

void quota_service::Tick(instant now) {
  if (now >= next_update_) {
    UpdateParts(now);
    account_.Expire(now);
  }
  for (auto& [workspace, state] : states_) {
    if (state.outstanding && now >= state.outstanding->until) state.outstanding.reset();
    while (!state.waiting.empty() && state.waiting.front().until <= now) {
      const waiting_request overdue = std::move(state.waiting.front());
      state.waiting.pop_front();
      Refuse(now, workspace, state, state.shortest_wait.value_or(kUnknownWait), overdue.done);
    }
    if (now >= state.dry_until) Ask(now, workspace, state);
  }
  std::erase_if(states_, [&](const auto& entry) {
    const workspace_state& state = entry.second;
    return state.waiting.empty() && !state.outstanding && now >= state.dry_until &&
           account_.Missing(now, entry.first, 0) == 0;
  });
}

}  // namespace bulrushway
