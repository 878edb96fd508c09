#ifndef BULRUSHWAY_CONFIGURATION_FOLLOWER_H
#define BULRUSHWAY_CONFIGURATION_FOLLOWER_H

// Decides, in each process, which version of the configuration is in force, whom to ask for what,
// and how fresh the version is known to be. It does no I/O: the process carries out the actions and
// reports their outcomes. A version in force is never replaced by an older one, whoever offers it.

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

/// Processes of a data centre that poll the head's row often.
inline constexpr size_t kPollersPerDataCentre = 3;
/// Interval at which a poller reads the row.
inline constexpr std::chrono::milliseconds kPollerInterval{500};
/// Interval at which any other process reads the row, before jitter.
inline constexpr std::chrono::milliseconds kIdlePollInterval{30'000};
/// Jitter of the idle interval, as a share of it, to both sides.
inline constexpr double kIdlePollJitter = 0.25;
/// Jitter of a poller's interval, as a share of it, to both sides.
inline constexpr double kPollerJitter = 0.1;
/// A poll without an outcome counts as failed after this time.
inline constexpr std::chrono::milliseconds kPollTimeout{2000};
/// A fetch without an outcome is tried elsewhere after this time; a late document is still taken.
inline constexpr std::chrono::milliseconds kFetchTimeout{400};
/// Wait before a document is asked for again.
inline constexpr std::chrono::milliseconds kFetchRetryDelay{60};
/// Time in which documents are asked of peers alone, before the object store is asked too.
inline constexpr std::chrono::milliseconds kPeerOnlyFetchTime{600};
/// Time after which a version whose documents do not come gives way to an older one that is
/// offered.
inline constexpr std::chrono::milliseconds kCandidateTimeout{5000};
/// Time for which a fresh process gathers heads before it adopts its first one.
inline constexpr std::chrono::milliseconds kMinStartupGathering{400};
/// Longest time for which it waits for a version that a peer was seen to use.
inline constexpr std::chrono::milliseconds kMaxStartupGathering{3000};
/// Wait before a poll because a peer was seen to use a newer version, and the random part of it.
inline constexpr std::chrono::milliseconds kNewerVersionPollDelay{1000};
inline constexpr std::chrono::milliseconds kNewerVersionPollJitter{1000};
/// Age of the last confirmation at which a process reports that its rules may be stale.
inline constexpr std::chrono::milliseconds kStaleAfter{60'000};

/// Read the row of the head from the platform and report it with OnPolled.
struct poll_head {};
/// Get a document and report it with OnDocument or OnFetchFailed.
struct fetch_document {
  std::string hash;
  /// Node name of the peer to ask; empty: the object store.
  std::string peer;
};
/// Put a version in force.
struct adopt_configuration {
  configuration_head head;
  std::shared_ptr<const configuration> value;
};
/// Tell the peers of a head, by gossip.
struct publish_head {
  configuration_head head;
};
/// What happened that an operator should know.
enum class follower_event {
  /// A head or its documents were refused; the version in force stays.
  kRefused,
  /// The version in force has not been confirmed for long.
  kStale,
  /// It is confirmed again.
  kFreshAgain,
};
/// Log an event.
struct report_event {
  follower_event event = follower_event::kRefused;
  std::string message;
};
/// What the process has to do.
using follower_action =
    std::variant<poll_head, fetch_document, adopt_configuration, publish_head, report_event>;
using follower_actions = std::vector<follower_action>;

/// Names of live processes, this one included or not.
struct live_members {
  /// In the own data centre.
  std::vector<std::string> local;
  /// In other data centres.
  std::vector<std::string> remote;
};

/// Follows the configuration in one process.
class configuration_follower {
 public:
  /// `node` is this process's name. All random choices derive from `seed`.
  configuration_follower(std::string node, instant now, uint64_t seed);

  /// To be called every 20 to 100 ms, and at once after a poke, with the live members.
  follower_actions Tick(instant now, const live_members& members);

  /// Outcome of a poll sent at `sent`: the bytes of the head's row, or none when there is no row.
  follower_actions OnPolled(instant now, instant sent, const std::optional<std::string>& head);
  /// The poll failed.
  void OnPollFailed(instant now);
  /// Bytes of a document that was fetched from `peer`, or from the object store when that is empty.
  follower_actions OnDocument(instant now, const std::string& hash, const std::string& bytes,
                              const std::string& peer);
  /// The peer or the object store did not give the document.
  void OnFetchFailed(instant now, const std::string& hash);

  /// A peer or an operator told a head.
  follower_actions OnHeadReceived(instant now, const std::string& head, const std::string& peer);
  /// A peer said, in answer to what was sent to it at `sent`, that `version` had been confirmed as
  /// the newest `age` before.
  void OnConfirmed(instant sent, uint64_t version, std::chrono::milliseconds age);
  /// A peer uses this version: unless its head comes by itself, the platform is polled soon.
  void OnVersionSeen(instant now, uint64_t version);
  /// Polls at the next Tick: an operator asked for it.
  void Poke() { poll_requested_ = true; }

  /// The version in force, or null.
  const configuration* InForce() const { return in_force_.get(); }
  /// Version in force; 0 when there is none.
  uint64_t Version() const { return head_ ? head_->version : 0; }
  /// Head of the version in force; absent when there is none.
  const std::optional<configuration_head>& Head() const { return head_; }
  /// A document of the version in force or of the one being fetched, for peers that ask; or null.
  const std::string* FindDocument(const std::string& hash) const;
  /// Time since the version in force was known to be the newest; absent when it never was.
  std::optional<std::chrono::milliseconds> Staleness(instant now) const;
  /// Whether the rules forbid new work because they have not been confirmed for too long.
  bool TooStale(instant now) const;
  /// Whether this process is one of the data centre's pollers.
  bool IsPoller(const live_members& members) const;
  /// Why there is no configuration yet, as a sentence; empty when there is one.
  std::string WhyNotConfigured() const;

 private:
  // A newer version whose documents are being gathered.
  struct candidate {
    configuration_head head;
    std::string source;
    instant offered_at;
    instant next_fetch;
    int fetches = 0;
  };

  // The newest version that the platform told, and when it was asked.
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
