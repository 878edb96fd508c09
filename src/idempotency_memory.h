#ifndef BULRUSHWAY_IDEMPOTENCY_MEMORY_H
#define BULRUSHWAY_IDEMPOTENCY_MEMORY_H

// Memory of the owner of a key for requests that must run at most once. A repeat under the same
// idempotency key is answered from here, or joins the first attempt while that runs. What was
// forgotten is never presumed new: a repeat that the memory cannot vouch for is refused with its
// outcome unknown.

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "clock.h"

namespace bulrushway {

/// Wall clock time, which is comparable between machines up to their clock error.
using wall_time = std::chrono::sys_time<std::chrono::nanoseconds>;

/// Hash of service, tenant, key and idempotency key.
struct request_identity {
  uint64_t high = 0;
  uint64_t low = 0;
  bool operator==(const request_identity&) const = default;
};

/// Makes the identity of a request.
request_identity MakeRequestIdentity(std::string_view service, std::string_view tenant,
                                     std::string_view key, std::string_view idempotency_key);

/// Which attempt the caller says this is.
enum class caller_attempt {
  kUnspecified,
  kFirst,
  kRepeat,
};

/// A request under an idempotency key.
struct identified_request {
  request_identity identity;
  uint32_t slice = 0;
  /// Hash of the rest of the request: another one under the same identity is a mistake of the
  /// caller.
  uint64_t fingerprint = 0;
  caller_attempt attempt = caller_attempt::kUnspecified;
  /// When the caller first sent it, by the caller's clock; the same in each repeat.
  std::optional<wall_time> first_sent;
};

/// What is to be done with a request.
enum class repeat_verdict {
  /// Run it; end it with `Answered`, `NotRun` or `OutcomeUnknown`.
  kNew,
  /// The first attempt is under way: give its answer to this caller too.
  kJoin,
  /// Answer with the remembered answer.
  kAnswered,
  /// It ran or may have run and its answer is not known: refuse, outcome unknown.
  kOutcomeUnknown,
  /// The memory does not reach back far enough: refuse, outcome unknown.
  kForgotten,
  /// Another request under the same identity: refuse, this one was not run.
  kMismatch,
  /// `first_sent` lies in the future: refuse, not run.
  kFirstSentInFuture,
  /// No room without forgetting within the window: refuse, not run.
  kFull,
};

/// Verdict and, for `kAnswered`, the answer, which stays valid until the next call.
struct repeat_decision {
  repeat_verdict verdict = repeat_verdict::kNew;
  const std::string* answer = nullptr;
};

/// Bounds of the memory.
struct idempotency_settings {
  /// How long a request is remembered from its first attempt.
  std::chrono::nanoseconds window = std::chrono::minutes(10);
  /// Largest difference between the clocks of a caller and this process.
  std::chrono::nanoseconds clock_error = std::chrono::seconds(2);
  /// Bytes of answers; beyond, the oldest answers are dropped and only their identities kept.
  size_t max_answer_bytes = size_t{32} << 20;
  /// Requests remembered; beyond, new ones are refused.
  size_t max_requests = 200'000;
};

/// State of a remembered request.
enum class remembered_state : uint8_t {
  kRunning,
  kAnswered,
  kUnknown,
};

/// A remembered request as it travels to the next owner in a planned move.
struct remembered_request {
  request_identity identity;
  uint64_t fingerprint = 0;
  remembered_state state = remembered_state::kUnknown;
  /// Time since the first attempt.
  std::chrono::nanoseconds age{0};
  std::optional<wall_time> first_sent;
  std::string answer;
};

/// Everything remembered of a slice.
struct slice_memory_export {
  /// First-sent times at or before this one are not vouched for.
  wall_time watermark{};
  std::vector<remembered_request> requests;
};

/// The memory of one process for all slices that it owns.
class idempotency_memory {
 public:
  explicit idempotency_memory(idempotency_settings settings) : settings_(settings) {}

  /// Starts to remember a slice that came without its memory. Repeats that may have been sent to
  /// another owner before are not vouched for. What is remembered already stays, so that a slice
  /// that is gained again without having been lost forgets nothing.
  void AcquireSliceWithoutMemory(uint32_t slice, wall_time wall_now);

  /// Starts to remember a slice that nobody owned before: nothing of it can have run.
  void AcquireFreshSlice(uint32_t slice);

  /// Starts to remember a slice with the memory of its last owner.
  void ImportSlice(uint32_t slice, const slice_memory_export& memory, instant now);

  /// The memory of a slice that is given away.
  slice_memory_export ExportSlice(uint32_t slice, instant now) const;

  /// Forgets a slice that is no longer owned.
  void ForgetSlice(uint32_t slice);

  /// Decides what to do with a request. A slice that was not gained counts as gained now. A request
  /// of which the caller says neither when it was first sent nor which attempt it is, is new only
  /// when the memory reaches back over the whole window.
  repeat_decision Begin(const identified_request& request, instant now, wall_time wall_now);

  /// The request ran and this is its answer.
  void RecordAnswer(uint32_t slice, const request_identity& identity, std::string answer);

  /// The request was certainly not handed to a target: a repeat may run.
  void RecordNotRun(uint32_t slice, const request_identity& identity);

  /// The request was handed over and its answer is lost.
  void RecordOutcomeUnknown(uint32_t slice, const request_identity& identity);

  /// Bytes of the answers held.
  size_t answer_bytes() const { return answer_bytes_; }

  /// Requests remembered.
  size_t size() const { return size_; }

 private:
  struct identity_hash {
    size_t operator()(const request_identity& id) const { return id.low; }
  };
  struct entry {
    uint64_t fingerprint = 0;
    remembered_state state = remembered_state::kRunning;
    instant first_seen{};
    std::optional<wall_time> first_sent;
    std::string answer;
  };
  struct slice_memory {
    wall_time watermark{};
    std::unordered_map<request_identity, entry, identity_hash> entries;
  };
  struct age_record {
    uint32_t slice;
    request_identity identity;
    instant first_seen;
  };

  entry* Find(uint32_t slice, const request_identity& identity);
  bool IsCertainlyNew(const identified_request& request, const slice_memory& memory,
                      wall_time wall_now) const;
  void Insert(uint32_t slice, slice_memory& memory, const request_identity& identity, entry added);
  void Expire(instant now);
  void DropOldAnswers();
  void DropAnswer(entry& stored);
  bool IsCurrent(const age_record& item);
  void Compact();

  idempotency_settings settings_;
  std::unordered_map<uint32_t, slice_memory> slices_;
  // In order of arrival. Items of requests that were taken out meanwhile are skipped.
  // They are swept out when they are the larger part.
  std::deque<age_record> by_age_;
  std::deque<age_record> by_answer_;
  size_t answer_bytes_ = 0;
  size_t size_ = 0;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_IDEMPOTENCY_MEMORY_H
