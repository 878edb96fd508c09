#ifndef BULRUSHWAY_HTTP_MESSAGE_H
#define BULRUSHWAY_HTTP_MESSAGE_H

// HTTP requests and answers as plain structs, shared by the HTTP server, the HTTP client and the
// messages between processes.

#include <string>
#include <utility>
#include <vector>

namespace bulrushway {

/// Header names and values, in the order received.
using header_list = std::vector<std::pair<std::string, std::string>>;

/// An HTTP request.
struct http_request {
  /// "GET", "POST", "PUT" or "DELETE".
  std::string method = "GET";
  /// Path with query, for example "/owner?key=7".
  std::string target = "/";
  header_list headers;
  std::string body;
};

/// An HTTP answer.
struct http_answer {
  int status = 200;
  header_list headers;
  std::string body;
};

/// Whether an answer with this status is a final one: 200 to 599 (RFC 9110, section 15).
constexpr bool IsFinalStatus(int status) {
  constexpr int kFirstFinalStatus = 200;
  constexpr int kLastStatus = 599;
  return status >= kFirstFinalStatus && status <= kLastStatus;
}

/// Whether the answer can be written as valid HTTP: its status is final, its field names are tokens
/// and its field values hold no control characters but tabs (RFC 9110, section 5).
bool IsWritable(const http_answer& answer);

/// Value of the first header of this name, ignoring case; empty when absent.
std::string FindHeader(const header_list& headers, const std::string& name);

/// Path of a request target, without the query.
std::string PathOf(const std::string& target);

/// Percent-encodes text for use in a path or a query: all bytes except letters, digits and -._~.
std::string PercentEncode(const std::string& text);

/// Decoded value of one parameter in the query of a request target; empty when absent.
std::string QueryValue(const std::string& target, const std::string& name);

}  // namespace bulrushway

#endif  // BULRUSHWAY_HTTP_MESSAGE_H
