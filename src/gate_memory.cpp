// Idempotency in the gate: answers repeats and transfers slice memories between owners.
#include <algorithm>
#include <utility>

#include "gate_job.h"
#include "peer_codec.h"

namespace bulrushway {
namespace {

constexpr std::chrono::milliseconds kShortRetryAfter{50};
// How long the next owner can fetch the memory of a released slice.
constexpr std::chrono::seconds kReleasedMemoryRetention{30};
// How long a new owner waits for the previous owner's memory before it acquires the slice without
// it.
constexpr std::chrono::milliseconds kMemoryTransferTimeout{500};

wall_time WallNow() { return std::chrono::system_clock::now(); }

// Empty if the bytes, which may come from the previous owner, are no answer that callers may get.
std::optional<http_answer> DecodeRememberedAnswer(const std::string& bytes) {
  auto message = DecodeFrame(bytes, "own memory");
  if (!message) return std::nullopt;
  auto* stored = std::get_if<dispatch_answer>(&*message);
  if (stored == nullptr || !IsWritable(stored->answer)) return std::nullopt;
  return std::move(stored->answer);
}

}  // namespace

std::string EncodeRememberedAnswer(const http_answer& answer) {
  dispatch_answer stored;
  stored.answer = answer;
  return EncodeFrame(stored).substr(kFrameHeaderSize);
}

bool gate::ResolveFromMemory(instant now, const std::shared_ptr<job>& pending) {
  const dispatch_request& request = pending->request;
  if (!pending->keyed || request.idempotent || request.idempotency_key.empty()) return false;
  pending->identity = MakeRequestIdentity(request.service, request.tenant, request.key_name,
                                          request.idempotency_key);
  identified_request identified{pending->identity,
                                request.slice,
                                pending->fingerprint,
                                static_cast<caller_attempt>(request.caller_attempt),
                                {}};
  if (request.first_sent.count() > 0) identified.first_sent = wall_time(request.first_sent);
  const repeat_decision decision = memory_.Begin(identified, now, WallNow());
  switch (decision.verdict) {
    case repeat_verdict::kNew:
      pending->tracked_in_memory = true;
      return false;
    case repeat_verdict::kJoin:
      for (const auto& [id, other] : jobs_) {
        if (!other->tracked_in_memory || !(other->identity == pending->identity)) continue;
        other->joined.push_back(pending);
        return true;
      }
      Refuse(pending, refusal_reason::kDuplicateRunning, run_state::kUnknown, kShortRetryAfter);
      return true;
    case repeat_verdict::kAnswered: {
      auto remembered = DecodeRememberedAnswer(*decision.answer);
      if (!remembered) {
        metrics_.Counter("bulrush_remembered_answers_unusable_total")++;
        Refuse(pending, refusal_reason::kAnswerLost, run_state::kUnknown);
        return true;
      }
      ++counts_.answered_from_memory;
      dispatch_answer answer;
      answer.answer = std::move(*remembered);
      answer.answer.headers.emplace_back("X-Bulrush-Repeated", "1");
      Finish(pending, answer);
      return true;
    }
    case repeat_verdict::kOutcomeUnknown:
      Refuse(pending, refusal_reason::kAnswerLost, run_state::kUnknown);
      return true;
    case repeat_verdict::kForgotten:
      Refuse(pending, refusal_reason::kOutcomeForgotten, run_state::kUnknown);
      return true;
    case repeat_verdict::kMismatch:
    case repeat_verdict::kFirstSentInFuture:
      Refuse(pending, refusal_reason::kBadRequest, run_state::kNotRun);
      return true;
    case repeat_verdict::kFull:
      Refuse(pending, refusal_reason::kQueueFull, run_state::kNotRun, kShortRetryAfter);
      return true;
  }
  return false;
}

void gate::ReleaseSlice(instant now, uint32_t slice) {
  awaiting_memory_.erase(slice);
  slice_memory_export memory = memory_.ExportSlice(slice, now);
  released_[slice] = released_memory{now + kReleasedMemoryRetention, std::move(memory)};
  memory_.ForgetSlice(slice);
}

void gate::AcquireSliceWithoutMemory(uint32_t slice) {
  awaiting_memory_.erase(slice);
  memory_.AcquireSliceWithoutMemory(slice, WallNow());
}

void gate::AwaitSliceMemory(instant now, uint32_t slice) {
  awaiting_memory_[slice] = now + kMemoryTransferTimeout;
}

void gate::ImportSliceMemory(instant now, uint32_t slice, const slice_memory_export& memory) {
  if (awaiting_memory_.erase(slice) > 0) memory_.ImportSlice(slice, memory, now);
}

void gate::OnNoSliceMemory(uint32_t slice) {
  if (awaiting_memory_.contains(slice)) AcquireSliceWithoutMemory(slice);
}

std::optional<slice_memory_export> gate::ReleasedSliceMemory(uint32_t slice) const {
  const auto found = released_.find(slice);
  if (found == released_.end()) return std::nullopt;
  return found->second.memory;
}

void gate::ExpireSliceMemories(instant now) {
  std::erase_if(released_, [now](const auto& entry) { return entry.second.until <= now; });
  std::vector<uint32_t> timed_out;
  for (const auto& [slice, until] : awaiting_memory_) {
    if (until <= now) timed_out.push_back(slice);
  }
  for (const uint32_t slice : timed_out) AcquireSliceWithoutMemory(slice);
}

void gate::AcquireFreshSlice(uint32_t slice) { memory_.AcquireFreshSlice(slice); }

}  // namespace bulrushway
