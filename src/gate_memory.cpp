// The gate's side of requests that must not run twice: repeats, and what passes between owners.
#include <algorithm>
#include <utility>

#include "gate_job.h"
#include "peer_codec.h"

namespace bulrushway {
namespace {

constexpr std::chrono::milliseconds kRetrySoon{50};
// How long the next owner may ask for what was remembered of a slice.
constexpr std::chrono::seconds kRetiredMemory{30};
// How long a new owner waits for the last owner's memory before it does without.
constexpr std::chrono::milliseconds kMemoryPatience{500};

wall_time WallNow() { return std::chrono::system_clock::now(); }

http_answer Recall(const std::string& bytes) {
  auto message = DecodeFrame(bytes, "own memory");
  return std::get<dispatch_answer>(*message).answer;
}

}  // namespace

std::string RememberedForm(const http_answer& answer) {
  dispatch_answer kept;
  kept.answer = answer;
  return EncodeFrame(kept).substr(kFrameHeaderSize);
}

bool gate::Remembered(instant now, const std::shared_ptr<job>& subject) {
  const dispatch_request& request = subject->request;
  if (!subject->keyed || request.idempotent || request.idempotency_key.empty()) return false;
  subject->identity = MakeRequestIdentity(request.service, request.tenant, request.key_name,
                                          request.idempotency_key);
  identified_request asked{subject->identity,
                           request.slice,
                           subject->fingerprint,
                           static_cast<caller_attempt>(request.caller_attempt),
                           {}};
  if (request.first_sent.count() > 0) asked.first_sent = wall_time(request.first_sent);
  const repeat_decision decision = memory_.Begin(asked, now, WallNow());
  switch (decision.verdict) {
    case repeat_verdict::kNew:
      subject->identified = true;
      return false;
    case repeat_verdict::kJoin:
      for (const auto& [id, other] : jobs_) {
        if (!other->identified || !(other->identity == subject->identity)) continue;
        other->joined.push_back(subject);
        return true;
      }
      Refuse(subject, refusal_reason::kDuplicateRunning, run_state::kUnknown, kRetrySoon);
      return true;
    case repeat_verdict::kAnswered: {
      ++counts_.answered_from_memory;
      dispatch_answer answer;
      answer.answer = Recall(*decision.answer);
      answer.answer.headers.emplace_back("X-Bulrush-Repeated", "1");
      Finish(subject, answer);
      return true;
    }
    case repeat_verdict::kOutcomeUnknown:
      Refuse(subject, refusal_reason::kAnswerLost, run_state::kUnknown);
      return true;
    case repeat_verdict::kForgotten:
      Refuse(subject, refusal_reason::kOutcomeForgotten, run_state::kUnknown);
      return true;
    case repeat_verdict::kMismatch:
    case repeat_verdict::kBadStamp:
      Refuse(subject, refusal_reason::kBadRequest, run_state::kNotRun);
      return true;
    case repeat_verdict::kFull:
      Refuse(subject, refusal_reason::kQueueFull, run_state::kNotRun, kRetrySoon);
      return true;
  }
  return false;
}

void gate::LoseSlice(instant now, uint32_t slice) {
  awaiting_memory_.erase(slice);
  slice_memory_export memory = memory_.ExportSlice(slice, now);
  retired_[slice] = retired_memory{now + kRetiredMemory, std::move(memory)};
  memory_.LoseSlice(slice);
}

void gate::GainSlice(uint32_t slice) {
  awaiting_memory_.erase(slice);
  memory_.GainSlice(slice, WallNow());
}

void gate::AwaitMemory(instant now, uint32_t slice) {
  awaiting_memory_[slice] = now + kMemoryPatience;
}

void gate::ImportMemory(instant now, uint32_t slice, const slice_memory_export& memory) {
  if (awaiting_memory_.erase(slice) > 0) memory_.ImportSlice(slice, memory, now);
}

void gate::GiveUpMemory(uint32_t slice) {
  if (awaiting_memory_.contains(slice)) GainSlice(slice);
}

std::optional<slice_memory_export> gate::RetiredMemory(uint32_t slice) const {
  const auto found = retired_.find(slice);
  if (found == retired_.end()) return std::nullopt;
  return found->second.memory;
}

void gate::ExpireMemories(instant now) {
  std::erase_if(retired_, [now](const auto& entry) { return entry.second.until <= now; });
  std::vector<uint32_t> given_up;
  for (const auto& [slice, until] : awaiting_memory_) {
    if (until <= now) given_up.push_back(slice);
  }
  for (const uint32_t slice : given_up) GainSlice(slice);
}

void gate::GainFirst(uint32_t slice) { memory_.GainFirst(slice); }

}  // namespace bulrushway
