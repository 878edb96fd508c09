#include "http_parser.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cctype>
#include <limits>
#include <stdexcept>

namespace bulrushway {
namespace {

namespace beast_http = boost::beast::http;

// Hop-by-hop headers, apart from those named in a Connection header. The serializer writes its own
// Content-Length.
constexpr std::array<std::string_view, 9> kHopByHopHeaders = {"Connection",
                                                              "Keep-Alive",
                                                              "Proxy-Connection",
                                                              "Proxy-Authenticate",
                                                              "Proxy-Authorization",
                                                              "TE",
                                                              "Trailer",
                                                              "Transfer-Encoding",
                                                              "Upgrade"};

constexpr size_t kLineEndBytes = 2;

std::string_view View(boost::beast::string_view text) { return {text.data(), text.size()}; }

template <class Fields>
header_list CopyFields(const Fields& fields) {
  header_list copied;
  for (const auto& field : fields) {
    copied.emplace_back(std::string(View(field.name_string())), std::string(View(field.value())));
  }
  return copied;
}

// Whether a received head has a transfer coding other than chunked. Beast ignores those: the body
// would be passed on encoded, or end where another server sees it go on.
template <class Parser>
bool HasUnknownCoding(const Parser& parser) {
  if (!parser.is_header_done()) return false;
  const auto [first, last] = parser.get().equal_range(beast_http::field::transfer_encoding);
  return std::any_of(first, last, [](const auto& field) {
    return !EqualIgnoringCase(View(field.value()), "chunked");
  });
}

// Parses one step, or all that is possible when the parser is eager. Returns the bytes consumed.
template <class Parser>
size_t PutBytes(Parser& parser, std::string_view bytes, boost::beast::error_code& failure) {
  failure = {};
  size_t consumed = 0;
  try {
    consumed = parser.put(boost::asio::const_buffer(bytes.data(), bytes.size()), failure);
  } catch (const std::length_error&) {
    // Beast stores the sizes of a field in 16 bits, and throws for a longer name or value.
    failure = beast_http::error::header_limit;
  }
  if (failure == beast_http::error::need_more) failure = {};
  return consumed;
}

// Parses until the parser needs more input or the message is complete. Returns the bytes consumed.
template <class Parser>
size_t FeedParser(Parser& parser, std::string_view bytes, boost::beast::error_code& failure) {
  // "0", CRLF, CRLF. Beast asserts this many bytes once it has seen the first line of a last chunk.
  constexpr size_t kShortestLastChunk = 5;
  size_t consumed = 0;
  while (consumed < bytes.size() && !parser.is_done()) {
    const bool in_chunks = parser.is_header_done() && parser.chunked();
    if (in_chunks && bytes.size() - consumed < kShortestLastChunk) break;
    const size_t step = PutBytes(parser, bytes.substr(consumed), failure);
    consumed += step;
    if (failure || step == 0) break;
  }
  return consumed;
}

http_parse_problem ProblemOf(const boost::beast::error_code& failure) {
  if (failure == beast_http::error::header_limit) return http_parse_problem::kHeaderTooLarge;
  if (failure == beast_http::error::body_limit) return http_parse_problem::kBodyTooLarge;
  return http_parse_problem::kMalformed;
}

uint32_t HeaderLimit(const http_size_limits& limits) {
  return static_cast<uint32_t>(
      std::min<size_t>(limits.header_bytes, std::numeric_limits<uint32_t>::max()));
}

bool ListContains(std::string_view list, std::string_view name) {
  while (!list.empty()) {
    const size_t comma = list.find(',');
    std::string_view item = list.substr(0, comma);
    while (!item.empty() && item.front() == ' ') item.remove_prefix(1);
    while (!item.empty() && item.back() == ' ') item.remove_suffix(1);
    if (EqualIgnoringCase(item, name)) return true;
    if (comma == std::string_view::npos) break;
    list.remove_prefix(comma + 1);
  }
  return false;
}

// Replaces a target that is a whole URL by its path, and the Host header by its host, which takes
// precedence.
void SplitAbsoluteTarget(http_request& request) {
  const std::string_view target = request.target;
  const size_t scheme = target.find("://");
  if (scheme == std::string_view::npos) return;
  if (!EqualIgnoringCase(target.substr(0, scheme), "http") &&
      !EqualIgnoringCase(target.substr(0, scheme), "https")) {
    return;
  }
  const std::string_view rest = target.substr(scheme + 3);
  const size_t path = std::min(rest.find_first_of("/?"), rest.size());
  const std::string host(rest.substr(0, path));
  if (host.empty()) return;
  std::erase_if(request.headers,
                [](const auto& header) { return EqualIgnoringCase(header.first, "Host"); });
  request.headers.emplace_back("Host", host);
  std::string origin_form(rest.substr(path));
  if (!origin_form.starts_with('/')) origin_form.insert(0, 1, '/');
  request.target = std::move(origin_form);
}

}  // namespace

struct http_request_parser::state {
  beast_http::request_parser<beast_http::string_body> parser;
};

http_request_parser::http_request_parser(const http_size_limits& limits)
    : limits_(limits), state_(std::make_unique<state>()) {
  // Beast's limit counts from where the last read ended, so that the outcome would depend on how
  // the bytes are split, and neither of its limits may change while it reads. Feed() applies them.
  state_->parser.header_limit(std::numeric_limits<uint32_t>::max());
  state_->parser.body_limit(std::numeric_limits<uint64_t>::max());
}

http_request_parser::~http_request_parser() = default;

void http_request_parser::RaiseLimits(const http_size_limits& limits) {
  limits_.header_bytes = std::max(limits_.header_bytes, limits.header_bytes);
  limits_.body_bytes = std::max(limits_.body_bytes, limits.body_bytes);
}

std::optional<http_parse_problem> http_request_parser::CheckRequestLine(std::string_view bytes) {
  if (line_bytes_ > 0) return std::nullopt;
  const size_t end = bytes.find('\n');
  const size_t length = end == std::string_view::npos ? bytes.size() : end + 1;
  if (length > limits_.header_bytes + kLineEndBytes) return http_parse_problem::kHeaderTooLarge;
  if (end == std::string_view::npos) return std::nullopt;
  // Beast may wait for the end of the head before it detects a bare line feed.
  if (end == 0 || bytes[end - 1] != '\r') return http_parse_problem::kMalformed;
  line_bytes_ = length;
  return std::nullopt;
}

bool http_request_parser::FieldsTooLarge(size_t unread) const {
  if (line_bytes_ == 0) return false;
  const size_t fields = head_bytes_ + unread - line_bytes_;
  // The line end that concludes the head is not counted; of an incomplete head, a part of it may
  // have been received.
  const size_t uncounted = HeaderComplete() ? kLineEndBytes : kLineEndBytes - 1;
  return fields > limits_.header_bytes + uncounted;
}

tl::expected<size_t, http_parse_problem> http_request_parser::Feed(std::string_view bytes) {
  using unexpected = tl::unexpected<http_parse_problem>;
  if (!bytes.empty()) started_ = true;
  boost::beast::error_code failure;
  size_t consumed = 0;
  if (!HeaderComplete()) {
    if (const auto problem = CheckRequestLine(bytes)) return unexpected(*problem);
    // Not eager: stops at the end of the head.
    state_->parser.eager(false);
    consumed = PutBytes(state_->parser, bytes, failure);
    if (failure) return unexpected(ProblemOf(failure));
    head_bytes_ += consumed;
    const size_t unread = HeaderComplete() ? 0 : bytes.size() - consumed;
    if (FieldsTooLarge(unread)) return unexpected(http_parse_problem::kHeaderTooLarge);
    if (!HeaderComplete()) return consumed;
    if (HasUnknownCoding(state_->parser)) return unexpected(http_parse_problem::kMalformed);
    if (state_->parser.content_length().value_or(0) > limits_.body_bytes) {
      return unexpected(http_parse_problem::kBodyTooLarge);
    }
    state_->parser.eager(true);
  }
  consumed += FeedParser(state_->parser, bytes.substr(consumed), failure);
  if (failure) return unexpected(ProblemOf(failure));
  if (state_->parser.get().body().size() > limits_.body_bytes) {
    return unexpected(http_parse_problem::kBodyTooLarge);
  }
  // Only the line of a chunk or the trailers can be left unread.
  if (!Complete() && bytes.size() - consumed > limits_.header_bytes + kLineEndBytes) {
    return unexpected(http_parse_problem::kHeaderTooLarge);
  }
  return consumed;
}

bool http_request_parser::HeaderComplete() const { return state_->parser.is_header_done(); }

std::string http_request_parser::Target() const {
  return std::string(View(state_->parser.get().target()));
}

header_list http_request_parser::Headers() const { return CopyFields(state_->parser.get().base()); }

bool http_request_parser::Complete() const { return state_->parser.is_done(); }

size_t http_request_parser::BodyBytes() const { return state_->parser.get().body().capacity(); }

uint64_t http_request_parser::AnnouncedBytes() const {
  return HeaderComplete() ? state_->parser.content_length().value_or(0) : 0;
}

bool http_request_parser::ExpectsContinue() const {
  constexpr unsigned kHttp11 = 11;
  return HeaderComplete() && state_->parser.get().version() >= kHttp11 &&
         EqualIgnoringCase(View(state_->parser.get()[beast_http::field::expect]), "100-continue");
}

bool http_request_parser::KeepAlive() const { return state_->parser.get().keep_alive(); }

http_request http_request_parser::Take() {
  auto message = state_->parser.release();
  http_request request;
  request.method = std::string(View(message.method_string()));
  request.target = std::string(View(message.target()));
  request.headers = CopyFields(message.base());
  request.body = std::move(message.body());
  SplitAbsoluteTarget(request);
  return request;
}

struct http_answer_parser::state {
  int Status() const { return static_cast<int>(parser.get().result_int()); }
  bool IsInterim() const {
    return beast_http::to_status_class(parser.get().result_int()) ==
           beast_http::status_class::informational;
  }

