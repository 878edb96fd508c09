#include "platform_store.h"

#include <nlohmann/json.hpp>

namespace bulrushway::standin {

using json = nlohmann::json;

commit_outcome platform_store::Commit(const transaction& txn, instant now) {
  ExpireOutcomes(now);
  const auto recorded = outcomes_.find(txn.operation);
  if (recorded != outcomes_.end()) return recorded->second;
  commit_outcome outcome = CheckConditions(txn);
  if (!outcome) Apply(txn);
  if (txn.operation.empty()) return outcome;
  outcomes_.emplace(txn.operation, outcome);
  recorded_operations_.push_back({txn.operation, now});
  return outcome;
}

std::vector<table_row> platform_store::Rows(const std::string& prefix) const {
  std::vector<table_row> found;
  for (auto it = rows_.lower_bound(prefix); it != rows_.end(); ++it) {
    if (!it->first.starts_with(prefix)) break;
    if (it->second.value) found.push_back({it->first, *it->second.value, it->second.version});
  }
  return found;
}

bool platform_store::Put(const std::string& name, const std::string& bytes) {
  const auto [it, inserted] = objects_.emplace(name, bytes);
  return inserted || it->second == bytes;
}

const std::string* platform_store::Get(const std::string& name) const {
  const auto found = objects_.find(name);
  return found == objects_.end() ? nullptr : &found->second;
}

std::string platform_store::Save() const {
  json rows = json::array();
  for (const auto& [key, row] : rows_) {
    const json value = row.value ? json(*row.value) : json();
    rows.push_back({{"key", key}, {"value", value}, {"version", row.version}});
  }
  json objects = json::array();
  for (const auto& [name, bytes] : objects_) {
    const auto* first = reinterpret_cast<const uint8_t*>(bytes.data());
    objects.push_back(
        {{"name", name}, {"bytes", std::vector<uint8_t>(first, first + bytes.size())}});
  }
  return json{{"rows", rows}, {"objects", objects}}.dump(-1, ' ', false,
                                                         json::error_handler_t::replace);
}

result<void> platform_store::Load(const std::string& saved) {
  const json parsed = json::parse(saved, nullptr, false);
  try {
    std::map<std::string, row_state> rows;
    std::map<std::string, std::string> objects;
    for (const json& row : parsed.at("rows")) {
      row_state state;
      if (!row.at("value").is_null()) state.value = row.at("value").get<std::string>();
      state.version = row.at("version").get<uint64_t>();
      rows.emplace(row.at("key").get<std::string>(), std::move(state));
    }
    for (const json& object : parsed.at("objects")) {
      const auto bytes = object.at("bytes").get<std::vector<uint8_t>>();
      objects.emplace(object.at("name").get<std::string>(),
                      std::string(bytes.begin(), bytes.end()));
    }
    rows_ = std::move(rows);
    objects_ = std::move(objects);
    return {};
  } catch (const json::exception& problem) {
    return Failure(error_kind::kUser, "load state", "",
                   std::string("The saved state is damaged: ") + problem.what() + ".");
  }
}

uint64_t platform_store::VersionOf(const std::string& key) const {
  const auto found = rows_.find(key);
  const bool exists = found != rows_.end() && found->second.value;
  return exists ? found->second.version : 0;
}

commit_outcome platform_store::CheckConditions(const transaction& txn) const {
  for (const auto& condition : txn.conditions) {
    const uint64_t version = VersionOf(condition.key);
    if (version != condition.version) return commit_conflict{condition.key, version};
  }
  return std::nullopt;
}

void platform_store::Apply(const transaction& txn) {
  for (const auto& write : txn.writes) {
    if (!write.value && VersionOf(write.key) == 0) continue;
    row_state& row = rows_[write.key];
    row.value = write.value;
    ++row.version;
  }
}

void platform_store::ExpireOutcomes(instant now) {
  while (!recorded_operations_.empty() &&
         now - recorded_operations_.front().at >= kOutcomeRetention) {
    outcomes_.erase(recorded_operations_.front().operation);
    recorded_operations_.pop_front();
  }
}

}  // namespace bulrushway::standin
