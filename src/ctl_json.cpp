#include "ctl_json.h"

#include "json_text.h"

namespace bulrushway {

std::string TextOf(const nlohmann::json& value, const char* key) {
  if (!value.is_object() || !value.contains(key) || !value[key].is_string()) return {};
  return value[key].get<std::string>();
}

int64_t NumberOf(const nlohmann::json& value, const char* key) {
  if (!value.is_object() || !value.contains(key) || !value[key].is_number_integer()) return 0;
  return value[key].get<int64_t>();
}

nlohmann::json ListOf(const nlohmann::json& value, const char* key) {
  if (!value.is_object() || !value.contains(key) || !value[key].is_array()) {
    return nlohmann::json::array();
  }
  return value[key];
}

std::string Dump(const nlohmann::json& value) {
  constexpr int kIndent = 2;
  return ToJsonText(value, kIndent);
}

}  // namespace bulrushway
