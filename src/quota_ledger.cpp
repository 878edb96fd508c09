#include "quota_ledger.h"

#include <xxhash.h>

#include <algorithm>

#include "target_heartbeat.h"

namespace bulrushway {

namespace {

// A part keeps the tokens of this time at least, for processes that ask for them in turn.
constexpr std::chrono::duration<double> kLeastBurst{0.1};

}  // namespace

uint32_t QuotaKey(std::string_view workspace, uint32_t part) {
  // Also used as the seed, so that the parts of a workspace lie apart.
  return static_cast<uint32_t>(XXH3_64bits_withSeed(workspace.data(), workspace.size(), part) %
                               (uint64_t{kLastKey} + 1));
}

quota_share ShareOf(const workspace& entry) {
  const double per_second = entry.requests_per_second / kQuotaParts;
  return {per_second, std::max(entry.burst / kQuotaParts, per_second * kLeastBurst.count())};
}

void quota_ledger::SetParts(instant now, const std::map<quota_part, quota_share>& parts) {
  std::erase_if(buckets_, [&](const auto& entry) { return !parts.contains(entry.first); });
  for (const auto& [part, share] : parts) {
    const auto [bucket, added] = buckets_.try_emplace(part);
    bucket->second.Configure(now, share.per_second, share.burst);
    if (added) bucket->second.Empty(now);
  }
}

quota_loan quota_ledger::Issue(instant now, const quota_part& part, uint32_t wanted) {
  quota_loan loan;
  const auto found = buckets_.find(part);
  if (found == buckets_.end()) return loan;
  while (loan.tokens < wanted && found->second.Take(now)) ++loan.tokens;
  if (loan.tokens < wanted) loan.wait = found->second.Wait(now);
  return loan;
}

}  // namespace bulrushway
