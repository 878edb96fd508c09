#include "caller_request.h"

#include <strings.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

namespace bulrushway {
namespace {

constexpr size_t kMaxNameBytes = 256;

// Headers that apply to a single connection (hop-by-hop), or that the router sets itself.
constexpr std::array<const char*, 8> kHopHeaders = {
    "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length",
    "Host",       "Upgrade",    "Idempotency-Key",   "Date"};

bool IsHopHeader(const std::string& name) {
  if (strncasecmp(name.c_str(), "X-Bulrush-", 10) == 0) return true;
  return std::ranges::any_of(
      kHopHeaders, [&name](const char* hop) { return strcasecmp(name.c_str(), hop) == 0; });
}

tl::unexpected<error> BadHeader(const std::string& name, const std::string& value,
                                const std::string& expected) {
  return Failure(error_kind::kUser, "read request", "",
                 "The header " + name + " is \"" + value + "\"; " + expected + ".");
}

result<std::optional<int64_t>> ReadNumber(const http_request& request, const std::string& name) {
  const std::string text = FindHeader(request.headers, name);
  if (text.empty()) return std::nullopt;
  int64_t value = 0;
  const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (code != std::errc{} || end != text.data() + text.size() || value <= 0) {
    return BadHeader(name, text, "it must be a positive whole number");
  }
  return value;
}

result<std::string> ReadName(const http_request& request, const std::string& name) {
  std::string text = FindHeader(request.headers, name);
  if (text.size() <= kMaxNameBytes) return text;
  return BadHeader(name, text.substr(0, 32) + "...",
                   "it may have at most " + std::to_string(kMaxNameBytes) + " bytes");
}

std::string ServiceOf(const std::string& target) {
  const std::string path = PathOf(target);
  const size_t end = path.find('/', 1);
  return path.substr(1, end == std::string::npos ? std::string::npos : end - 1);
}

result<uint8_t> ReadAttempt(const http_request& request) {
  const std::string text = FindHeader(request.headers, "X-Bulrush-Attempt");
  if (text.empty()) return 0;
  if (text == "first") return 1;
  if (text == "repeat") return 2;
  return BadHeader("X-Bulrush-Attempt", text, "it must be \"first\" or \"repeat\"");
}

result<void> ReadNames(const http_request& request, dispatch_request& parsed) {
  const std::array<std::pair<const char*, std::string*>, 4> names = {{
      {"X-Bulrush-Key", &parsed.key_name},
      {"X-Bulrush-Tenant", &parsed.tenant},
      {"Idempotency-Key", &parsed.idempotency_key},
      {"X-Bulrush-Request-Id", &parsed.request_id},
  }};
  for (const auto& [name, field] : names) {
    auto value = ReadName(request, name);
    if (!value) return tl::unexpected<error>(value.error());
    *field = std::move(*value);
  }
  return {};
}

result<void> ReadTimes(const http_request& request, const deadline_limits& limits,
                       dispatch_request& parsed) {
  const auto deadline = ReadNumber(request, "X-Bulrush-Deadline-Ms");
  if (!deadline) return tl::unexpected<error>(deadline.error());
  parsed.time_left = std::chrono::milliseconds(deadline->value_or(limits.default_deadline.count()));
  parsed.time_left = std::min(parsed.time_left, limits.max_deadline);
  const auto first_sent = ReadNumber(request, "X-Bulrush-First-Sent-Ms");
  if (!first_sent) return tl::unexpected<error>(first_sent.error());
  parsed.first_sent = std::chrono::milliseconds(first_sent->value_or(0));
  return {};
}

}  // namespace

result<dispatch_request> ParseCallerRequest(const http_request& request,
                                            const deadline_limits& limits,
                                            const std::string& fallback_id) {
  dispatch_request parsed;
  parsed.service = ServiceOf(request.target);
  if (auto names = ReadNames(request, parsed); !names) return tl::unexpected<error>(names.error());
  if (auto times = ReadTimes(request, limits, parsed); !times) {
    return tl::unexpected<error>(times.error());
  }
  const auto attempt = ReadAttempt(request);
  if (!attempt) return tl::unexpected<error>(attempt.error());
  parsed.caller_attempt = *attempt;
  if (parsed.request_id.empty()) parsed.request_id = fallback_id;
  const bool safe = request.method == "GET" || request.method == "HEAD";
  parsed.idempotent = safe || FindHeader(request.headers, "X-Bulrush-Idempotent") == "1";
  parsed.request.method = request.method;
  parsed.request.target = request.target;
  parsed.request.body = request.body;
  for (const auto& header : request.headers) {
    if (!IsHopHeader(header.first)) parsed.request.headers.push_back(header);
  }
  return parsed;
}

http_answer CallerAnswer(const dispatch_request& request, const dispatch_answer& answer) {
  http_answer reply{answer.answer.status, {}, answer.answer.body};
  for (const auto& header : answer.answer.headers) {
    const bool repeated = header.first == "X-Bulrush-Repeated";
    if (repeated || !IsHopHeader(header.first)) reply.headers.push_back(header);
  }
  reply.headers.emplace_back("X-Bulrush-Request-Id", request.request_id);
  return reply;
}

http_answer CallerRefusal(const std::string& request_id, refusal_reason reason, run_state state,
                          std::chrono::milliseconds retry_after, const std::string& detail,
                          const std::vector<std::string>& home_regions) {
  http_answer refusal;
  refusal.status = StatusOf(reason, state);
  refusal.headers = {{"X-Bulrush-Request-Id", request_id},
                     {"X-Bulrush-Reason", std::string(Name(reason))},
                     {"X-Bulrush-Run-State", std::string(Name(state))}};
  if (retry_after.count() > 0) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(retry_after).count();
    refusal.headers.emplace_back("Retry-After", std::to_string(seconds));
    refusal.headers.emplace_back("X-Bulrush-Retry-After-Ms", std::to_string(retry_after.count()));
  }
  std::string regions;
  for (const std::string& region : home_regions) regions += (regions.empty() ? "" : ", ") + region;
  if (!regions.empty()) refusal.headers.emplace_back("X-Bulrush-Home-Regions", regions);
  refusal.body = "The request was refused (" + std::string(Name(reason)) + ", " +
                 std::string(Name(state)) + ").";
  if (!detail.empty()) refusal.body += " " + detail;
  refusal.body += "\n";
  return refusal;
}

int StatusOf(refusal_reason reason, run_state state) {
  switch (reason) {
    case refusal_reason::kBadRequest:
      return 400;
    case refusal_reason::kUnknownService:
      return 404;
    case refusal_reason::kBodyTooLarge:
      return 413;
    case refusal_reason::kHomeRegion:
      return 421;
    case refusal_reason::kQuarantined:
      return 422;
    case refusal_reason::kTenantShare:
      return 429;
    case refusal_reason::kDeadlinePassed:
    case refusal_reason::kDeadlineTooShort:
      return 504;
    default:
      return state == run_state::kUnknown ? 502 : 503;
  }
}

}  // namespace bulrushway