  beast_http::response_parser<beast_http::string_body> parser;
};

http_answer_parser::http_answer_parser(const http_size_limits& limits) : limits_(limits) {
  StartMessage();
}

http_answer_parser::~http_answer_parser() = default;

void http_answer_parser::StartMessage() {
  state_ = std::make_unique<state>();
  // Not eager: stops at the end of the head, since Beast reserves memory for the announced body.
  state_->parser.eager(false);
  state_->parser.header_limit(HeaderLimit(limits_));
  state_->parser.body_limit(limits_.body_bytes);
}

result<size_t> http_answer_parser::FeedHead(std::string_view bytes, const std::string& peer) {
  const auto fail = [&peer](const std::string& message) {
    return Failure(error_kind::kPeer, "read answer", peer, message);
  };
  boost::beast::error_code failure;
  const size_t consumed = PutBytes(state_->parser, bytes, failure);
  if (failure) return fail("The answer is not valid HTTP: " + failure.message() + ".");
  if (!state_->parser.is_header_done()) return consumed;
  // Beast accepts any three digits.
  if (!state_->IsInterim() && !IsFinalStatus(state_->Status())) {
    return fail("The answer has the status " + std::to_string(state_->Status()) +
                ", which is outside 100 to 599.");
  }
  if (HasUnknownCoding(state_->parser)) {
    return fail("The answer has a transfer coding other than chunked.");
  }
  if (AnnouncedBytes() > limits_.body_bytes) {
    return fail("The answer announces a body of " + std::to_string(AnnouncedBytes()) +
                " bytes, more than the limit of " + std::to_string(limits_.body_bytes) + ".");
  }
  state_->parser.eager(true);
  return consumed;
}

uint64_t http_answer_parser::AnnouncedBytes() const {
  if (!state_->parser.is_header_done()) return 0;
  return state_->parser.content_length().value_or(0);
}

result<size_t> http_answer_parser::Feed(std::string_view bytes, const std::string& peer) {
  if (!bytes.empty()) started_ = true;
  size_t consumed = 0;
  while (true) {
    if (!state_->parser.is_header_done()) {
      auto head = FeedHead(bytes.substr(consumed), peer);
      if (!head) return head;
      consumed += *head;
    }
    boost::beast::error_code failure;
    if (state_->parser.is_header_done()) {
      consumed += FeedParser(state_->parser, bytes.substr(consumed), failure);
    }
    if (failure) {
      return Failure(error_kind::kPeer, "read answer", peer,
                     "The answer is not valid HTTP: " + failure.message() + ".");
    }
    if (!state_->parser.is_done() || !state_->IsInterim()) return consumed;
    StartMessage();
  }
}

result<void> http_answer_parser::FeedEnd(const std::string& peer) {
  if (Complete()) return {};
  if (state_->parser.is_header_done() && state_->parser.need_eof()) {
    boost::beast::error_code failure;
    state_->parser.put_eof(failure);
    if (!failure) return {};
  }
  return Failure(error_kind::kPeer, "read answer", peer,
                 "The connection was closed before the answer was complete.");
}

bool http_answer_parser::Complete() const { return state_->parser.is_done(); }

bool http_answer_parser::KeepAlive() const {
  return !state_->parser.need_eof() && state_->parser.get().keep_alive();
}

http_answer http_answer_parser::Take() {
  auto message = state_->parser.release();
  http_answer answer;
  answer.status = static_cast<int>(message.result_int());
  answer.headers = CopyFields(message.base());
  answer.body = std::move(message.body());
  return answer;
}

bool EqualIgnoringCase(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         std::equal(left.begin(), left.end(), right.begin(), [](unsigned char a, unsigned char b) {
           return std::tolower(a) == std::tolower(b);
         });
}

bool IsHopByHop(std::string_view name, std::string_view connection_options) {
  const bool listed =
      std::any_of(kHopByHopHeaders.begin(), kHopByHopHeaders.end(),
                  [name](std::string_view header) { return EqualIgnoringCase(header, name); });
  return listed || ListContains(connection_options, name);
}

namespace {

void AppendHeaders(std::string& text, const header_list& headers) {
  const std::string options = FindHeader(headers, "Connection");
  for (const auto& [name, value] : headers) {
    if (IsHopByHop(name, options) || EqualIgnoringCase(name, "Content-Length")) continue;
    text.append(name).append(": ").append(value).append("\r\n");
  }
}

}  // namespace

std::string SerializeRequestHead(const http_request& request, const header_list& extra) {
  std::string text;
  constexpr size_t kTypicalHeadBytes = 512;
  text.reserve(kTypicalHeadBytes);
  text.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
  AppendHeaders(text, request.headers);
  for (const auto& [name, value] : extra) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  const bool usually_without_body =
      request.method == "GET" || request.method == "DELETE" || request.method == "HEAD";
  if (!request.body.empty() || !usually_without_body) {
    text.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n");
  }
  return text.append("\r\n");
}

std::string SerializeAnswerHead(const http_answer& answer, bool keep_alive) {
  std::string text = "HTTP/1.1 " + std::to_string(answer.status) + " ";
  text.append(View(beast_http::obsolete_reason(
      beast_http::int_to_status(static_cast<unsigned>(answer.status)))));
  text.append("\r\n");
  AppendHeaders(text, answer.headers);
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  if (answer.status != kNoContent && answer.status != kNotModified) {
    text.append("Content-Length: ").append(std::to_string(answer.body.size())).append("\r\n");
  }
  if (!keep_alive) text.append("Connection: close\r\n");
  return text.append("\r\n");
}

}  // namespace bulrushway
