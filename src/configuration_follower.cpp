#include "configuration_follower.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "configuration_parser.h"

namespace bulrushway {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// After kPeerOnlyFetchTime, one in this many peer fetches goes to another data centre.
constexpr uint64_t kRemotePeerOneIn = 4;

uint64_t RankOf(const std::string& node) { return XXH3_64bits(node.data(), node.size()); }

milliseconds Scaled(milliseconds interval, double factor) {
  return milliseconds(static_cast<int64_t>(static_cast<double>(interval.count()) * factor));
}

bool IsMember(const live_members& members, const std::string& node) {
  const auto contains = [&](const std::vector<std::string>& names) {
    return std::find(names.begin(), names.end(), node) != names.end();
  };
  return contains(members.local) || contains(members.remote);
}

std::string SourceName(const std::string& peer) {
  return peer.empty() ? "the platform" : "peer '" + peer + "'";
}

}  // namespace

configuration_follower::configuration_follower(std::string node, instant now, uint64_t seed)
    : node_(std::move(node)), random_(seed), started_(now) {}

follower_actions configuration_follower::Tick(instant now, const live_members& members) {
  follower_actions actions;
  Poll(now, members, actions);
  TryAdopt(now, actions);
  Fetch(now, members, actions);
  ReportStaleness(now, actions);
  return actions;
}

follower_actions configuration_follower::OnPolled(instant now, instant sent,
                                                  const std::optional<std::string>& head) {
  poll_in_flight_ = false;
  platform_is_empty_ = !head;
  follower_actions actions;
  if (!head) return actions;
  const result<configuration_head> decoded = DecodeHead(*head, "platform");
  if (decoded) Confirm(decoded->version, sent);
  ConsiderHead(now, *head, "", actions);
  TryAdopt(now, actions);
  return actions;
}

void configuration_follower::OnPollFailed(instant /*now*/) { poll_in_flight_ = false; }

follower_actions configuration_follower::OnHeadReceived(instant now, const std::string& head,
                                                        const std::string& peer) {
  follower_actions actions;
  ConsiderHead(now, head, peer, actions);
  TryAdopt(now, actions);
  return actions;
}

void configuration_follower::OnConfirmed(instant sent, uint64_t version, milliseconds age) {
  Confirm(version, sent - age);
}

void configuration_follower::OnVersionSeen(instant now, uint64_t version) {
  const uint64_t newest_known_version =
      std::max(Version(), candidate_ ? candidate_->head.version : 0);
  if (version <= std::max(newest_known_version, seen_version_)) return;
  seen_version_ = version;
  std::uniform_int_distribution<int64_t> spread(0, kNewerVersionPollJitter.count());
  if (!newer_version_poll_at_)
    newer_version_poll_at_ = now + kNewerVersionPollDelay + milliseconds(spread(random_));
}

follower_actions configuration_follower::OnDocument(instant now, const std::string& hash,
                                                    const std::string& bytes,
                                                    const std::string& peer) {
  follower_actions actions;
  const bool wanted = candidate_ && (candidate_->head.inventory_hash == hash ||
                                     candidate_->head.rules_hash == hash);
  if (!wanted || documents_.contains(hash)) return actions;
  if (HashDocument(bytes) != hash) {
    candidate_->next_fetch = std::min(candidate_->next_fetch, now + kFetchRetryDelay);
    actions.push_back(report_event{follower_event::kRefused,
                                   "The document '" + hash + "' from " + SourceName(peer) +
                                       " is corrupted; it is fetched again."});
    return actions;
  }
  documents_[hash] = bytes;
  candidate_->next_fetch = now;
  TryAdopt(now, actions);
  return actions;
}

void configuration_follower::OnFetchFailed(instant now, const std::string& hash) {
  if (!candidate_ || MissingDocument() != hash) return;
  candidate_->next_fetch = std::min(candidate_->next_fetch, now + kFetchRetryDelay);
}

const std::string* configuration_follower::FindDocument(const std::string& hash) const {
  const auto found = documents_.find(hash);
  return found == documents_.end() ? nullptr : &found->second;
}

std::optional<milliseconds> configuration_follower::Staleness(instant now) const {
  if (!confirmed_at_) return std::nullopt;
  return duration_cast<milliseconds>(now - *confirmed_at_);
}

bool configuration_follower::TooStale(instant now) const {
  if (!in_force_ || !in_force_->rules.max_staleness) return false;
  return now - confirmed_at_.value_or(started_) > *in_force_->rules.max_staleness;
}

bool configuration_follower::IsPoller(const live_members& members) const {
  const uint64_t own_rank = RankOf(node_);
  const auto ranked_before =
      std::count_if(members.local.begin(), members.local.end(), [&](const std::string& other) {
        return other != node_ && std::pair(RankOf(other), other) < std::pair(own_rank, node_);
      });
  return static_cast<size_t>(ranked_before) < kPollersPerDataCentre;
}

