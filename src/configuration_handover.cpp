#include "configuration_handover.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace bulrushway {
namespace {

using std::chrono::milliseconds;

// A peer that has not answered by then is not waited for: 500 KiB take 400 ms at 10 Mbit/s.
constexpr milliseconds kAnswerTimeout{800};
// Minimum time between two answers of one process.
constexpr milliseconds kAnswerInterval{250};
// Maximum number of peers without a connection that are tried at once.
constexpr int kMaxTries = 3;

}  // namespace

configuration_search::configuration_search(std::string node, std::string data_centre,
                                           std::string region)
    : node_(std::move(node)), data_centre_(std::move(data_centre)), region_(std::move(region)) {}

void configuration_search::OnReport(const node_report& report, uint64_t own_version) {
  if (report.configuration_version <= own_version || report.stopping) {
    candidates_.erase(report.node);
    return;
  }
  candidate& peer = candidates_[report.node];
  peer.version = report.configuration_version;
  const bool near = report.data_centre == data_centre_;
  const bool in_region = report.region == region_;
  peer.distance = near ? 0 : in_region ? 1 : 2;
  peer.order = std::hash<std::string>{}(node_ + '/' + report.node);
}

void configuration_search::OnAdopted(uint64_t version) {
  std::erase_if(candidates_,
                [version](const auto& entry) { return entry.second.version <= version; });
}

std::vector<std::string> configuration_search::Ranked() const {
  std::vector<std::string> names;
  for (const auto& [name, peer] : candidates_) names.push_back(name);
  // The least asked first, then the newest, then the nearest.
  const auto is_better = [this](const std::string& first, const std::string& second) {
    const candidate& a = candidates_.at(first);
    const candidate& b = candidates_.at(second);
    return std::tie(a.requests, b.version, a.distance, a.order) <
           std::tie(b.requests, a.version, b.distance, b.order);
  };
  std::sort(names.begin(), names.end(), is_better);
  return names;
}

std::string configuration_search::Ask(instant now, milliseconds interval,
                                      const send_function& send) {
  if (candidates_.empty() || now < next_request_) return {};
  if (!outstanding_.empty() && now < answer_due_) return {};
  outstanding_.clear();
  next_request_ = now + interval;
  int tries = 0;
  for (const std::string& name : Ranked()) {
    if (++tries > kMaxTries) break;
    ++candidates_.at(name).requests;
    if (!send(name)) continue;
    outstanding_ = name;
    answer_due_ = now + kAnswerTimeout;
    return name;
  }
  return {};
}

bool configuration_search::OnAnswer(const std::string& node) {
  if (outstanding_.empty() || outstanding_ != node) return false;
  outstanding_.clear();
  return true;
}

bool handover_limit::Take(instant now) {
  if (now < next_) return false;
  next_ = now + kAnswerInterval;
  return true;
}

}  // namespace bulrushway
