#include "load_plan.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace bulrushway::standin {
namespace {

// Maximum delay between a request and its repeat.
constexpr std::chrono::milliseconds kMaxRepeatDelay{100};

tl::unexpected<error> BadServices(const std::string& part) {
  return Failure(error_kind::kUser, "read services", part,
                 "The part \"" + part + "\" is not of the form cronometraje:keyed:0.2.");
}

result<load_service> ParseLoadService(const std::string& part) {
  std::stringstream fields(part);
  load_service service;
  std::string kind;
  std::string share;
  const bool complete = std::getline(fields, service.name, ':') &&
                        std::getline(fields, kind, ':') && std::getline(fields, share);
  if (!complete || (kind != "keyed" && kind != "lookup")) return BadServices(part);
  service.keyed = kind == "keyed";
  char* end = nullptr;
  service.share = std::strtod(share.c_str(), &end);
  if (*end != '\0' || service.share < 0 || service.share > 1) return BadServices(part);
  return service;
}

// Cumulative probabilities of the keys, by rank, in a Zipf distribution.
std::vector<double> CumulativeKeyShares(uint64_t keys, double exponent) {
  std::vector<double> sums;
  double sum = 0;
  for (uint64_t rank = 1; rank <= keys; ++rank) {
    sum += std::pow(static_cast<double>(rank), -exponent);
    sums.push_back(sum);
  }
  for (double& part : sums) part /= sum;
  return sums;
}

}  // namespace

result<std::vector<load_service>> ParseLoadServices(const std::string& text) {
  std::vector<load_service> services;
  std::stringstream parts(text);
  std::string part;
  while (std::getline(parts, part, ',')) {
    auto service = ParseLoadService(part);
    if (!service) return tl::unexpected<error>(service.error());
    services.push_back(std::move(*service));
  }
  if (services.empty()) return BadServices(text);
  return services;
}

load_plan::load_plan(load_settings settings)
    : settings_(std::move(settings)),
      random_(settings_.seed),
      cumulative_key_shares_(CumulativeKeyShares(settings_.keys, settings_.zipf)) {}

std::optional<planned_request> load_plan::Next() {
  if (!next_request_) next_request_ = DrawRequest();
  const auto earliest =
      std::min_element(repeats_.begin(), repeats_.end(),
                       [](const auto& left, const auto& right) { return left.at < right.at; });
  if (earliest != repeats_.end() && earliest->at < next_request_->at) {
    planned_request repeat = std::move(*earliest);
    repeats_.erase(earliest);
    return repeat;
  }
  if (next_request_->at >= settings_.duration) return std::nullopt;
  planned_request next = std::move(*next_request_);
  next_request_.reset();
  const bool repeated = !next.idempotency_key.empty() && DrawUniform() < settings_.repeat_share;
  if (!repeated) return next;
  planned_request repeat = next;
  repeat.at +=
      std::chrono::duration_cast<std::chrono::nanoseconds>(kMaxRepeatDelay * DrawUniform());
  repeat.request_id += "r";
  repeat.repeat_of = next.request_id;
  repeats_.push_back(std::move(repeat));
  return next;
}

planned_request load_plan::DrawRequest() {
  const std::chrono::duration<double> interval(
      std::exponential_distribution<double>(settings_.rate)(random_));
  at_ += std::chrono::duration_cast<std::chrono::nanoseconds>(interval);
  planned_request request;
  request.at = at_;
  request.service = DrawService();
  request.key = DrawKey();
  request.tenant = static_cast<uint32_t>(DrawUniform() * static_cast<double>(settings_.tenants));
  const bool keyed = settings_.services[request.service].keyed;
  request.idempotent = !keyed || DrawUniform() >= settings_.write_share;
  const std::string number = std::to_string(settings_.seed) + "-" + std::to_string(next_number_++);
  request.request_id = "load-" + number;
  const bool with_key = !request.idempotent && DrawUniform() < settings_.idempotency_share;
  if (with_key) request.idempotency_key = "once-" + number;
  return request;
}

uint32_t load_plan::DrawService() {
  double draw = DrawUniform();
  for (uint32_t i = 0; i + 1 < settings_.services.size(); ++i) {
    if (draw < settings_.services[i].share) return i;
    draw -= settings_.services[i].share;
  }
  return static_cast<uint32_t>(settings_.services.size() - 1);
}

uint32_t load_plan::DrawKey() {
  const auto found =
      std::lower_bound(cumulative_key_shares_.begin(), cumulative_key_shares_.end(), DrawUniform());
  const auto rank =
      std::min<size_t>(found - cumulative_key_shares_.begin(), cumulative_key_shares_.size() - 1);
  return static_cast<uint32_t>(rank);
}

double load_plan::DrawUniform() { return std::uniform_real_distribution<double>(0, 1)(random_); }

}  // namespace bulrushway::standin