std::string configuration_follower::WhyNotConfigured() const {
  if (in_force_) return {};
  if (candidate_ && MissingDocument().empty()) {
    return "Version " + std::to_string(candidate_->head.version) +
           " of the configuration is complete and is about to be put into force.";
  }
  if (candidate_) {
    return "Version " + std::to_string(candidate_->head.version) +
           " of the configuration was announced, but its document '" + MissingDocument() +
           "' has not been received from the platform or a peer.";
  }
  if (!refused_versions_.empty()) return "A configuration was received and refused; see the log.";
  if (platform_is_empty_) {
    return "The platform has no configuration; put one into force with 'bulrushctl apply'.";
  }
  return "Neither the platform nor a peer has sent a configuration.";
}

void configuration_follower::ConsiderHead(instant now, const std::string& bytes,
                                          const std::string& peer, follower_actions& actions) {
  const result<configuration_head> head = DecodeHead(bytes, SourceName(peer));
  if (!head) {
    // No head has version 0. Refusing it reports a corrupted head once instead of at each poll.
    return Refuse(0, head.error().message, actions);
  }
  if (RefuseIfUnusable(*head, peer, actions)) return;
  if (head->version >= seen_version_) newer_version_poll_at_.reset();
  if (candidate_ && !ReplacesCandidate(now, *head, peer)) return;
  candidate_ = candidate{*head, peer, now, now, 0};
  DropUnusedDocuments();
}

// Whether a received head replaces the candidate.
bool configuration_follower::ReplacesCandidate(instant now, const configuration_head& head,
                                               const std::string& peer) const {
  if (head.version > candidate_->head.version) return true;
  if (head == candidate_->head) return false;
  // A peer may have sent a head that was never committed; the platform's head takes precedence.
  if (head.version == candidate_->head.version) return peer.empty();
  return now - candidate_->offered_at >= kCandidateTimeout;
}

bool configuration_follower::RefuseIfUnusable(const configuration_head& head,
                                              const std::string& peer, follower_actions& actions) {
  if (head.version < Version() || refused_versions_.contains(head.version)) return true;
  if (head.format > kHeadFormat) {
    Refuse(head.version,
           "Version " + std::to_string(head.version) + " from " + SourceName(peer) +
               " was written by a newer program (format " + std::to_string(head.format) + ").",
           actions);
    return true;
  }
  if (head.version > Version()) return false;
  if (head != *head_) {
    Refuse(head.version,
           "Version " + std::to_string(head.version) + " from " + SourceName(peer) +
               " differs from the version in force with the same number: was the table replaced?",
           actions);
  }
  return true;
}

void configuration_follower::Refuse(uint64_t version, std::string message,
                                    follower_actions& actions) {
  if (!refused_versions_.insert(version).second) return;
  const std::string kept_version =
      in_force_ ? " Version " + std::to_string(Version()) + " stays in force." : "";
  actions.push_back(report_event{follower_event::kRefused, std::move(message) + kept_version});
}

bool configuration_follower::MayAdopt(instant now) const {
  if (!candidate_ || !MissingDocument().empty()) return false;
  if (in_force_) return true;
  // A restarted process does not know which version it had in force before. To avoid adopting an
  // older one, it first gathers heads from several sources and waits for the newest version that
  // peers report in use.
  if (now - started_ < kMinStartupGathering) return false;
  return candidate_->head.version >= seen_version_ || now - started_ >= kMaxStartupGathering;
}

void configuration_follower::TryAdopt(instant now, follower_actions& actions) {
  if (!MayAdopt(now)) return;
  const configuration_head head = candidate_->head;
  candidate_.reset();
  configuration_texts texts;
  texts.inventory = documents_.at(head.inventory_hash);
  texts.rules = documents_.at(head.rules_hash);
  // The time affects only warnings, which operators saw before they committed the version.
  checked<checked_configuration> outcome = ParseConfiguration(texts, std::chrono::sys_seconds{});
  if (!outcome) {
    Refuse(head.version,
           "Version " + std::to_string(head.version) +
               " is not valid for this program: " + ToString(outcome.error().front()),
           actions);
    DropUnusedDocuments();
    return;
  }
  outcome->value.version = head.version;
  in_force_ = std::make_shared<const configuration>(std::move(outcome->value));
  head_ = head;
  refused_versions_.erase(refused_versions_.begin(), refused_versions_.upper_bound(head.version));
  DropUnusedDocuments();
  if (newest_confirmed_.version == head.version)
    Confirm(newest_confirmed_.version, newest_confirmed_.at);
  actions.push_back(adopt_configuration{head, in_force_});
  actions.push_back(publish_head{head});
}

