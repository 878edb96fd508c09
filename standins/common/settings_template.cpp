#include "settings_template.h"

#include <charconv>
#include <vector>

namespace bulrushway::standin {
namespace {

using json = nlohmann::ordered_json;

constexpr std::string_view kOpen = "{{";
constexpr std::string_view kClose = "}}";

// What names mean at one place of the template, the innermost section last.
struct scope {
  const json* value;
  std::string key;
  bool last = true;
};

const json* Entry(const json& from, std::string_view name) {
  if (from.is_object()) {
    const auto found = from.find(std::string(name));
    return found == from.end() ? nullptr : &*found;
  }
  if (!from.is_array()) return nullptr;
  size_t index = 0;
  const auto [end, problem] = std::from_chars(name.data(), name.data() + name.size(), index);
  const bool whole = problem == std::errc{} && end == name.data() + name.size();
  return whole && index < from.size() ? &from[index] : nullptr;
}

const json* Path(const json& from, std::string_view path) {
  const json* found = &from;
  while (found != nullptr && !path.empty()) {
    const size_t dot = path.find('.');
    found = Entry(*found, path.substr(0, dot));
    path = dot == std::string_view::npos ? std::string_view{} : path.substr(dot + 1);
  }
  return found;
}

const json* Find(const std::vector<scope>& scopes, std::string_view path) {
  if (path == ".") return scopes.back().value;
  for (auto place = scopes.rbegin(); place != scopes.rend(); ++place) {
    if (const json* found = Path(*place->value, path)) return found;
  }
  return nullptr;
}

bool Present(const json* value) {
  return value != nullptr && !value->is_null() && *value != false &&
         !(value->is_structured() && value->empty());
}

std::string Text(const json& value) {
  if (value.is_null()) return {};
  if (value.is_string()) return value.get<std::string>();
  if (!value.is_array()) return value.dump();
  std::string joined;
  for (const json& one : value) joined += (joined.empty() ? "" : ",") + Text(one);
  return joined;
}

class renderer {
 public:
  explicit renderer(std::string_view text) : text_(text) {}

  // Renders up to the end of the section of this name, or of the text.
  std::string Render(std::vector<scope>& scopes, std::string_view section) {
    std::string out;
    while (true) {
      const size_t open = text_.find(kOpen, at_);
      if (open == std::string_view::npos) return out.append(text_.substr(at_));
      const size_t close = text_.find(kClose, open);
      out.append(text_.substr(at_, open - at_));
      const std::string_view tag = text_.substr(open + kOpen.size(), close - open - kOpen.size());
      at_ = close + kClose.size();
      switch (tag.front()) {
        case '/':
          if (tag.substr(1) == section) return out;
          break;
        case '#':
          out += RenderEntries(scopes, tag.substr(1));
          break;
        case '^':
          out += RenderIf(scopes, tag.substr(1), !Present(Find(scopes, tag.substr(1))));
          break;
        default:
          out += Value(scopes, tag);
      }
    }
  }

 private:
  static std::string Value(const std::vector<scope>& scopes, std::string_view tag) {
    if (tag == "@") return scopes.back().key;
    if (tag == ",") return scopes.back().last ? "" : ",";
    constexpr std::string_view kJson = "|json";
    const bool as_json = tag.ends_with(kJson);
    if (as_json) tag.remove_suffix(kJson.size());
    const json* value = Find(scopes, tag);
    if (value == nullptr) return {};
    return as_json ? value->dump() : Text(*value);
  }

  std::string RenderIf(std::vector<scope>& scopes, std::string_view name, bool wanted) {
    const std::string body = Render(scopes, name);
    return wanted ? body : std::string{};
  }

  std::string RenderEntries(std::vector<scope>& scopes, std::string_view name) {
    const json* value = Find(scopes, name);
    if (!Present(value)) return RenderIf(scopes, name, false);
    const size_t begin = at_;
    std::string out;
    const auto entry = [&](const json& one, std::string key, bool last) {
      at_ = begin;
      scopes.push_back({&one, std::move(key), last});
      out += Render(scopes, name);
      scopes.pop_back();
    };
    if (!value->is_structured()) {
      entry(*value, {}, true);
      return out;
    }
    size_t index = 0;
    for (const auto& [key, one] : value->items()) {
      entry(one, key, ++index == value->size());
    }
    return out;
  }

  std::string_view text_;
  size_t at_ = 0;
};

}  // namespace

std::string FillTemplate(std::string_view text, const json& fields) {
  std::vector<scope> scopes{{&fields, {}, true}};
  return renderer(text).Render(scopes, {});
}

}  // namespace bulrushway::standin
