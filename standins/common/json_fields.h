#ifndef BULRUSHWAY_JSON_FIELDS_H
#define BULRUSHWAY_JSON_FIELDS_H

// Reads optional fields of a JSON object into typed values and reports type errors. Include it only
// from .cpp files, since it includes the JSON library.

#include <chrono>
#include <nlohmann/json.hpp>
#include <string>

#include "error.h"

namespace bulrushway::standin {

/// Reader of one flat JSON object. An absent field leaves its value unchanged. A field that is
/// never read is an error, so that a misspelt fault name is reported rather than ignored.
class json_fields {
 public:
  explicit json_fields(const std::string& text)
      : object_(nlohmann::json::parse(text, nullptr, false)) {
    if (!object_.is_object()) RecordProblem("The text is not a JSON object");
  }

  void Read(const char* name, bool& value) {
    const auto* field = TakeField(name);
    if (field == nullptr) return;
    if (!field->is_boolean()) return RecordProblem(Quoted(name) + " is neither true nor false");
    value = field->get<bool>();
  }
  void Read(const char* name, double& value) {
    const auto* field = TakeField(name);
    if (field == nullptr) return;
    if (!field->is_number() || field->get<double>() < 0) {
      return RecordProblem(Quoted(name) + " is not a number of at least 0");
    }
    value = field->get<double>();
  }
  void Read(const char* name, uint64_t& value) {
    const auto* field = TakeField(name);
    if (field == nullptr) return;
    if (!field->is_number_unsigned()) return RecordProblem(Quoted(name) + " is not a whole number");
    value = field->get<uint64_t>();
  }
  void Read(const char* name, std::chrono::milliseconds& value) {
    auto count = static_cast<uint64_t>(value.count());
    Read(name, count);
    value = std::chrono::milliseconds{count};
  }
  void Read(const char* name, std::string& value) {
    const auto* field = TakeField(name);
    if (field == nullptr) return;
    if (!field->is_string()) return RecordProblem(Quoted(name) + " is not a string");
    value = field->get<std::string>();
  }

  /// Returns the first problem found, including unread fields. `step` names the operation in the
  /// error.
  result<void> Finish(const std::string& step) {
    if (object_.is_object() && !object_.empty()) {
      RecordProblem(Quoted(object_.begin().key()) + " is not a known field");
    }
    if (problem_.empty()) return {};
    return Failure(error_kind::kUser, step, "", problem_ + ".");
  }

 private:
  static std::string Quoted(const std::string& name) { return "\"" + name + "\""; }
  void RecordProblem(const std::string& problem) {
    if (problem_.empty()) problem_ = problem;
  }
  // Removes a field from the object and returns it, or nullptr. The object keeps the unread fields.
  const nlohmann::json* TakeField(const char* name) {
    if (!object_.is_object() || !object_.contains(name)) return nullptr;
    taken_field_ = object_[name];
    object_.erase(name);
    return &taken_field_;
  }

  nlohmann::json object_;
  nlohmann::json taken_field_;
  std::string problem_;
};

}  // namespace bulrushway::standin

#endif  // BULRUSHWAY_JSON_FIELDS_H
