#ifndef BULRUSHWAY_TEST_WORKSPACE_DEPLOYMENT_H
#define BULRUSHWAY_TEST_WORKSPACE_DEPLOYMENT_H

// Real processes with a configuration that may contain workspaces, and what their targets ran.

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "platform_deployment.h"

namespace bulrushway::testing {

// A state that is not reached within this time is not reached at all, also on a busy machine.
inline constexpr std::chrono::seconds kLimit{30};

inline std::string Route(const std::string& name, const std::string& kind,
                         const std::string& service, const std::string& extra = "") {
  return R"({"type":"routes","metadata":{"name":")" + name +
         R"("},"spec":{"host":"h","prefix":"/)" + name + R"(/","kind":")" + kind +
         R"(","timeout_s":10,"latency_target_s":5,"priority":1,"service":")" + service +
         R"(","attempts":2)" + extra + "}},";
}

inline std::string Workspace(const std::string& name, const std::string& keys,
                             const std::string& extra = "") {
  return R"({"type":"tenants","metadata":{"name":")" + name + R"("},"spec":{"api_keys":[)" + keys +
         "]" + extra + "}},";
}

// `resources` are further routes and workspaces, each followed by a comma.
inline std::string Configuration(int version, const std::string& resources) {
  return R"({"version":"0000000)" + std::to_string(version) + R"(","resources":[)" +
         Route("look", "safe", "plain") + Route("pay", "unsafe", "keyed") +
         Route("open", "safe", "plain", R"(,"public":true)") + resources +
         R"({"type":"services","metadata":{"name":"plain"},"spec":{"max_conns":64}},)"
         R"({"type":"services","metadata":{"name":"keyed"},"spec":{"max_conns":64,)"
         R"("sharded":true}},{"type":"limits","metadata":{},"spec":{"max_header_bytes":16384,)"
         R"("max_body_bytes":100000,"header_timeout_s":3,"idle_timeout_s":15}}]})";
}

inline header_list Bearer(const std::string& key) { return {{"Authorization", "Bearer " + key}}; }

/// Real processes, and what their targets ran.
struct workspace_deployment {
  explicit workspace_deployment(const std::vector<machine_place>& places) : fleet(false, places) {}

  // With a plain target beside process 0 and a keyed one beside process 1, each target is reached
  // from the process beside it and from another one.
  workspace_deployment() : workspace_deployment({{"plain"}, {"keyed"}}) {}

  void Configure(const std::string& configuration) {
    fleet.store().Put("op", "config", configuration);
    BOOST_REQUIRE(fleet.WaitUntilSettled());
  }
  // Sends a request until the answer is not 503: a process that cannot tell at the moment whether
  // its configuration is the newest answers so. Each attempt has an id of its own.
  int Status(size_t entry, const std::string& path, const header_list& headers, int key = -1) {
    int status = 0;
    fleet.Until(
        [&] {
          last_id = "request-" + std::to_string(++sent);
          const auto result =
              fleet.Send(entry, path, last_id, key, std::chrono::seconds(10), headers);
          fleet.Until([&] { return result->has_value(); }, std::chrono::seconds(12));
          const bool answered = result->has_value() && (*result)->has_value();
          status = answered ? (**result)->status : 0;
          if (answered) answer = ***result;
          return status != 503;
        },
        kLimit);
    return status;
  }
  std::vector<standin::execution> Executions(const std::string& id) {
    std::vector<standin::execution> found;
    for (const machine& each : fleet.machines()) {
      for (const standin::execution& one : each.target->Executions()) {
        if (one.request_id == id) found.push_back(one);
      }
    }
    return found;
  }
  // Headers that the target received with the last request, which it ran once.
  header_list ReceivedHeaders() {
    const std::vector<standin::execution> found = Executions(last_id);
    BOOST_REQUIRE_EQUAL(found.size(), 1U);
    return found.front().headers;
  }
  size_t CountExecutions() {
    size_t count = 0;
    for (const machine& each : fleet.machines()) count += each.target->Executions().size();
    return count;
  }

  platform_deployment fleet;
  int sent = 0;
  std::string last_id;
  http_answer answer;
};

}  // namespace bulrushway::testing

#endif  // BULRUSHWAY_TEST_WORKSPACE_DEPLOYMENT_H
