#include "configuration_certainty.h"

#include "store_era.h"

namespace bulrushway {
namespace {

// A store has lost nothing in its first era, or when it has no eras.
constexpr uint64_t kFirstEra = 1;

}  // namespace

configuration_certainty CertaintyOf(instant now, const configuration_evidence& evidence) {
  if (evidence.newest_reported > evidence.version) return configuration_certainty::kBehind;
  if (!evidence.confirmed) return configuration_certainty::kUnconfirmed;
  const bool may_have_lost = evidence.store_era > kFirstEra;
  if (may_have_lost && now - evidence.started < kRewriteTime) {
    return configuration_certainty::kUnconfirmed;
  }
  return configuration_certainty::kNewest;
}

std::string_view Name(configuration_certainty certainty) {
  switch (certainty) {
    case configuration_certainty::kBehind:
      return "behind";
    case configuration_certainty::kUnconfirmed:
      return "unconfirmed";
    case configuration_certainty::kNewest:
      break;
  }
  return "newest";
}

}  // namespace bulrushway
