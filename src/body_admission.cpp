#include "body_admission.h"

#include <algorithm>

#include "memory_budget.h"

namespace bulrushway {
namespace {

// Share of the memory that only small requests may use.
constexpr double kSmallShare = 0.25;
// A request without progress for this long may have to give way to others.
constexpr std::chrono::milliseconds kStallTime{500};

}  // namespace

void body_admission::SetUnfinished(request& of, size_t bytes) {
  unfinished_bytes_ += bytes - of.unfinished;
  of.unfinished = bytes;
}

bool body_admission::Fits(const request& of, size_t bytes, size_t others) const {
  if (limit_ == 0) return true;
  const size_t held = HeldBytes() - of.unfinished + others;
  if (bytes <= kSmallMessageBytes) return held + bytes <= limit_;
  const auto small = static_cast<size_t>(static_cast<double>(limit_) * kSmallShare);
  if (held + bytes <= limit_ - small) return true;
  // A single body is accepted however large: it is within the operators' limit.
  return held <= small;
}

bool body_admission::Reserve(instant now, holder connection, size_t bytes, size_t others) {
  const auto [found, added] = requests_.try_emplace(connection);
  request& of = found->second;
  if (added) of.progress = now;
  if (bytes <= of.unfinished || Fits(of, bytes, others)) {
    of.waits = false;
    SetUnfinished(of, std::max(bytes, of.unfinished));
    return true;
  }
  if (!of.waits) of.waits_since = now;
  of.waits = true;
  of.wanted = bytes;
  return false;
}

bool body_admission::Holds(holder connection, size_t bytes) const {
  const auto found = requests_.find(connection);
  return found != requests_.end() && !found->second.waits && bytes <= found->second.unfinished;
}

void body_admission::OnProgress(instant now, holder connection) {
  const auto found = requests_.find(connection);
  if (found != requests_.end()) found->second.progress = now;
}

void body_admission::OnComplete(holder connection, size_t bytes) {
  if (bytes == 0 && !requests_.contains(connection)) return;
  request& of = requests_[connection];
  SetUnfinished(of, 0);
  of.waits = false;
  of.in_flight += bytes;
  in_flight_bytes_ += bytes;
}

void body_admission::OnAnswered(holder connection, size_t bytes) {
  const auto found = requests_.find(connection);
  if (found == requests_.end()) return;
  request& of = found->second;
  bytes = std::min(bytes, of.in_flight);
  of.in_flight -= bytes;
  in_flight_bytes_ -= bytes;
  if (of.in_flight == 0 && of.unfinished == 0 && !of.waits) requests_.erase(found);
}

void body_admission::Remove(holder connection) {
  const auto found = requests_.find(connection);
  if (found == requests_.end()) return;
  unfinished_bytes_ -= found->second.unfinished;
  in_flight_bytes_ -= found->second.in_flight;
  requests_.erase(found);
}

std::vector<body_admission::holder> body_admission::GiveWay(instant now, size_t others) const {
  const std::vector<holder> waiting = Waiting();
  if (waiting.empty()) return {};
  const request& first = requests_.at(waiting.front());
  if (Fits(first, first.wanted, others)) return {};
  struct candidate {
    holder connection;
    double weight;
    size_t bytes;
  };
  std::vector<candidate> candidates;
  for (const auto& [connection, of] : requests_) {
    // One that waits makes no progress because it is not read.
    const auto stalled = now - (of.waits ? of.waits_since : of.progress);
    if (connection == waiting.front() || of.unfinished == 0 || stalled < kStallTime) continue;
    const std::chrono::duration<double> seconds = stalled;
    candidates.push_back(
        {connection, static_cast<double>(of.unfinished) * seconds.count(), of.unfinished});
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const candidate& a, const candidate& b) { return a.weight > b.weight; });
  std::vector<holder> chosen;
  size_t freed = 0;
  for (const candidate& each : candidates) {
    if (freed >= first.wanted) break;
    freed += each.bytes;
    chosen.push_back(each.connection);
  }
  return chosen;
}

std::vector<body_admission::holder> body_admission::Waiting() const {
  std::vector<std::pair<instant, holder>> waiting;
  for (const auto& [connection, of] : requests_) {
    if (of.waits) waiting.emplace_back(of.waits_since, connection);
  }
  std::sort(waiting.begin(), waiting.end());
  std::vector<holder> connections;
  connections.reserve(waiting.size());
  for (const auto& [since, connection] : waiting) connections.push_back(connection);
  return connections;
}

std::vector<body_admission::holder> body_admission::Overdue(instant now,
                                                            std::chrono::nanoseconds limit) const {
  std::vector<holder> overdue;
  bool frees_memory = false;
  for (const holder connection : Waiting()) {
    const request& of = requests_.at(connection);
    if (now - of.waits_since <= limit || (of.unfinished > 0 && frees_memory)) continue;
    frees_memory = frees_memory || of.unfinished > 0;
    overdue.push_back(connection);
  }
  return overdue;
}

}  // namespace bulrushway
