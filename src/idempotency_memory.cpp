#include "idempotency_memory.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace bulrushway {
namespace {

// Prefixes each part with its length, so that different lists of parts give different bytes.
void AppendPart(std::string& bytes, std::string_view part) {
  const auto size = static_cast<uint64_t>(part.size());
  bytes.append(reinterpret_cast<const char*>(&size), sizeof(size));
  bytes.append(part);
}

}  // namespace

request_identity MakeRequestIdentity(std::string_view service, std::string_view tenant,
                                     std::string_view key, std::string_view idempotency_key) {
  std::string bytes;
  AppendPart(bytes, service);
  AppendPart(bytes, tenant);
  AppendPart(bytes, key);
  AppendPart(bytes, idempotency_key);
  const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
  return {hash.high64, hash.low64};
}

void idempotency_memory::AcquireSliceWithoutMemory(uint32_t slice, wall_time wall_now) {
  wall_time& watermark = slices_[slice].watermark;
  watermark = std::max(watermark, wall_now + settings_.clock_error);
}

void idempotency_memory::AcquireFreshSlice(uint32_t slice) {
  ForgetSlice(slice);
  slices_[slice].watermark = wall_time{};
}

void idempotency_memory::ImportSlice(uint32_t slice, const slice_memory_export& memory,
                                     instant now) {
  ForgetSlice(slice);
  slice_memory& imported = slices_[slice];
  imported.watermark = memory.watermark;
  for (const remembered_request& request : memory.requests) {
    entry added{request.fingerprint, request.state, now - request.age, request.first_sent,
                request.answer};
    // The outcome of a request that was still running at the previous owner is unknown here.
    if (added.state == remembered_state::kRunning) added.state = remembered_state::kUnknown;
    Insert(slice, imported, request.identity, std::move(added));
  }
  std::sort(by_age_.begin(), by_age_.end(), [](const age_record& left, const age_record& right) {
    return left.first_seen < right.first_seen;
  });
  DropOldAnswers();
}

slice_memory_export idempotency_memory::ExportSlice(uint32_t slice, instant now) const {
  slice_memory_export memory;
  const auto found = slices_.find(slice);
  if (found == slices_.end()) return memory;
  memory.watermark = found->second.watermark;
  for (const auto& [identity, stored] : found->second.entries) {
    memory.requests.push_back({identity, stored.fingerprint, stored.state, now - stored.first_seen,
                               stored.first_sent, stored.answer});
  }
  return memory;
}

void idempotency_memory::ForgetSlice(uint32_t slice) {
  const auto found = slices_.find(slice);
  if (found == slices_.end()) return;
  for (auto& [identity, stored] : found->second.entries) DropAnswer(stored);
  size_ -= found->second.entries.size();
  slices_.erase(found);
}

bool idempotency_memory::IsCertainlyNew(const identified_request& request,
                                        const slice_memory& memory, wall_time wall_now) const {
  if (request.attempt == caller_attempt::kFirst) return true;
  if (request.first_sent) return *request.first_sent > memory.watermark;
  if (request.attempt == caller_attempt::kRepeat) return false;
  return memory.watermark + settings_.window <= wall_now;
}

repeat_decision idempotency_memory::Begin(const identified_request& request, instant now,
                                          wall_time wall_now) {
  Expire(now);
  if (!slices_.contains(request.slice)) AcquireSliceWithoutMemory(request.slice, wall_now);
  slice_memory& memory = slices_.at(request.slice);
  if (const entry* existing = Find(request.slice, request.identity)) {
    if (existing->fingerprint != request.fingerprint) return {repeat_verdict::kMismatch, nullptr};
    switch (existing->state) {
      case remembered_state::kRunning:
        return {repeat_verdict::kJoin, nullptr};
      case remembered_state::kAnswered:
        return {repeat_verdict::kAnswered, &existing->answer};
      case remembered_state::kUnknown:
        return {repeat_verdict::kOutcomeUnknown, nullptr};
    }
  }
  if (request.first_sent && *request.first_sent > wall_now + settings_.clock_error) {
    return {repeat_verdict::kFirstSentInFuture, nullptr};
  }
  if (!IsCertainlyNew(request, memory, wall_now)) return {repeat_verdict::kForgotten, nullptr};
  if (size_ >= settings_.max_requests) return {repeat_verdict::kFull, nullptr};
  entry added;
  added.fingerprint = request.fingerprint;
  added.first_seen = now;
  added.first_sent = request.first_sent;
  Insert(request.slice, memory, request.identity, std::move(added));
  return {repeat_verdict::kNew, nullptr};
}

