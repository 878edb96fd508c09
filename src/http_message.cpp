#include "http_message.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <strings.h>

#include <algorithm>
#include <cctype>
#include <string_view>

namespace bulrushway {
namespace {

bool IsFieldName(std::string_view name) {
  constexpr std::string_view kPunctuation = "!#$%&'*+-.^_`|~";
  return !name.empty() && std::all_of(name.begin(), name.end(), [kPunctuation](unsigned char c) {
    return std::isalnum(c) != 0 || kPunctuation.find(static_cast<char>(c)) != kPunctuation.npos;
  });
}

bool IsFieldValue(std::string_view value) {
  return std::none_of(value.begin(), value.end(),
                      [](unsigned char c) { return c != '\t' && std::iscntrl(c) != 0; });
}

}  // namespace

bool IsWritable(const http_answer& answer) {
  return IsFinalStatus(answer.status) &&
         std::all_of(answer.headers.begin(), answer.headers.end(), [](const auto& field) {
           return IsFieldName(field.first) && IsFieldValue(field.second);
         });
}

std::string FindHeader(const header_list& headers, const std::string& name) {
  for (const auto& [key, value] : headers) {
    if (strcasecmp(key.c_str(), name.c_str()) == 0) return value;
  }
  return {};
}

std::string PathOf(const std::string& target) { return target.substr(0, target.find('?')); }

std::string PercentEncode(const std::string& text) {
  static constexpr char kHex[] = "0123456789ABCDEF";
  std::string encoded;
  for (const unsigned char c : text) {
    if (std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' || c == '~') {
      encoded += static_cast<char>(c);
      continue;
    }
    encoded += '%';
    encoded += kHex[c >> 4];
    encoded += kHex[c & 0xf];
  }
  return encoded;
}

std::string QueryValue(const std::string& target, const std::string& name) {
  const size_t query_mark = target.find('?');
  if (query_mark == std::string::npos) return {};
  evkeyvalq parsed{};
  evhttp_parse_query_str(target.c_str() + query_mark + 1, &parsed);
  const char* value = evhttp_find_header(&parsed, name.c_str());
  std::string found = value == nullptr ? "" : value;
  evhttp_clear_headers(&parsed);
  return found;
}

}  // namespace bulrushway
