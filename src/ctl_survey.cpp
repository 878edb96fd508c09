#include "ctl_survey.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "ctl_json.h"

namespace bulrushway {
namespace {

using json = nlohmann::json;

// Every node reports all members that it knows, so that two rounds usually find the whole fleet.
constexpr int kMaxRounds = 4;

void ReadStatus(const json& value, node_status& status) {
  status.node = TextOf(value, "node");
  status.service = TextOf(value, "service");
  status.data_centre = TextOf(value, "data_centre");
  status.state = TextOf(value, "state");
  status.lease_ms = NumberOf(value, "lease_ms");
  status.slices = static_cast<uint64_t>(NumberOf(value, "slices"));
  status.config_version = static_cast<uint64_t>(NumberOf(value, "config_version"));
}

class survey {
 public:
  explicit survey(ctl_session& session) : session_(session) {}

  std::vector<node_status> Run() {
    std::vector<socket_address> addresses = session_.options().nodes;
    for (int round = 0; round < kMaxRounds && !addresses.empty(); ++round) {
      for (const node_answer& answer :
           session_.SendToNodes(addresses, {"GET", "/-/status", {}, {}})) {
        AddAnswer(answer);
      }
      addresses = UnqueriedAddresses();
    }
    return Sorted();
  }

 private:
  void AddAnswer(const node_answer& answer) {
    node_status& status = statuses_[answer.address];
    status.address = answer.address;
    queried_.insert(answer.address);
    if (!answer.answer) {
      status.failure = answer.failure;
      return;
    }
    const json value = json::parse(answer.answer->body, nullptr, false);
    if (answer.answer->status != 200 || !value.is_object()) {
      status.failure =
          "The answer has status " + std::to_string(answer.answer->status) + " and no node state.";
      return;
    }
    status.reachable = true;
    ReadStatus(value, status);
    AddMembers(ListOf(value, "members"));
  }

  void AddMembers(const json& members) {
    for (const json& member : members) {
      const auto address = ParseSocketAddress(TextOf(member, "http"));
      if (!address || statuses_.contains(*address)) continue;
      node_status& status = statuses_[*address];
      status.address = *address;
      ReadStatus(member, status);
    }
  }

  std::vector<socket_address> UnqueriedAddresses() const {
    std::vector<socket_address> addresses;
    for (const auto& [address, unused] : statuses_) {
      if (!queried_.contains(address)) addresses.push_back(address);
    }
    return addresses;
  }

  std::vector<node_status> Sorted() const {
    std::vector<node_status> fleet;
    for (const auto& [unused, status] : statuses_) fleet.push_back(status);
    std::sort(fleet.begin(), fleet.end(), [](const node_status& left, const node_status& right) {
      return std::pair(left.node, left.address) < std::pair(right.node, right.address);
    });
    return fleet;
  }

  ctl_session& session_;
  std::map<socket_address, node_status> statuses_;
  std::set<socket_address> queried_;
};

}  // namespace

std::vector<node_status> SurveyFleet(ctl_session& session) { return survey(session).Run(); }

std::vector<socket_address> AddressesOf(const std::vector<node_status>& fleet) {
  std::vector<socket_address> addresses;
  addresses.reserve(fleet.size());
  for (const node_status& status : fleet) addresses.push_back(status.address);
  return addresses;
}

ctl_exit ReportUnreachable(const ctl_session& session, const std::vector<node_status>& fleet) {
  ctl_exit outcome = ctl_exit::kOk;
  for (const node_status& status : fleet) {
    if (status.reachable) continue;
    const std::string name = status.node.empty() ? "" : " (" + status.node + ")";
    session.PrintError("The node at " + ToString(status.address) + name +
                       " does not answer: " + status.failure);
    outcome = ctl_exit::kUnreachable;
  }
  return outcome;
}

}  // namespace bulrushway