void configuration_follower::DropUnusedDocuments() {
  const auto references = [&](const std::optional<configuration_head>& head,
                              const std::string& hash) {
    return head && (head->inventory_hash == hash || head->rules_hash == hash);
  };
  const std::optional<configuration_head> next =
      candidate_ ? std::optional(candidate_->head) : std::nullopt;
  std::erase_if(documents_, [&](const auto& document) {
    return !references(head_, document.first) && !references(next, document.first);
  });
}

std::string configuration_follower::MissingDocument() const {
  if (!documents_.contains(candidate_->head.rules_hash)) return candidate_->head.rules_hash;
  if (!documents_.contains(candidate_->head.inventory_hash)) return candidate_->head.inventory_hash;
  return {};
}

void configuration_follower::Fetch(instant now, const live_members& members,
                                   follower_actions& actions) {
  if (!candidate_ || now < candidate_->next_fetch) return;
  const std::string missing = MissingDocument();
  if (missing.empty()) return;
  actions.push_back(fetch_document{missing, ChooseSource(now, members)});
  candidate_->next_fetch = now + kFetchTimeout;
  ++candidate_->fetches;
}

std::string configuration_follower::ChooseSource(instant now, const live_members& members) {
  const bool from_platform = candidate_->source.empty();
  if (candidate_->fetches == 0 && (from_platform || IsMember(members, candidate_->source))) {
    return candidate_->source;
  }
  const bool platform_allowed = from_platform || now - candidate_->offered_at >= kPeerOnlyFetchTime;
  if (platform_allowed && candidate_->fetches % 2 == 0 && candidate_->fetches > 0) return {};
  return ChoosePeer(now, members);
}

// Picks a random peer. Every process that has fetched a document serves it, so the number of
// sources doubles with each round of fetches.
std::string configuration_follower::ChoosePeer(instant now, const live_members& members) {
  std::vector<std::string> peers = members.local;
  std::erase(peers, node_);
  const bool peer_time_over = now - candidate_->offered_at >= kPeerOnlyFetchTime;
  const bool ask_remote = peers.empty() || (peer_time_over && random_() % kRemotePeerOneIn == 0);
  if (ask_remote && !members.remote.empty()) peers = members.remote;
  if (peers.empty()) return {};
  std::uniform_int_distribution<size_t> choice(0, peers.size() - 1);
  return peers[choice(random_)];
}

bool configuration_follower::PollDue(instant now, const live_members& members) const {
  if (poll_in_flight_ && now - *last_poll_at_ < kPollTimeout) return false;
  if (!last_poll_at_ || poll_requested_ ||
      (newer_version_poll_at_ && now >= *newer_version_poll_at_))
    return true;
  const bool polls_often = !in_force_ || IsPoller(members);
  const milliseconds interval = polls_often
                                    ? Scaled(kPollerInterval, 1 + kPollerJitter * poll_jitter_)
                                    : Scaled(kIdlePollInterval, 1 + kIdlePollJitter * poll_jitter_);
  return now - *last_poll_at_ >= interval;
}

void configuration_follower::Poll(instant now, const live_members& members,
                                  follower_actions& actions) {
  if (!PollDue(now, members)) return;
  poll_in_flight_ = true;
  poll_requested_ = false;
  newer_version_poll_at_.reset();
  last_poll_at_ = now;
  poll_jitter_ = std::uniform_real_distribution<double>(-1, 1)(random_);
  actions.push_back(poll_head{});
}

void configuration_follower::ReportStaleness(instant now, follower_actions& actions) {
  if (!in_force_) return;
  const bool stale = now - confirmed_at_.value_or(started_) > kStaleAfter;
  if (stale == reported_stale_) return;
  reported_stale_ = stale;
  const std::string version = "Version " + std::to_string(Version());
  actions.push_back(stale ? report_event{follower_event::kStale,
                                         version + " has not been confirmed as the newest for " +
                                             std::to_string(kStaleAfter.count()) +
                                             " ms; it stays in force."}
                          : report_event{follower_event::kFreshAgain,
                                         version + " is confirmed as the newest again."});
}

// Keeps the time of the last confirmation when a newer version is adopted: the older version was
// the newest at that time.
void configuration_follower::Confirm(uint64_t version, instant at) {
  if (version > newest_confirmed_.version ||
      (version == newest_confirmed_.version && at > newest_confirmed_.at)) {
    newest_confirmed_ = {version, at};
  }
  if (version != Version() || !head_) return;
  if (!confirmed_at_ || at > *confirmed_at_) confirmed_at_ = at;
}

}  // namespace bulrushway
