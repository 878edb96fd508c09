// Verbs that query the nodes: status, owner, events, metrics, quarantine. Each queries all nodes of
// the fleet and reports those that do not answer.
#include <algorithm>
#include <cstdio>
#include <map>

#include "ctl_json.h"
#include "ctl_survey.h"
#include "ctl_verbs.h"
#include "json_text.h"

namespace bulrushway {
namespace {

using json = nlohmann::json;

std::string Padded(std::string text, size_t width) {
  text.resize(std::max(text.size() + 1, width), ' ');
  return text;
}

json ToJson(const node_status& status, uint64_t newest) {
  return {{"node", status.node},
          {"address", ToString(status.address)},
          {"reachable", status.reachable},
          {"failure", status.failure},
          {"service", status.service},
          {"data_centre", status.data_centre},
          {"state", status.state},
          {"lease_ms", status.lease_ms},
          {"slices", status.slices},
          {"config_version", status.config_version},
          {"lags", status.reachable && status.config_version < newest}};
}

uint64_t NewestInForce(const std::vector<node_status>& fleet) {
  uint64_t newest = 0;
  for (const node_status& status : fleet) newest = std::max(newest, status.config_version);
  return newest;
}

// The newest version on the platform or at any node; only the nodes' if the platform is not named
// or does not answer.
uint64_t NewestVersion(ctl_session& session, const std::vector<node_status>& fleet) {
  if (session.options().platform.empty()) return NewestInForce(fleet);
  const auto current = session.ReadCurrent();
  if (current) return std::max(current->head_row.version(), NewestInForce(fleet));
  session.PrintError(
      "The platform does not answer; comparing with the newest version at the nodes: " +
      ToString(current.error()));
  return NewestInForce(fleet);
}

void PrintStatus(const ctl_session& session, const std::vector<node_status>& fleet,
                 uint64_t newest) {
  session.Print(Padded("NODE", 28) + Padded("DATA CENTRE", 14) + Padded("STATE", 16) +
                Padded("SLICES", 8) + "CONFIGURATION");
  for (const node_status& status : fleet) {
    const bool lags = status.reachable && status.config_version < newest;
    session.Print(Padded(status.node.empty() ? ToString(status.address) : status.node, 28) +
                  Padded(status.data_centre, 14) +
                  Padded(status.reachable ? status.state : "unreachable", 16) +
                  Padded(std::to_string(status.slices), 8) + std::to_string(status.config_version) +
                  (lags ? " (lags)" : ""));
  }
  const auto lagging = std::count_if(fleet.begin(), fleet.end(), [&](const node_status& status) {
    return status.reachable && status.config_version < newest;
  });
  session.Print("Newest version " + std::to_string(newest) + "; " + std::to_string(lagging) +
                " of " + std::to_string(fleet.size()) + " nodes lag.");
}

// Sends the request to all reachable nodes and calls `handle_answer` for each answer. Returns
// kUnreachable if any node does not answer.
template <class Handler>
ctl_exit QueryFleet(ctl_session& session, const http_request& request, Handler handle_answer) {
  const std::vector<node_status> fleet = SurveyFleet(session);
  ctl_exit outcome = ctl_exit::kOk;
  std::vector<node_status> reachable;
  for (const node_status& status : fleet) {
    if (status.reachable) reachable.push_back(status);
  }
  const auto answers = session.SendToNodes(AddressesOf(reachable), request);
  for (size_t i = 0; i < answers.size(); ++i) {
    if (answers[i].answer) {
      handle_answer(reachable[i], *answers[i].answer);
      continue;
    }
    session.PrintError("The node " + reachable[i].node + " does not answer: " + answers[i].failure);
    outcome = ctl_exit::kUnreachable;
  }
  return std::max(outcome, ReportUnreachable(session, fleet));
}

std::string EventLine(const json& event) {
  std::string line = TextOf(event, "node") + " " + TextOf(event, "time") + " " +
                     std::to_string(NumberOf(event, "number")) + " " + TextOf(event, "name");
  if (!event.contains("fields") || !event["fields"].is_object()) return line;
  for (const auto& [key, value] : event["fields"].items()) {
    line += " " + key + "=" + (value.is_string() ? value.get<std::string>() : ToJsonText(value));
  }
  return line;
}

ctl_exit ListQuarantine(ctl_session& session) {
  json list = json::array();
  const ctl_exit outcome = QueryFleet(session, {"GET", "/-/quarantine", {}, {}},
                                      [&](const node_status& node, const http_answer& answer) {
                                        const json value = json::parse(answer.body, nullptr, false);
                                        if (!value.is_object() || !value.contains("entries"))
                                          return;
                                        for (json entry : value["entries"]) {
                                          entry["node"] = node.node;
                                          list.push_back(std::move(entry));
                                        }
                                      });
  if (session.options().json) {
    session.Print(Dump(list));
    return outcome;
  }
  if (list.empty()) session.Print("No request is quarantined.");
  for (const json& entry : list) session.Print(ToJsonText(entry));
  return outcome;
}

ctl_exit ReleaseQuarantine(ctl_session& session, const std::string& fingerprint) {
  std::vector<std::string> released;
  const ctl_exit outcome =
      QueryFleet(session, {"POST", "/-/quarantine?release=" + PercentEncode(fingerprint), {}, {}},
                 [&](const node_status& node, const http_answer& answer) {
                   if (answer.status == 200) released.push_back(node.node);
                 });
  if (session.options().json) {
    session.Print(Dump({{"fingerprint", fingerprint}, {"released_at", released}}));
  } else {
    session.Print("Released '" + fingerprint + "' at " + std::to_string(released.size()) +
                  " nodes.");
  }
  if (released.empty() && outcome == ctl_exit::kOk) {
    session.PrintError("No node holds '" + fingerprint + "' in quarantine.");
    return ctl_exit::kUserError;
  }
  return outcome;
}

}  // namespace

ctl_exit CtlStatus(ctl_session& session, const ctl_arguments&) {
  const std::vector<node_status> fleet = SurveyFleet(session);
  const uint64_t newest = NewestVersion(session, fleet);
  if (session.options().json) {
    json nodes = json::array();
    for (const node_status& status : fleet) nodes.push_back(ToJson(status, newest));
    session.Print(Dump({{"newest_version", newest}, {"nodes", nodes}}));
  } else {
    PrintStatus(session, fleet, newest);
  }
  return ReportUnreachable(session, fleet);
}

ctl_exit CtlOwner(ctl_session& session, const ctl_arguments& arguments) {
  const std::string query = "/-/owner?service=" + PercentEncode(arguments[0]) +
                            "&key=" + PercentEncode(arguments[1]) +
                            "&tenant=" + PercentEncode(session.options().tenant);
  std::map<std::string, std::vector<std::string>> nodes_by_owner;
  std::string error_message;
  const ctl_exit outcome = QueryFleet(
      session, {"GET", query, {}, {}}, [&](const node_status& node, const http_answer& answer) {
        const json value = json::parse(answer.body, nullptr, false);
        if (answer.status != 200 || !value.is_object()) {
          if (value.is_object()) error_message = value.value("error", "");
          return;
        }
        const bool has_owner = value.contains("owner") && value["owner"].is_string();
        nodes_by_owner[has_owner ? value["owner"].get<std::string>() : ""].push_back(node.node);
      });
  if (session.options().json) session.Print(Dump({{"owners_by_answer", nodes_by_owner}}));
  if (nodes_by_owner.empty()) {
    session.PrintError(error_message.empty() ? "No node reported an owner." : error_message);
    return error_message.empty() ? ctl_exit::kUnreachable : ctl_exit::kUserError;
  }
  if (session.options().json) return outcome;
  for (const auto& [owner, nodes] : nodes_by_owner) {
    session.Print((owner.empty() ? "no owner" : owner) + " (according to " +
                  std::to_string(nodes.size()) + " nodes)");
  }
  return outcome;
}

ctl_exit CtlEvents(ctl_session& session, const ctl_arguments&) {
  const std::string limit = std::to_string(session.options().limit);
  std::vector<json> events;
  const ctl_exit outcome = QueryFleet(session, {"GET", "/-/events?limit=" + limit, {}, {}},
                                      [&](const node_status& node, const http_answer& answer) {
                                        const json value = json::parse(answer.body, nullptr, false);
                                        if (!value.is_object() || !value.contains("events")) return;
                                        for (json event : value["events"]) {
                                          if (!event.is_object()) continue;
                                          event["node"] = node.node;
                                          events.push_back(std::move(event));
                                        }
                                      });
  std::stable_sort(events.begin(), events.end(), [](const json& left, const json& right) {
    return TextOf(left, "time") < TextOf(right, "time");
  });
  if (session.options().json) session.Print(Dump(events));
  if (session.options().json) return outcome;
  for (const json& event : events) session.Print(EventLine(event));
  return outcome;
}

ctl_exit CtlMetrics(ctl_session& session, const ctl_arguments&) {
  json metrics_by_node = json::object();
  const ctl_exit outcome = QueryFleet(session, {"GET", "/-/metrics", {}, {}},
                                      [&](const node_status& node, const http_answer& answer) {
                                        metrics_by_node[node.node] = answer.body;
                                      });
  if (session.options().json) {
    session.Print(Dump(metrics_by_node));
    return outcome;
  }
  for (const auto& [node, text] : metrics_by_node.items()) {
    session.Print("# node " + node + "\n" + text.get<std::string>());
  }
  return outcome;
}

ctl_exit CtlQuarantine(ctl_session& session, const ctl_arguments& arguments) {
  if (arguments[0] == "list" && arguments.size() == 1) return ListQuarantine(session);
  if (arguments[0] == "release" && arguments.size() == 2) {
    return ReleaseQuarantine(session, arguments[1]);
  }
  session.PrintError("Write 'bulrushctl quarantine list' or 'quarantine release FINGERPRINT'.");
  return ctl_exit::kUserError;
}

}  // namespace bulrushway
