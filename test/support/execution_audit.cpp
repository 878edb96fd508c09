#include "execution_audit.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace bulrushway::testing {
namespace {

using json = nlohmann::json;

}  // namespace

http_answer execution_audit::Post(const std::string& entry, const std::string& key) {
  const std::string id = "audit-" + std::to_string(++next_id_);
  http_answer answer = fleet_.Post(entry, "cronometraje", key, {{"X-Bulrush-Request-Id", id}});
  const std::string state = FindHeader(answer.headers, "X-Bulrush-Run-State");
  if (answer.status == 200) {
    answered_.insert(id);
  } else if (state == "not run") {
    not_run_.insert(id);
  } else {
    ++unknown_;
  }
  return answer;
}

void execution_audit::CollectExecutions() {
  for (const std::string& node : fleet_.Nodes()) {
    const auto answer =
        fleet_.Call(fleet_.TargetAddress(node), {"GET", "/-/executions?ids=all", {}, {}});
    if (answer.status != 200) continue;
    const json report = json::parse(answer.body);
    const std::string boot = FindHeader(answer.headers, "X-Bulrush-Boot-Id");
    for (const json& entry : report["ids"]) {
      runs_[entry["id"]][node + " " + boot] = entry["count"];
    }
  }
}

size_t execution_audit::RunTwice() const {
  return static_cast<size_t>(std::ranges::count_if(runs_, [](const auto& run) {
    uint64_t total = 0;
    for (const auto& [target, count] : run.second) total += count;
    return total > 1;
  }));
}

size_t execution_audit::RunDespiteNotRun() const {
  return static_cast<size_t>(std::ranges::count_if(
      not_run_, [this](const std::string& id) { return runs_.contains(id); }));
}

size_t execution_audit::AnsweredButNotRun() const {
  return static_cast<size_t>(std::ranges::count_if(
      answered_, [this](const std::string& id) { return !runs_.contains(id); }));
}

}  // namespace bulrushway::testing
