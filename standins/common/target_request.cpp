#include "target_request.h"

#include <charconv>

namespace bulrushway::standin {
namespace {

std::optional<uint64_t> ReadNumber(const header_list& headers, const std::string& name) {
  const std::string text = FindHeader(headers, name);
  uint64_t number = 0;
  const char* last = text.data() + text.size();
  const auto [end, code] = std::from_chars(text.data(), last, number);
  if (text.empty() || code != std::errc{} || end != last) return std::nullopt;
  return number;
}

std::optional<instant> ReadRemainingTime(const header_list& headers, const std::string& name,
                                         instant now) {
  const auto remaining = ReadNumber(headers, name);
  if (!remaining) return std::nullopt;
  return now + std::chrono::milliseconds{*remaining};
}

}  // namespace

target_request ReadTargetRequest(const http_request& request, instant now) {
  const header_list& headers = request.headers;
  target_request parsed;
  parsed.request_id = FindHeader(headers, "X-Bulrush-Request-Id");
  parsed.idempotency_key = FindHeader(headers, "Idempotency-Key");
  parsed.key = FindHeader(headers, "X-Bulrush-Key");
  parsed.idempotent = request.method == "GET" || request.method == "HEAD" ||
                      FindHeader(headers, "X-Bulrush-Idempotent") == "1";
  parsed.poison = PathOf(request.target).find("/poison") != std::string::npos ||
                  !FindHeader(headers, "X-Bulrush-Poison").empty();
  const auto slice = ReadNumber(headers, "X-Bulrush-Slice");
  const auto epoch = ReadNumber(headers, "X-Bulrush-Epoch");
  if (slice && epoch) {
    parsed.owner = owned_slice{FindHeader(headers, "X-Bulrush-Service"), *slice, *epoch};
  }
  parsed.grant_expires = ReadRemainingTime(headers, "X-Bulrush-Grant-Expires-Ms", now);
  parsed.deadline = ReadRemainingTime(headers, "X-Bulrush-Deadline-Ms", now);
  return parsed;
}

std::optional<std::string> grant_checker::Check(const target_request& request, instant now) {
  if (!request.owner) return std::nullopt;
  uint64_t& highest = epochs_[{request.owner->service, request.owner->slice}];
  if (request.owner->epoch < highest) return "epoch";
  highest = request.owner->epoch;
  if (request.grant_expires && now > *request.grant_expires) return "grant expired";
  return std::nullopt;
}

}  // namespace bulrushway::standin
