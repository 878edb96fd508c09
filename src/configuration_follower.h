#ifndef BULRUSHWAY_CONFIGURATION_FOLLOWER_H
#define BULRUSHWAY_CONFIGURATION_FOLLOWER_H

// Decides, in each process, which version of the configuration is in force, where to fetch heads
// and documents, and when the version was last confirmed as the newest. It does no I/O: the process
// executes the actions and reports their outcomes. A version in force is never replaced by an older
// one, whatever its source.

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "clock.h"
#include "configuration.h"
#include "configuration_head.h"

namespace bulrushway {

/// Number of processes of a data centre that poll the head's row at kPollerInterval.
inline constexpr size_t kPollersPerDataCentre = 3;
/// Interval at which a poller reads the row, before jitter.
inline constexpr std::chrono::milliseconds kPollerInterval{500};
/// Interval at which any other process reads the row, before jitter.
inline constexpr std::chrono::milliseconds kIdlePollInterval{30'000};
/// Jitter of the idle interval, as a fraction of it in both directions.
inline constexpr double kIdlePollJitter = 0.25;
/// Jitter of a poller's interval, as a fraction of it in both directions.
inline constexpr double kPollerJitter = 0.1;
/// Time after which an unanswered poll is treated as failed.
inline constexpr std::chrono::milliseconds kPollTimeout{2000};
/// Time after which an unanswered fetch is retried from another source. A late document is still
/// accepted.
inline constexpr std::chrono::milliseconds kFetchTimeout{400};
/// Delay before a failed fetch is retried.
inline constexpr std::chrono::milliseconds kFetchRetryDelay{60};
/// Time in which a document of a head received from a peer is fetched from peers only; the object
/// store is used as well after it.
inline constexpr std::chrono::milliseconds kPeerOnlyFetchTime{600};
/// Time after which an older version may replace a candidate whose documents could not be fetched.
inline constexpr std::chrono::milliseconds kCandidateTimeout{5000};
/// Minimum time for which a starting process gathers heads before it adopts its first version.
inline constexpr std::chrono::milliseconds kMinStartupGathering{400};
/// Maximum time for which a starting process waits for a version that a peer reports in use.
inline constexpr std::chrono::milliseconds kMaxStartupGathering{3000};
/// Delay before the poll that follows a peer's report of a newer version, and the maximum random
/// addition to it.
inline constexpr std::chrono::milliseconds kNewerVersionPollDelay{1000};
inline constexpr std::chrono::milliseconds kNewerVersionPollJitter{1000};
/// Age of the last confirmation after which a process reports that its rules may be stale.
inline constexpr std::chrono::milliseconds kStaleAfter{60'000};

/// Read the row of the head from the platform and report it with OnPolled.
struct poll_head {};
/// Fetch a document and report the outcome with OnDocument or OnFetchFailed.
struct fetch_document {
  std::string hash;
  /// Node name of the peer to fetch from; empty: the object store.
  std::string peer;
};
/// Put a version into force.
struct adopt_configuration {
  configuration_head head;
  std::shared_ptr<const configuration> value;
};
/// Send a head to all peers.
struct publish_head {
  configuration_head head;
};
/// Event that operators should see.
enum class follower_event {
  /// A head or its documents were refused; the version in force stays.
  kRefused,
  /// The version in force has not been confirmed as the newest for kStaleAfter.
  kStale,
  /// The version in force is confirmed as the newest again.
  kFreshAgain,
};
/// Log an event.
struct report_event {
  follower_event event = follower_event::kRefused;
  std::string message;
};
/// An action for the process to execute.
using follower_action =
    std::variant<poll_head, fetch_document, adopt_configuration, publish_head, report_event>;
using follower_actions = std::vector<follower_action>;

/// Node names of the reachable processes. This process may be among them.
struct live_members {
  /// In this process's data centre.
  std::vector<std::string> local;
  /// In other data centres.
  std::vector<std::string> remote;
};

/// Follows the configuration in one process.
class configuration_follower {
 public:
  /// `node` is this process's name. All random choices derive from `seed`.
  configuration_follower(std::string node, instant now, uint64_t seed);

  /// Call this every 20 to 100 ms, and immediately after Poke, with the reachable members.
  follower_actions Tick(instant now, const live_members& members);

  /// The poll sent at `sent` returned the bytes of the head's row; absent when the row does not
  /// exist.
  follower_actions OnPolled(instant now, instant sent, const std::optional<std::string>& head);
  /// The poll failed.
  void OnPollFailed(instant now);
  /// A document was fetched from `peer`, or from the object store when `peer` is empty.
  follower_actions OnDocument(instant now, const std::string& hash, const std::string& bytes,
                              const std::string& peer);
  /// The peer or the object store did not return the document.
  void OnFetchFailed(instant now, const std::string& hash);

  /// A peer sent an encoded head.
  follower_actions OnHeadReceived(instant now, const std::string& head, const std::string& peer);
  /// A peer answered the freshness request sent at `sent`: when it answered, `version` had last
  /// been confirmed as the newest `age` before.
  void OnConfirmed(instant sent, uint64_t version, std::chrono::milliseconds age);
  /// A peer reports this version in use. The platform is polled soon unless the head arrives first.
  void OnVersionSeen(instant now, uint64_t version);
  /// Polls at the next Tick, on an operator's request.
  void Poke() { poll_requested_ = true; }

  /// The version in force, or null.
  const configuration* InForce() const { return in_force_.get(); }
  /// Version in force; 0 when there is none.
  uint64_t Version() const { return head_ ? head_->version : 0; }
  /// Head of the version in force; absent when there is none.
  const std::optional<configuration_head>& Head() const { return head_; }
  /// A document of the version in force or of the candidate, to serve to peers; null when not held.
  const std::string* FindDocument(const std::string& hash) const;
  /// Time since the version in force was last confirmed as the newest; absent when it never was.
  std::optional<std::chrono::milliseconds> Staleness(instant now) const;
  /// Whether new work must be refused because the version has not been confirmed for max_staleness.
  bool TooStale(instant now) const;
  /// Whether this process is one of the data centre's pollers.
  bool IsPoller(const live_members& members) const;
  /// Why no configuration is in force, as a sentence; empty when one is.
  std::string WhyNotConfigured() const;

 private:
  // A version whose documents are being fetched, to be adopted next.
  struct candidate {
    configuration_head head;
    std::string source;
    instant offered_at;
    instant next_fetch;
    int fetches = 0;
  };

  // The newest version confirmed by the platform, and the time at which the request was sent.
  struct confirmation {
    uint64_t version = 0;
    instant at;
  };

  void ConsiderHead(instant now, const std::string& bytes, const std::string& peer,
                    follower_actions& actions);
  bool ReplacesCandidate(instant now, const configuration_head& head,
                         const std::string& peer) const;
  bool RefuseIfUnusable(const configuration_head& head, const std::string& peer,
                        follower_actions& actions);
  void Refuse(uint64_t version, std::string message, follower_actions& actions);
  bool MayAdopt(instant now) const;
  void TryAdopt(instant now, follower_actions& actions);
  void DropUnusedDocuments();
  std::string MissingDocument() const;
  void Fetch(instant now, const live_members& members, follower_actions& actions);
  std::string ChooseSource(instant now, const live_members& members);
  std::string ChoosePeer(instant now, const live_members& members);
  bool PollDue(instant now, const live_members& members) const;
  void Poll(instant now, const live_members& members, follower_actions& actions);
  void ReportStaleness(instant now, follower_actions& actions);
  void Confirm(uint64_t version, instant at);

  std::string node_;
  std::mt19937_64 random_;
  instant started_;

  std::optional<configuration_head> head_;
  std::shared_ptr<const configuration> in_force_;
  std::optional<candidate> candidate_;
  std::map<std::string, std::string> documents_;
  std::set<uint64_t> refused_versions_;
  uint64_t seen_version_ = 0;

  bool poll_requested_ = false;
  bool poll_in_flight_ = false;
  std::optional<instant> last_poll_at_;
  std::optional<instant> newer_version_poll_at_;
  double poll_jitter_ = 0;
  bool platform_is_empty_ = false;

  confirmation newest_confirmed_;
  std::optional<instant> confirmed_at_;
  bool reported_stale_ = false;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_CONFIGURATION_FOLLOWER_H
