#ifndef BULRUSHWAY_IDEMPOTENCY_MEMORY_H
#define BULRUSHWAY_IDEMPOTENCY_MEMORY_H

// Deduplicates requests that must run at most once, at the owner of their key. A repeat with the
// same idempotency key gets the remembered answer, or joins the first attempt while that is
// running. A request that the memory cannot prove to be new is refused with an unknown outcome,
// since an earlier attempt may have been forgotten.

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

/// 128-bit hash of service, tenant, key and idempotency key.
struct request_identity {
  uint64_t high = 0;
  uint64_t low = 0;
  bool operator==(const request_identity&) const = default;
};

/// Computes the identity of a request.
request_identity MakeRequestIdentity(std::string_view service, std::string_view tenant,
                                     std::string_view key, std::string_view idempotency_key);

/// Which attempt this is, according to the caller.
enum class caller_attempt {
  kUnspecified,
  kFirst,
  kRepeat,
};

/// A request with an idempotency key.
struct identified_request {
  request_identity identity;
  uint32_t slice = 0;
  /// Hash of the content of the request. A different one under the same identity is an error of the
  /// caller.
  uint64_t fingerprint = 0;
  caller_attempt attempt = caller_attempt::kUnspecified;
  /// When the caller first sent it, by the caller's clock; the same in each repeat.
  std::optional<wall_time> first_sent;
};

/// What to do with a request.
enum class repeat_verdict {
  /// Run it, then call RecordAnswer(), RecordNotRun() or RecordOutcomeUnknown().
  kNew,
  /// The first attempt is running: send its answer to this caller too.
  kJoin,
  /// Reply with the remembered answer.
  kAnswered,
  /// It may have run and there is no answer: refuse with an unknown outcome.
  kOutcomeUnknown,
  /// The memory does not reach back far enough: refuse with an unknown outcome.
  kForgotten,
  /// A different request has the same identity: refuse as not run.
  kMismatch,
  /// `first_sent` is in the future: refuse as not run.
  kFirstSentInFuture,
  /// The memory is full and nothing in it has expired: refuse as not run.
  kFull,
};

/// Verdict and, for kAnswered, the answer, which is valid until the next call.
struct repeat_decision {
  repeat_verdict verdict = repeat_verdict::kNew;
  const std::string* answer = nullptr;
};

/// Bounds of the memory.
struct idempotency_settings {
  /// How long a request is remembered after its first attempt.
  std::chrono::nanoseconds window = std::chrono::minutes(10);
  /// Maximum difference between the clocks of a caller and this process.
  std::chrono::nanoseconds clock_error = std::chrono::seconds(2);
  /// Maximum total size of the answers. Beyond it, the oldest answers are dropped and only their
  /// identities kept.
  size_t max_answer_bytes = size_t{32} << 20;
  /// Maximum number of remembered requests. Beyond it, new ones are refused.
  size_t max_requests = 200'000;
};

/// State of a remembered request.
enum class remembered_state : uint8_t {
  kRunning,
  kAnswered,
  kUnknown,
};

/// A remembered request in the form that is transferred to the next owner in a planned move.
struct remembered_request {
  request_identity identity;
  uint64_t fingerprint = 0;
  remembered_state state = remembered_state::kUnknown;
  /// Time since the first attempt.
  std::chrono::nanoseconds age{0};
  std::optional<wall_time> first_sent;
  std::string answer;
};

/// All remembered requests of a slice.
struct slice_memory_export {
  /// Requests first sent at or before this time may have been forgotten.
  wall_time watermark{};
  std::vector<remembered_request> requests;
};

/// The memory of one process for all slices that it owns.
class idempotency_memory {
 public:
  explicit idempotency_memory(idempotency_settings settings) : settings_(settings) {}

  /// Starts the memory of a slice that was acquired without the previous owner's memory. Raises the
  /// watermark, so that a request that may have run at another owner is not treated as new. Keeps
  /// requests that are already remembered, for a slice that is acquired again without having been
  /// released.
  void AcquireSliceWithoutMemory(uint32_t slice, wall_time wall_now);

  /// Starts an empty memory of a slice that had no owner before: none of its requests can have run.
  void AcquireFreshSlice(uint32_t slice);

  /// Starts the memory of a slice with that of its previous owner.
  void ImportSlice(uint32_t slice, const slice_memory_export& memory, instant now);

  /// Returns the memory of a slice for the transfer to its next owner; empty if there is none.
  slice_memory_export ExportSlice(uint32_t slice, instant now) const;

  /// Removes the memory of a slice.
  void ForgetSlice(uint32_t slice);

  /// Decides what to do with a request. An unknown slice is first acquired without memory. A
  /// request with neither a first-sent time nor an attempt is new only if the memory covers the
  /// whole window.
  repeat_decision Begin(const identified_request& request, instant now, wall_time wall_now);

  /// Records the answer of a request.
  void RecordAnswer(uint32_t slice, const request_identity& identity, std::string answer);

  /// Records that the request was certainly not sent to a target: a repeat may run.
  void RecordNotRun(uint32_t slice, const request_identity& identity);

  /// Records that the request was sent to a target and its answer is lost.
  void RecordOutcomeUnknown(uint32_t slice, const request_identity& identity);

  /// Total size of the remembered answers, in bytes.
  size_t answer_bytes() const { return answer_bytes_; }

  /// Number of remembered requests.
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
  // Ordered by age. Records of removed requests are skipped, and erased when they outnumber the
  // current ones.
  std::deque<age_record> by_age_;
  std::deque<age_record> by_answer_;
  size_t answer_bytes_ = 0;
  size_t size_ = 0;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_IDEMPOTENCY_MEMORY_H
