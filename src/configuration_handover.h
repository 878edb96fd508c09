#ifndef BULRUSHWAY_CONFIGURATION_HANDOVER_H
#define BULRUSHWAY_CONFIGURATION_HANDOVER_H

// Hands the newest configuration from process to process where the store does not deliver it: the
// store may have returned from a copy without it, or may not be reached. A process that is behind
// asks one peer at a time, and each process answers a limited number of times a second, so that the
// cost per process does not grow with the fleet.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "clock.h"
#include "peer_messages.h"

namespace bulrushway {

/// Chooses the peer to ask for a newer configuration.
class configuration_search {
 public:
  /// Sends a request to a peer; returns false when there is no connection to it.
  using send_function = std::function<bool(const std::string& node)>;

  configuration_search(std::string node, std::string data_centre, std::string region);

  /// A peer reports the version that it has; `own_version` is in force here.
  void OnReport(const node_report& report, uint64_t own_version);
  /// Forgets the peers that have nothing newer than `version`.
  void OnAdopted(uint64_t version);
  /// Asks the best peer with `send`, at most once an `interval` and while no answer is expected.
  /// Returns the peer that was asked, or an empty string.
  std::string Ask(instant now, std::chrono::milliseconds interval, const send_function& send);
  /// Returns whether an answer of this peer was expected.
  bool OnAnswer(const std::string& node);
  /// Peer whose answer is expected or did not arrive in time; empty when there is none.
  const std::string& outstanding() const { return outstanding_; }

 private:
  struct candidate {
    uint64_t version = 0;
    // 0: same data centre, 1: same region, 2: elsewhere.
    int distance = 2;
    // Differs between the processes that ask, so that they do not all ask the same peer.
    size_t order = 0;
    int requests = 0;
  };
  // The names of the candidates, best first.
  std::vector<std::string> Ranked() const;

  std::string node_;
  std::string data_centre_;
  std::string region_;
  std::map<std::string, candidate> candidates_;
  std::string outstanding_;
  instant next_request_{};
  instant answer_due_{};
};

/// Limits how often a process hands its configuration to peers.
class handover_limit {
 public:
  /// Whether another answer may be sent at `now`.
  bool Take(instant now);

 private:
  instant next_{};
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_CONFIGURATION_HANDOVER_H
