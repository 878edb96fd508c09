#ifndef BULRUSHWAY_TEST_FOLLOWER_DRIVER_H
#define BULRUSHWAY_TEST_FOLLOWER_DRIVER_H

// Drives a configuration_follower on a manual clock and records the actions that it returns.

#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "configuration_follower.h"

namespace bulrushway {

inline constexpr const char* kInventory =
    "[region lima]\ndata_centres = lima-a, lima-b\n[service cronometraje]\nkind = keyed\n";

/// Rules text in which the tenant's share is the version, so that each version has its own hash.
inline std::string RulesOfVersion(uint64_t version) {
  return "[tenant t]\nshare = " + std::to_string(version) + "\n";
}

/// The head of a version whose rules are RulesNumber(version).
inline configuration_head HeadOfVersion(uint64_t version) {
  configuration_head head;
  head.version = version;
  head.base_version = version - 1;
  head.inventory_hash = HashDocument(kInventory);
  head.rules_hash = HashDocument(RulesOfVersion(version));
  head.author = "ana";
  head.operation = "op-" + std::to_string(version);
  return head;
}

/// Runs the follower and records its actions by kind, in order.
struct follower_driver {
  instant now{std::chrono::hours(1)};
  live_members members{{"n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8"}, {"far-1", "far-2"}};
  configuration_follower follower;
  std::vector<poll_head> polls;
  std::vector<fetch_document> fetches;
  std::vector<uint64_t> adopted;
  std::vector<uint64_t> published;
  std::vector<report_event> events;

  explicit follower_driver(const std::string& node = "n1", uint64_t seed = 7)
      : follower(node, instant(std::chrono::hours(1)), seed) {}

  void Record(const follower_actions& actions) {
    for (const follower_action& action : actions) {
      if (std::holds_alternative<poll_head>(action)) polls.push_back({});
      if (const auto* fetch = std::get_if<fetch_document>(&action)) fetches.push_back(*fetch);
      if (const auto* adopt = std::get_if<adopt_configuration>(&action)) {
        adopted.push_back(adopt->value->version);
      }
      if (const auto* publish = std::get_if<publish_head>(&action)) {
        published.push_back(publish->head.version);
      }
      if (const auto* event = std::get_if<report_event>(&action)) events.push_back(*event);
    }
  }

  /// Advances the clock by `time`, with a Tick every 20 ms.
  void AdvanceTime(std::chrono::milliseconds time) {
    for (const instant end = now + time; now < end; now += std::chrono::milliseconds(20)) {
      Record(follower.Tick(now, members));
    }
  }

  /// Answers a poll with this head.
  void AnswerPoll(const configuration_head& head) {
    Record(follower.OnPolled(now, now, Encode(head)));
  }

  /// Delivers a head that `peer` sent.
  void ReceiveHead(const configuration_head& head, const std::string& peer) {
    Record(follower.OnHeadReceived(now, Encode(head), peer));
  }

  /// Delivers both documents of this version.
  void DeliverDocuments(uint64_t version) {
    DeliverDocument(RulesOfVersion(version));
    DeliverDocument(kInventory);
  }

  void DeliverDocument(const std::string& bytes) {
    Record(follower.OnDocument(now, HashDocument(bytes), bytes, ""));
  }

  /// Starts the follower and brings this version into force.
  void StartWith(uint64_t version) {
    AdvanceTime(std::chrono::milliseconds(20));
    AnswerPoll(HeadOfVersion(version));
    DeliverDocuments(version);
    AdvanceTime(kMinStartupGathering + std::chrono::milliseconds(20));
  }
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_TEST_FOLLOWER_DRIVER_H
