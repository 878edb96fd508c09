#ifndef BULRUSHWAY_HTTP_PARSER_H
#define BULRUSHWAY_HTTP_PARSER_H

// Incremental parsers of HTTP/1.1 requests and answers over Boost.Beast. They take bytes as they
// come and say how many of them belong to the message, so that whatever follows a complete message
// stays visible to the connection that owns the bytes.

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "error.h"
#include "http_message.h"

namespace bulrushway {

/// Largest message that is read.
struct http_size_limits {
  size_t header_bytes = 16 << 10;
  size_t body_bytes = 64 << 20;
};

/// Why a request cannot be read; decides the status of the answer.
enum class http_parse_problem { kMalformed, kHeaderTooLarge, kBodyTooLarge };

/// Reads one request.
class http_request_parser {
 public:
  explicit http_request_parser(const http_size_limits& limits);
  ~http_request_parser();
  http_request_parser(const http_request_parser&) = delete;
  http_request_parser& operator=(const http_request_parser&) = delete;

  /// Takes the next bytes and returns how many belong to this request. Bytes that are not taken
  /// have to be offered again together with those that follow.
  tl::expected<size_t, http_parse_problem> Feed(std::string_view bytes);
  /// Whether any byte was taken.
  bool Started() const { return started_; }
  bool HeaderComplete() const;
  bool Complete() const;
  /// The client waits for "100 Continue" before it sends the body.
  bool ExpectsContinue() const;
  /// The client keeps the connection open after this request.
  bool KeepAlive() const;
  /// The complete request; leaves the parser empty.
  http_request Take();

 private:
  struct state;
  std::unique_ptr<state> state_;
  bool started_ = false;
};

/// Reads one answer. Interim answers (1xx) are skipped.
class http_answer_parser {
 public:
  explicit http_answer_parser(const http_size_limits& limits);
  ~http_answer_parser();
  http_answer_parser(const http_answer_parser&) = delete;
  http_answer_parser& operator=(const http_answer_parser&) = delete;

  /// Takes the next bytes and returns how many belong to this answer.
  result<size_t> Feed(std::string_view bytes, const std::string& peer);
  /// The sender closed the connection in order. Completes an answer without a length; any other
  /// incomplete answer is an error.
  result<void> FeedEnd(const std::string& peer);
  bool Started() const { return started_; }
  bool Complete() const;
  bool KeepAlive() const;
  http_answer Take();

 private:
  struct state;
  http_size_limits limits_;
  std::unique_ptr<state> state_;
  bool started_ = false;
};

/// Bytes of a request with a length, ready to send. Headers that concern one connection are not
/// copied from `request`.
std::string SerializeRequestHead(const http_request& request, const header_list& extra);

/// Bytes of an answer's head. `keep_alive` tells the receiver whether the connection stays open.
std::string SerializeAnswerHead(const http_answer& answer, bool keep_alive);

/// Whether the header concerns one connection only and must not be forwarded. `connection_options`
/// is the value of the message's Connection header.
bool IsHopByHop(std::string_view name, std::string_view connection_options);

/// Compares ASCII text without regard to case.
bool EqualIgnoringCase(std::string_view left, std::string_view right);

}  // namespace bulrushway

#endif  // BULRUSHWAY_HTTP_PARSER_H
