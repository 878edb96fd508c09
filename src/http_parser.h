#ifndef BULRUSHWAY_HTTP_PARSER_H
#define BULRUSHWAY_HTTP_PARSER_H

// Incremental parsers of HTTP/1.1 requests and answers, based on Boost.Beast. They consume input as
// it arrives and return how many bytes belong to the message; the connection keeps the bytes that
// follow a complete message.

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "error.h"
#include "http_message.h"

namespace bulrushway {

/// Limits on the size of a message.
struct http_size_limits {
  /// Of a request: counts the field lines with their line ends, but neither the request line nor
  /// the empty line that ends the head, so that a caller whose own count includes more stays within
  /// it too. The request line has the same limit for itself, as have the line of a chunk and the
  /// trailers while they are incomplete.
  size_t header_bytes = 16 << 10;
  size_t body_bytes = 64 << 20;
};

/// Why a request cannot be parsed; determines the status of the answer.
enum class http_parse_problem { kMalformed, kHeaderTooLarge, kBodyTooLarge };

/// Parses one request.
class http_request_parser {
 public:
  explicit http_request_parser(const http_size_limits& limits);
  ~http_request_parser();
  http_request_parser(const http_request_parser&) = delete;
  http_request_parser& operator=(const http_request_parser&) = delete;

  /// Raises the limits to at least these; lower ones are ignored.
  void RaiseLimits(const http_size_limits& limits);
  /// Parses the next bytes and returns how many were consumed. The caller passes the remaining
  /// bytes again, together with those that follow.
  tl::expected<size_t, http_parse_problem> Feed(std::string_view bytes);
  /// Whether any input was received.
  bool Started() const { return started_; }
  bool HeaderComplete() const;
  /// The target and headers of a request whose header is complete, as received.
  std::string Target() const;
  header_list Headers() const;
  bool Complete() const;
  /// Length of the head, as far as it was consumed.
  size_t HeadBytes() const { return head_bytes_; }
  /// Memory that the body takes, and the length that its head announces; zero without one.
  size_t BodyBytes() const;
  uint64_t AnnouncedBytes() const;
  /// Whether the sender waits for "100 Continue" before it sends the body.
  bool ExpectsContinue() const;
  /// Whether the connection stays open after this request.
  bool KeepAlive() const;
  /// Moves the complete request out of the parser. A target that is a whole URL is replaced by its
  /// path, and the Host header by its host.
  http_request Take();

 private:
  struct state;

  std::optional<http_parse_problem> CheckRequestLine(std::string_view bytes);
  // Whether the headers exceed the limit, with `unread` bytes received but not consumed.
  bool FieldsTooLarge(size_t unread) const;

  http_size_limits limits_;
  std::unique_ptr<state> state_;
  bool started_ = false;
  // Length of the request line; zero until it is complete.
  size_t line_bytes_ = 0;
  // Bytes of the head that were consumed.
  size_t head_bytes_ = 0;
};

/// Parses one answer. Skips interim answers (1xx). An answer whose status is outside the protocol,
/// 100 to 599, is an error.
class http_answer_parser {
 public:
  explicit http_answer_parser(const http_size_limits& limits);
  ~http_answer_parser();
  http_answer_parser(const http_answer_parser&) = delete;
  http_answer_parser& operator=(const http_answer_parser&) = delete;

  /// Parses the next bytes and returns how many were consumed. `peer` is named in errors.
  result<size_t> Feed(std::string_view bytes, const std::string& peer);
  /// Handles an orderly close by the server. Completes an answer without a length; any other
  /// incomplete answer is an error.
  result<void> FeedEnd(const std::string& peer);
  bool Started() const { return started_; }
  bool Complete() const;
  bool KeepAlive() const;
  /// Length of the body that the head announces; zero while it is not known.
  uint64_t AnnouncedBytes() const;
  http_answer Take();

 private:
  void StartMessage();
  // Parses up to the end of the head, and checks what it announces.
  result<size_t> FeedHead(std::string_view bytes, const std::string& peer);

  struct state;
  http_size_limits limits_;
  std::unique_ptr<state> state_;
  bool started_ = false;
};

/// Serializes the request line and headers, with `extra` headers and Content-Length. Hop-by-hop
/// headers of `request` are omitted.
std::string SerializeRequestHead(const http_request& request, const header_list& extra);

/// Serializes the status line and headers of an answer; without `keep_alive`, with
/// "Connection: close". Hop-by-hop headers are omitted.
std::string SerializeAnswerHead(const http_answer& answer, bool keep_alive);

/// Whether the header is hop-by-hop and must not be forwarded. `connection_options` is the value of
/// the message's Connection header.
bool IsHopByHop(std::string_view name, std::string_view connection_options);

/// Compares ASCII text, ignoring case.
bool EqualIgnoringCase(std::string_view left, std::string_view right);

}  // namespace bulrushway

#endif  // BULRUSHWAY_HTTP_PARSER_H
