#ifndef BULRUSHWAY_PEER_MESSAGES_H
#define BULRUSHWAY_PEER_MESSAGES_H

// Messages between processes, as plain structs. peer_codec.h encodes them.

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
#include "row_store.h"
#include "target_heartbeat.h"

namespace bulrushway {

/// Cancels a request: its caller disconnected, or another attempt was answered first.
struct cancel_request {
  /// Id of the dispatch_request.
  uint64_t id = 0;
};

/// The latest configuration head, sent by a process that read it from the platform.
struct configuration_notice {
  std::string head;
};

/// Requests a configuration document by its hash.
struct document_request {
  std::string hash;
};

/// Answer to a document_request; `found` is false when the peer does not have the document.
struct document_answer {
  std::string hash;
  bool found = false;
  std::string bytes;
};

/// Asks a peer which configuration version it last confirmed with the platform.
struct freshness_request {
  uint64_t sequence = 0;
};

/// The latest configuration version that the platform had `age` before this answer was sent.
struct freshness_answer {
  uint64_t sequence = 0;
  uint64_t version = 0;
  std::chrono::milliseconds age{0};
};

/// Sent by the new owner of slices to the previous one: requests the idempotency records of these
/// slices, so that repeats are still recognized.
struct slice_memory_request {
  std::vector<uint32_t> slices;
};

/// Idempotency records of one slice; `found` is false when the previous owner has none.
struct slice_memory_answer {
  uint32_t slice = 0;
  bool found = false;
  slice_memory_export memory;
};

/// Processing time at a target, given the time at a typical target of its service.
inline std::chrono::milliseconds WorkAt(uint32_t slowness_percent,
                                        std::chrono::milliseconds typical_work) {
  constexpr int kPercent = 100;
  return typical_work * slowness_percent / kPercent;
}

/// State of the target beside a process, as seen by its gate.
struct target_report {
  target_incarnation incarnation;
  std::string service;
  /// Whether the target accepts new requests.
  bool accepting = false;
  /// The target has said that it is leaving.
  bool leaving = false;
  /// Operators have taken its data centre out of service.
  bool evacuated = false;
  /// The target has started recently and takes requests at a reduced rate.
  bool cold = false;
  uint32_t slots = 0;
  uint32_t running = 0;
  uint32_t waiting = 0;
  /// Typical time that a request holds a slot.
  std::chrono::milliseconds usual_work{0};
  /// Processing time here relative to a typical target of the service, in percent.
  uint32_t slowness_percent = 100;
  /// Expected time until the large body of a new request would have arrived.
  std::chrono::milliseconds body_wait{0};
  /// Typical time that an answer occupies the network link of the target's machine.
  std::chrono::microseconds link_time{0};
  /// Current processing time on the target's machine as a percentage of the normal one; 200 means
  /// that requests take twice as long.
  uint32_t pace_percent = 100;
  /// Rate of requests for the target's keys, in thousandths of a request per second.
  uint32_t key_request_millirate = 0;
  /// Maximum rate while the target is cold, in requests per second.
  uint32_t cold_rate = 0;
  /// Limit that the target names, in thousandths of a request per second; empty without a limit.
  std::optional<uint32_t> limit_millirate = {};
  /// Expected time until the limit admits a new request.
  std::chrono::milliseconds limit_wait{0};
};

/// Mean time between the requests that the target's limit allows; zero without a limit.
inline std::chrono::duration<double> LimitInterval(const target_report& target) {
  if (!target.limit_millirate) return {};
  return std::chrono::duration<double, std::kilo>(1) / std::max(1U, *target.limit_millirate);
}

/// Periodic report of a process to its peers. The receiver acknowledges it with a node_report_ack,
/// which shows the sender that the connection works in both directions.
struct node_report {
  std::string node;
  std::string data_centre;
  std::string region;
  /// Incarnation of the process; differs after each restart.
  uint64_t process = 0;
  /// Increases with each report of one incarnation.
  uint64_t sequence = 0;
  /// The process is shutting down and accepts no new requests.
  bool stopping = false;
  /// The process holds a valid lease.
  bool leased = false;
  uint64_t configuration_version = 0;
  /// The process follows the store's tables and passes changes on to its data centre.
  bool follows_store = false;
  /// Era of the store, and for how long the process has known of it.
  uint64_t store_era = 0;
  std::chrono::milliseconds store_era_age{0};
  /// Versions of the latest changes that it knows, by table, in the order of followed_tables.
  std::vector<uint64_t> table_changes;
  target_report target;
};

/// Acknowledges a node_report.
struct node_report_ack {
  /// Sequence of the acknowledged report.
  uint64_t sequence = 0;
  /// Node that received the report: an address may be used again by another one.
  std::string node;
};

/// A caller's request, forwarded to the gate of the selected target.
struct dispatch_request {
  /// Unique on the connection; repeated in the answer.
  uint64_t id = 0;
  /// Request id assigned by the caller.
  std::string request_id;
  /// Service of the target beside the process where the request entered.
  std::string caller;
  std::string service;
  std::string route;
  /// Node to which the receiver relays the request; empty when it is for the receiver's own target.
  std::string relay_to;
  std::optional<uint32_t> key;
  /// The key, where callers send keys as text.
  std::string key_name;
  /// Slice of the key.
  uint32_t slice = 0;
  /// Workspace on whose behalf the request runs.
  std::string tenant;
  /// Identifies repeats of the request; empty when repeats cannot be recognized.
  std::string idempotency_key;
  /// Attempt as stated by the caller: 0 not stated, 1 first, 2 repeat.
  uint8_t caller_attempt = 0;
  /// When the caller first sent the request, by the caller's wall clock; zero when not stated.
  std::chrono::milliseconds first_sent{0};
  bool idempotent = false;
  bool large_answer = false;
  /// Priority in the queue of the gate; 0 is the most urgent.
  uint32_t rank = 0;
  /// Regions in which the request may be served; empty means all.
  std::vector<std::string> home_regions;
  /// Time until the caller's deadline.
  std::chrono::milliseconds time_left{0};
  /// Time left within the latency target; negative when the answer is already late.
  std::chrono::milliseconds latency_target_left{0};
  /// Longest wait for a slot; the request is refused when the expected wait is longer.
  std::chrono::milliseconds max_queue_wait{0};
  /// Processing time at a typical target of the service; zero when unknown.
  std::chrono::milliseconds expected_work{0};
  /// Size of the body if it is not part of this message: the sender keeps it until it receives a
  /// body_permit.
  uint64_t separate_body_bytes = 0;
  http_request request;
};

/// Larger bodies are sent when the peer permits them: 16 KiB take 13 ms on a link of 10 Mbit/s.
inline constexpr size_t kMaxInlineBody = 16 << 10;

/// A separate body is sent in pieces of at most this many bytes, each when the peer permits it: a
/// message as large as the body would be held several times at both ends.
inline constexpr size_t kMaxBodyPiece = 512 << 10;

/// Allows the sender of a dispatch_request to send its separate body, or the next piece of it.
struct body_permit {
  /// Id of the dispatch_request.
  uint64_t id = 0;
};

/// The separate body of a dispatch_request, or a piece of it.
struct request_body {
  /// Id of the dispatch_request.
  uint64_t id = 0;
  std::string bytes;
};

/// Answer to a dispatch_request: the target's answer, or the reason for a refusal.
struct dispatch_answer {
  uint64_t id = 0;
  /// kNone when the target answered.
  refusal_reason reason = refusal_reason::kNone;
  run_state state = run_state::kNotRun;
  /// Bytes of the request were, or may have been, sent to the target.
  bool sent_to_target = false;
  /// Estimated time until the target has free capacity; zero when unknown.
  std::chrono::milliseconds retry_after{0};
  /// Set by a gate that does not own the key: the owner according to its table; empty when unknown.
  std::string owner;
  /// Processing time at the target.
  std::chrono::milliseconds work{0};
  /// The target's state after this request.
  target_report target;
  http_answer answer;
};

/// Requests that were running at targets when these crashed. Contains only requests whose home
/// regions allow the receiver to see them.
struct poison_notice {
  std::vector<poison_entry> entries;
};

/// A change of a key map that the sender has committed to the store.
struct key_map_change {
  /// Name of the key space.
  std::string space;
  /// Version of the map that the change is based on, and version after it.
  uint64_t base_version = 0;
  uint64_t version = 0;
  /// Encoded key_map_delta.
  std::string delta;
  /// The receiver passes the change on to its data centre.
  bool pass_on = false;
};

/// Changes of a table of the store, passed on within a data centre.
struct table_changes_notice {
  std::string table;
  /// The rows are all changes after this version of the store, up to `version`.
  uint64_t after = 0;
  uint64_t version = 0;
  /// Empty when they are too large to be passed on: the receiver reads the table.
  std::vector<stored_row> rows;
};

/// Asks a peer for the row of its configuration, where the store does not deliver it.
struct configuration_row_request {
  /// Node that asks.
  std::string node;
  /// Configuration version that it has; 0 when it has none.
  uint64_t newer_than = 0;
};

/// Answer to a configuration_row_request; `found` is false when the peer has no newer configuration
/// or answers too many requests.
struct configuration_row_answer {
  /// Node that answers.
  std::string node;
  bool found = false;
  stored_row row;
};

/// A request that was sent over an earlier connection and has no answer yet.
struct resumed_request {
  /// Id of the dispatch_request.
  uint64_t id = 0;
  /// Generation of the connection that carried it.
  uint64_t generation = 0;
};

/// First message on each connection, from the process that opened it. It replaces the earlier
/// connections of the same origin and purpose: nothing that still arrives over them counts.
struct link_hello {
  /// Node that the sender means: its address may belong to another one by now.
  std::string to;
  /// Identifies the sender until it restarts.
  uint64_t origin = 0;
  /// Purpose of the connection: 0 for small messages, 1 for large ones.
  uint32_t purpose = 0;
  /// Increases with each connection of the origin.
  uint64_t generation = 0;
  /// All requests that the sender still expects answers to.
  std::vector<resumed_request> resumed;
};

/// Answer to a link_hello. The requests that are not listed run, or their answers follow.
struct link_resumed {
  /// Requests that have not arrived and never will: they are certainly not run.
  std::vector<uint64_t> unseen;
  /// Requests of which the receiver knows nothing certain.
  std::vector<uint64_t> unknown;
};

/// Asks for a link_receipt, to learn whether the connection still works.
struct link_probe {
  uint64_t id = 0;
};

/// Says that a dispatch_request or link_probe has arrived, and all those before it.
struct link_receipt {
  uint64_t id = 0;
};

/// The sender has lost a peer and cannot connect to it again. Evidence only: the receiver examines
/// its own connection.
struct peer_suspicion {
  std::string node;
  /// The receiver passes the suspicion on to its data centre.
  bool pass_on = false;
};

/// Asks the issuer of a part of a workspace's quota for tokens.
struct quota_request {
  /// Node that asks.
  std::string node;
  /// Repeated in the answer.
  uint64_t id = 0;
  std::string workspace;
  uint32_t part = 0;
  uint32_t tokens = 0;
};

/// Answer to a quota_request.
struct quota_answer {
  /// Node that answers.
  std::string node;
  uint64_t id = 0;
  std::string workspace;
  uint32_t tokens = 0;
  /// Time until the part has a token again; zero when unknown, or when all were issued.
  std::chrono::milliseconds wait{0};
};

/// Any message between processes. A type's index is its number on the wire: append only.
using peer_message =
    std::variant<cancel_request, configuration_notice, document_request, document_answer,
                 freshness_request, freshness_answer, slice_memory_request, slice_memory_answer,
                 node_report, node_report_ack, dispatch_request, dispatch_answer, poison_notice,
                 key_map_change, body_permit, request_body, table_changes_notice,
                 configuration_row_request, configuration_row_answer, link_hello, link_resumed,
                 link_probe, link_receipt, peer_suspicion, quota_request, quota_answer>;

/// Index of a type in peer_message.
template <class Message, size_t Index = 0>
constexpr uint32_t TypeOf() {
  if constexpr (std::is_same_v<std::variant_alternative_t<Index, peer_message>, Message>) {
    return Index;
  } else {
    return TypeOf<Message, Index + 1>();
  }
}

}  // namespace bulrushway

#endif  // BULRUSHWAY_PEER_MESSAGES_H
