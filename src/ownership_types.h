#ifndef BULRUSHWAY_OWNERSHIP_TYPES_H
#define BULRUSHWAY_OWNERSHIP_TYPES_H

// What the ownership modules of a node are told and what they ask for. They do no I/O: their inputs
// are method calls with the present time and their outputs are actions.

#include <chrono>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "clock.h"
#include "ownership_messages.h"
#include "slice.h"
#include "table_service.h"
#include "term.h"

namespace bulrushway {

/// Times and quorums of the protocol. The defaults are safe; the tests break them one at a time to
/// show that a broken rule is noticed.
struct protocol_rules {
  std::chrono::milliseconds renewal_interval{450};
  std::chrono::milliseconds lease_time{1000};
  /// By how much a witness waits longer than the holder, against clocks of different pace.
  std::chrono::milliseconds drift_margin{100};
  /// How long a witness keeps silent after its start.
  std::chrono::milliseconds quiet_time{1100};
  /// How long an attestation round lasts, from the sending of its questions.
  std::chrono::milliseconds round_window{500};
  /// The lease counts from the sending of a renewal, not from its answer.
  bool lease_from_sending = true;
  /// A lapsed lease stays lapsed.
  bool lapse_is_final = true;
  /// A receiver waits for the release of the slice.
  bool receiver_waits_for_release = true;
  /// A witness refuses messages meant for an earlier process of its node.
  bool witness_checks_process = true;
  /// A witness that promised to accept a term's end renews it no more.
  bool promise_closes_term = true;
  /// A node serves under a new term only after its previous one was superseded.
  bool activation_waits_for_supersede = true;
};

/// Who this node is and what it may hold.
struct ownership_settings {
  node_name node;
  std::string address;
  std::string service;
  std::string region;
  std::string data_centre;
  std::string rack;
  slice_layout layout;
  uint32_t weight = 1;
  /// May hold slices. A process beside a target without keys has terms and is a witness only.
  bool owner_capable = true;
  uint32_t heir_count = 4;
  protocol_rules rules;
};

/// A live node as gossip tells it. The core never invents members.
struct member {
  node_name node;
  /// The active term, number 0 while it has none.
  term_id term;
  /// First term of the same process.
  uint64_t first_number = 0;
  std::vector<node_name> witnesses;
  std::string service;
  std::string region;
  std::string data_centre;
  std::string rack;
  /// Held slices, all partitions together.
  uint32_t slice_count = 0;
  /// Held slices of each partition.
  std::vector<uint32_t> partition_slices;
  uint32_t weight = 1;
  bool leaving = false;
  /// May hold slices: false for processes that are witnesses only.
  bool owner_capable = true;
};

enum class commit_outcome : uint8_t { kApplied, kConflict, kUnknown };

struct send_message_action {
  node_name to;
  ownership_message message;
};

struct commit_action {
  transaction change;
};

struct read_prefix_action {
  std::string prefix;
};

/// What the node tells through gossip about itself.
struct publish_claim_action {
  term_id term;
  uint64_t first_number = 0;
  std::vector<node_name> witnesses;
  std::vector<slice_epoch> slices;
  bool leaving = false;
};

/// The term is gone: to be told to all.
struct publish_fact_action {
  term_id gone;
};

struct slices_gained_action {
  std::vector<slice_epoch> slices;
};

/// No new request of these slices may be admitted; those in flight may finish unless `lapsed`.
struct slices_lost_action {
  std::vector<slice_number> slices;
  /// The lease lapsed: requests in flight must be cancelled and answered "outcome unknown".
  bool lapsed = false;
};

enum class ownership_event : uint8_t {
  kStarted,
  kTermActive,
  kLapsed,
  kDuplicateNode,
  kAddressChanged,
  kBadRow,
  kClockJumped,
  kTermGone,
  kTakeOver,
  kTableUnavailable,
  kTableBack,
  kRecovered,
  kStopped,
};

/// One line for the log.
struct event_action {
  ownership_event event = ownership_event::kStarted;
  std::string detail;
};

using ownership_action =
    std::variant<send_message_action, commit_action, read_prefix_action, publish_claim_action,
                 publish_fact_action, slices_gained_action, slices_lost_action, event_action>;

/// Actions in the order in which they were asked for. Messages to the node itself are kept apart.
class outbox {
 public:
  explicit outbox(node_name self) : self_(std::move(self)) {}

  void Send(const node_name& to, ownership_message message) {
    if (to == self_) {
      local_.push_back(std::move(message));
    } else {
      actions_.emplace_back(send_message_action{to, std::move(message)});
    }
  }
  void Send(std::vector<send_message_action> messages) {
    for (send_message_action& item : messages) Send(item.to, std::move(item.message));
  }
  void Log(ownership_event event, std::string detail) {
    actions_.emplace_back(event_action{event, std::move(detail)});
  }
  void Add(ownership_action action) { actions_.push_back(std::move(action)); }
  std::vector<ownership_action> Take() { return std::exchange(actions_, {}); }
  std::vector<ownership_message> TakeLocal() { return std::exchange(local_, {}); }

 private:
  node_name self_;
  std::vector<ownership_action> actions_;
  std::vector<ownership_message> local_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_OWNERSHIP_TYPES_H
