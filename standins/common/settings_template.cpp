#include "settings_template.h"

#include <charconv>
#include <vector>

namespace bulrushway::standin {
namespace {

using json = nlohmann::ordered_json;

constexpr std::string_view kOpenTag = "{{";
constexpr std::string_view kCloseTag = "}}";

// Value that names are looked up in, one per open section. `key` and `last` describe the current
// entry of a table or list.
struct scope {
  const json* value;
  std::string key;
  bool last = true;
};

const json* FindEntry(const json& parent, std::string_view name) {
  if (parent.is_object()) {
    const auto found = parent.find(std::string(name));
    return found == parent.end() ? nullptr : &*found;
  }
  if (!parent.is_array()) return nullptr;
  size_t index = 0;
  const auto [end, problem] = std::from_chars(name.data(), name.data() + name.size(), index);
  const bool whole = problem == std::errc{} && end == name.data() + name.size();
  return whole && index < parent.size() ? &parent[index] : nullptr;
}

const json* FindPath(const json& root, std::string_view path) {
  const json* found = &root;
  while (found != nullptr && !path.empty()) {
    const size_t dot = path.find('.');
    found = FindEntry(*found, path.substr(0, dot));
    path = dot == std::string_view::npos ? std::string_view{} : path.substr(dot + 1);
  }
  return found;
}

const json* Resolve(const std::vector<scope>& scopes, std::string_view path) {
  if (path == ".") return scopes.back().value;
  for (auto it = scopes.rbegin(); it != scopes.rend(); ++it) {
    if (const json* found = FindPath(*it->value, path)) return found;
  }
  return nullptr;
}

bool IsPresent(const json* value) {
  return value != nullptr && !value->is_null() && *value != false &&
         !(value->is_structured() && value->empty());
}

std::string ToText(const json& value) {
  if (value.is_null()) return {};
  if (value.is_string()) return value.get<std::string>();
  if (!value.is_array()) return value.dump();
  std::string joined;
  for (const json& element : value) joined += (joined.empty() ? "" : ",") + ToText(element);
  return joined;
}

class renderer {
 public:
  explicit renderer(std::string_view text) : text_(text) {}

  // Renders up to the end of the named section, or to the end of the text.
  std::string Render(std::vector<scope>& scopes, std::string_view section) {
    std::string out;
    while (true) {
      const size_t open = text_.find(kOpenTag, position_);
      if (open == std::string_view::npos) return out.append(text_.substr(position_));
      const size_t close = text_.find(kCloseTag, open);
      out.append(text_.substr(position_, open - position_));
      const std::string_view tag =
          text_.substr(open + kOpenTag.size(), close - open - kOpenTag.size());
      position_ = close + kCloseTag.size();
      switch (tag.front()) {
        case '/':
          if (tag.substr(1) == section) return out;
          break;
        case '#':
          out += RenderEntries(scopes, tag.substr(1));
          break;
        case '^':
          out += RenderIf(scopes, tag.substr(1), !IsPresent(Resolve(scopes, tag.substr(1))));
          break;
        default:
          out += RenderValue(scopes, tag);
      }
    }
  }

 private:
  static std::string RenderValue(const std::vector<scope>& scopes, std::string_view tag) {
    if (tag == "@") return scopes.back().key;
    if (tag == ",") return scopes.back().last ? "" : ",";
    constexpr std::string_view kJson = "|json";
    const bool as_json = tag.ends_with(kJson);
    if (as_json) tag.remove_suffix(kJson.size());
    const json* value = Resolve(scopes, tag);
    if (value == nullptr) return {};
    return as_json ? value->dump() : ToText(*value);
  }

  std::string RenderIf(std::vector<scope>& scopes, std::string_view name, bool keep) {
    const std::string body = Render(scopes, name);
    return keep ? body : std::string{};
  }

  std::string RenderEntries(std::vector<scope>& scopes, std::string_view name) {
    const json* value = Resolve(scopes, name);
    if (!IsPresent(value)) return RenderIf(scopes, name, false);
    const size_t section_start = position_;
    std::string out;
    const auto render_entry = [&](const json& element, std::string key, bool last) {
      position_ = section_start;
      scopes.push_back({&element, std::move(key), last});
      out += Render(scopes, name);
      scopes.pop_back();
    };
    if (!value->is_structured()) {
      render_entry(*value, {}, true);
      return out;
    }
    size_t index = 0;
    for (const auto& [key, element] : value->items()) {
      render_entry(element, key, ++index == value->size());
    }
    return out;
  }

  std::string_view text_;
  size_t position_ = 0;
};

}  // namespace

std::string FillTemplate(std::string_view text, const json& fields) {
  std::vector<scope> scopes{{&fields, {}, true}};
  return renderer(text).Render(scopes, {});
}

}  // namespace bulrushway::standin