void idempotency_memory::Insert(uint32_t slice, slice_memory& memory,
                                const request_identity& identity, entry added) {
  by_age_.push_back({slice, identity, added.first_seen});
  if (added.state == remembered_state::kAnswered) {
    answer_bytes_ += added.answer.size();
    by_answer_.push_back(by_age_.back());
  }
  if (memory.entries.emplace(identity, std::move(added)).second) ++size_;
}

idempotency_memory::entry* idempotency_memory::Find(uint32_t slice,
                                                    const request_identity& identity) {
  const auto memory = slices_.find(slice);
  if (memory == slices_.end()) return nullptr;
  const auto found = memory->second.entries.find(identity);
  return found == memory->second.entries.end() ? nullptr : &found->second;
}

void idempotency_memory::RecordAnswer(uint32_t slice, const request_identity& identity,
                                      std::string answer) {
  entry* stored = Find(slice, identity);
  if (stored == nullptr || stored->state == remembered_state::kAnswered) return;
  stored->state = remembered_state::kAnswered;
  stored->answer = std::move(answer);
  answer_bytes_ += stored->answer.size();
  by_answer_.push_back({slice, identity, stored->first_seen});
  DropOldAnswers();
}

void idempotency_memory::RecordNotRun(uint32_t slice, const request_identity& identity) {
  const entry* stored = Find(slice, identity);
  if (stored == nullptr || stored->state != remembered_state::kRunning) return;
  slices_.at(slice).entries.erase(identity);
  --size_;
}

void idempotency_memory::RecordOutcomeUnknown(uint32_t slice, const request_identity& identity) {
  entry* stored = Find(slice, identity);
  if (stored != nullptr && stored->state == remembered_state::kRunning) {
    stored->state = remembered_state::kUnknown;
  }
}

void idempotency_memory::DropAnswer(entry& stored) {
  if (stored.state != remembered_state::kAnswered) return;
  answer_bytes_ -= stored.answer.size();
  std::string().swap(stored.answer);
  stored.state = remembered_state::kUnknown;
}

void idempotency_memory::DropOldAnswers() {
  while (answer_bytes_ > settings_.max_answer_bytes && !by_answer_.empty()) {
    const age_record oldest = by_answer_.front();
    by_answer_.pop_front();
    if (IsCurrent(oldest)) DropAnswer(*Find(oldest.slice, oldest.identity));
  }
}

// Whether the record still refers to a remembered request.
bool idempotency_memory::IsCurrent(const age_record& item) {
  const entry* stored = Find(item.slice, item.identity);
  return stored != nullptr && stored->first_seen == item.first_seen;
}

void idempotency_memory::Compact() {
  constexpr size_t kSlack = 1024;
  const auto outdated = [this](const age_record& item) { return !IsCurrent(item); };
  if (by_age_.size() > 2 * size_ + kSlack) std::erase_if(by_age_, outdated);
  if (by_answer_.size() > 2 * size_ + kSlack) std::erase_if(by_answer_, outdated);
}

void idempotency_memory::Expire(instant now) {
  while (!by_age_.empty() && now - by_age_.front().first_seen >= settings_.window) {
    const age_record oldest = by_age_.front();
    by_age_.pop_front();
    if (!IsCurrent(oldest)) continue;
    entry* stored = Find(oldest.slice, oldest.identity);
    // A running request is kept until it ends; its record moves to the back.
    if (stored->state == remembered_state::kRunning) {
      stored->first_seen = now;
      by_age_.push_back({oldest.slice, oldest.identity, now});
      continue;
    }
    slice_memory& memory = slices_.at(oldest.slice);
    if (stored->first_sent) memory.watermark = std::max(memory.watermark, *stored->first_sent);
    DropAnswer(*stored);
    memory.entries.erase(oldest.identity);
    --size_;
  }
  while (!by_answer_.empty() && now - by_answer_.front().first_seen >= settings_.window) {
    by_answer_.pop_front();
  }
  Compact();
}

}  // namespace bulrushway
