#ifndef BULRUSHWAY_PEER_MESSAGES_H
#define BULRUSHWAY_PEER_MESSAGES_H

// What processes say to each other about requests. Plain values; peer_codec.h puts them on the
// wire.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "http_message.h"
#include "idempotency_memory.h"
#include "poison_registry.h"
#include "refusal.h"
#include "target_heartbeat.h"

namespace bulrushway {

/// The caller went away or another copy of the request has won.
struct cancel_request {
  uint64_t id = 0;
};

/// The newest head of the configuration, from a process that has read it from the platform.
struct configuration_notice {
  std::string head;
};

/// Asks a peer for a document of the configuration.
struct document_request {
  std::string hash;
};

/// The document, or found = false.
struct document_answer {
  std::string hash;
  bool found = false;
  std::string bytes;
};

/// Asks a peer how fresh its configuration is known to be.
struct freshness_request {
  uint64_t sequence = 0;
};

/// The newest version that the platform is known to have had `age` before this answer.
struct freshness_answer {
  uint64_t sequence = 0;
  uint64_t version = 0;
  std::chrono::milliseconds age{0};
};

/// The new owner of slices asks the last one what it remembers of requests that must not run twice.
struct slice_memory_request {
  std::vector<uint32_t> slices;
};

/// What the last owner remembers of one slice; `known` is false when it remembers nothing.
struct slice_memory_answer {
  uint32_t slice = 0;
  bool found = false;
  slice_memory_export memory;
};

/// State of the target beside a process, as its gate knows it.
struct target_report {
  target_incarnation incarnation;
  std::string service;
  /// Takes new requests.
  bool accepting = false;
  /// Its data centre is taken out of service by operators.
  bool evacuated = false;
  bool cold = false;
  uint32_t slots = 0;
  uint32_t running = 0;
  uint32_t waiting = 0;
  /// Usual time that a request holds a slot.
  std::chrono::milliseconds usual_work{0};
  /// Time for which an answer usually occupies the link of the target's machine.
  std::chrono::microseconds link_time{0};
  /// How long work takes on the target's machine at this moment, in percent of the usual.
  uint32_t pace_percent = 100;
  /// Requests per second for the target's keys, in thousandths.
  uint32_t key_request_millirate = 0;
  /// Requests per second that the target may still be given, when cold.
  uint32_t cold_rate = 0;
};

/// What a process tells its peers of itself at regular intervals. The receiver answers with a
/// node_report_receipt, by which the sender knows that the connection works both ways.
struct node_report {
  std::string node;
  std::string data_centre;
  std::string region;
  /// Life of the process.
  uint64_t process = 0;
  /// Grows with each report of a life.
  uint64_t sequence = 0;
  /// The process is stopping and takes no new requests.
  bool stopping = false;
  /// The process holds its lease.
  bool leased = false;
  uint64_t configuration_version = 0;
  target_report target;
};

/// Receipt of a node_report.
struct node_report_ack {
  uint64_t sequence = 0;
};

/// A caller's request on its way to the gate beside the chosen target.
struct dispatch_request {
  /// Unique on the connection; the answer carries it back.
  uint64_t id = 0;
  /// The caller's id of the request.
  std::string request_id;
  /// Service that runs beside the process where the request began.
  std::string caller;
  std::string service;
  std::string route;
  /// Node to which the receiver is to pass the request on; empty: it is for the receiver's own
  /// target.
  std::string relay_to;
  std::optional<uint32_t> key;
  /// The key where callers name it by text, and the slice that it belongs to.
  std::string key_name;
  uint32_t slice = 0;
  /// Whose request it is.
  std::string tenant;
  /// Names the request for repeats; empty: repeats are not recognized.
  std::string idempotency_key;
  /// Which attempt the caller says this is: 0 unsaid, 1 first, 2 repeat.
  uint8_t caller_attempt = 0;
  /// When the caller first sent it, by the caller's wall clock; zero when unsaid.
  std::chrono::milliseconds first_sent{0};
  bool idempotent = false;
  bool large_answer = false;
  uint32_t rank = 0;
  /// Regions in which the request may be served; empty: all.
  std::vector<std::string> home_regions;
  /// Time until the caller gives up.
  std::chrono::milliseconds time_left{0};
  /// Time until an answer is late; negative when it is late already.
  std::chrono::milliseconds latency_target_left{0};
  /// Longest wait for a slot after which the request is better refused.
  std::chrono::milliseconds max_queue_wait{0};
  /// Usual time of the work; zero when unknown.
  std::chrono::milliseconds expected_work{0};
  http_request request;
};

/// The answer to a dispatch_request: the target's answer, or why there is none.
struct dispatch_answer {
  uint64_t id = 0;
  /// kNone when the target answered.
  refusal_reason reason = refusal_reason::kNone;
  run_state state = run_state::kNotRun;
  /// Bytes of the request were handed to the target.
  bool sent_to_target = false;
  /// When the target is likely to have room; zero when unknown.
  std::chrono::milliseconds retry_after{0};
  /// Node that owns the key, as the gate that does not knows it; empty when unknown.
  std::string owner;
  /// Time that the target took.
  std::chrono::milliseconds work{0};
  /// The target's state after this request.
  target_report target;
  http_answer answer;
};

/// Requests that were at targets when these crashed, as far as the receiver may know of them.
struct poison_notice {
  std::vector<poison_entry> entries;
};

/// The map of owners has changed, and the receiver owns keys that it did not own before. Told to
/// new owners only; everybody else hears it from the store.
struct keys_assigned_notice {
  std::string service;
  /// Version of the map.
  uint64_t version = 0;
};

/// Any message between processes. The order is part of the protocol: append only.
using peer_message =
    std::variant<cancel_request, configuration_notice, document_request, document_answer,
                 freshness_request, freshness_answer, slice_memory_request, slice_memory_answer,
                 node_report, node_report_ack, dispatch_request, dispatch_answer, poison_notice,
                 keys_assigned_notice>;

}  // namespace bulrushway

#endif  // BULRUSHWAY_PEER_MESSAGES_H
