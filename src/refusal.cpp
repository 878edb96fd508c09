#include "refusal.h"

#include <array>

namespace bulrushway {
namespace {

constexpr std::array<std::string_view, static_cast<size_t>(refusal_reason::kCount)> kReasonNames = {
    "none",
    "bad_request",
    "body_too_large",
    "unknown_service",
    "no_configuration",
    "home_region",
    "data_centre_out",
    "no_owner",
    "not_owner",
    "owner_unreachable",
    "moving",
    "lease_lapsed",
    "queue_full",
    "deadline_too_short",
    "tenant_share",
    "cold_start",
    "no_target",
    "target_shed",
    "target_unreachable",
    "quarantined",
    "stopping",
    "duplicate_running",
    "outcome_forgotten",
    "answer_lost",
    "answer_crossed",
    "answer_too_large",
    "deadline_passed",
    "cancelled",
    "target_crashed",
    "internal",
    "stale_rules",
    "target_limited",
    "no_home_relay",
    "over_quota",
};

}  // namespace

std::string_view Name(refusal_reason reason) {
  return kReasonNames.at(static_cast<size_t>(reason));
}

std::string_view Name(run_state state) {
  return state == run_state::kNotRun ? "not run" : "outcome unknown";
}

}  // namespace bulrushway
