#include "load_client.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace bulrushway::standin {
namespace {

using json = nlohmann::json;

// An entry that refused a connection is skipped for this time.
constexpr std::chrono::milliseconds kRefusedEntryBackoff{200};
// Time after its deadline at which a request without an answer is classified as lost.
constexpr std::chrono::milliseconds kDeadlineGrace{2000};
constexpr std::chrono::milliseconds kReadTargetTimeout{5000};
constexpr int kReadTargetAttempts = 3;

}  // namespace

load_client::load_client(event_loop& loop, load_plan plan, load_client_settings settings)
    : loop_(loop),
      settings_(std::move(settings)),
      report_(plan.Settings(), settings_.window),
      http_(loop, settings_.connections),
      player_(
          loop, std::move(plan),
          [this](const planned_request& planned, instant now) {
            ++pending_requests_;
            Send(planned, 0, now);
          },
          [this] {
            all_sent_ = true;
            FinishIfDone();
          }) {
  for (const auto& address : settings_.entries) entries_.push_back({address});
}

result<void> load_client::Start(instant now) {
  if (entries_.empty()) {
    return Failure(error_kind::kUser, "start load", "", "No entry is given by --entries.");
  }
  player_.Start(now);
  return {};
}

load_sender_figures load_client::SenderFigures() {
  return {player_.StartTime(), http_.ConnectionsOpened(), player_.Lag()};
}

size_t load_client::PickEntry(instant now) {
  for (size_t i = 0; i < entries_.size(); ++i) {
    const size_t index = next_entry_++ % entries_.size();
    if (entries_[index].skip_until <= now) return index;
  }
  return next_entry_++ % entries_.size();
}

void load_client::Send(const planned_request& planned, size_t refusals, instant now) {
  const size_t index = PickEntry(now);
  const auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(
      player_.DueTime(planned) + player_.Settings().deadline + kDeadlineGrace - now);
  const auto on_answer = [this, planned, refusals,
                          index](const tl::expected<http_answer, http_failure>& answer) {
    const instant answered_at = boot_clock::now();
    load_result finished;
    finished.request = planned;
    finished.latency = answered_at - player_.DueTime(planned);
    if (answer) {
      Classify(*answer, KeyName(planned), PathSuffix(planned), player_.Settings().deadline,
               finished);
      return Finish(std::move(finished));
    }
    if (answer.error().may_have_run) return Finish(std::move(finished));
    entries_[index].skip_until = answered_at + kRefusedEntryBackoff;
    if (refusals + 1 < entries_.size()) return Send(planned, refusals + 1, answered_at);
    finished.outcome = load_outcome::kUnreachable;
    finished.not_run = true;
    Finish(std::move(finished));
  };
  http_.Send(entries_[index].address, Compose(planned),
             std::max(timeout, std::chrono::milliseconds{1}), on_answer);
}

void load_client::Finish(load_result finished) {
  report_.Add(std::move(finished));
  --pending_requests_;
  FinishIfDone();
}

void load_client::FinishIfDone() {
  if (!all_sent_ || pending_requests_ > 0) return;
  if (settings_.targets.empty()) return loop_.Stop();
  for (size_t i = 0; i < settings_.targets.size(); ++i) ReadTarget(i, 1);
}

void load_client::ReadTarget(size_t index, int attempt) {
  const auto on_answer = [this, index,
                          attempt](const tl::expected<http_answer, http_failure>& answer) {
    if (answer && answer->status == 200) return OnTargetRead(index, answer->body);
    if (attempt < kReadTargetAttempts) return ReadTarget(index, attempt + 1);
    ++targets_unread_;
    OnTargetRead(index, "");
  };
  http_.Send(settings_.targets[index], {"GET", "/-/executions?ids=all", {}, {}}, kReadTargetTimeout,
             on_answer);
}

void load_client::OnTargetRead(size_t, const std::string& body) {
  const json parsed = json::parse(body, nullptr, false);
  if (parsed.is_object()) {
    ++targets_read_;
    executions_ += parsed.value("executions", uint64_t{0});
    for (const json& id : parsed.value("ids", json::array())) {
      runs_by_id_[id.value("id", "")] += id.value("count", uint64_t{0});
    }
  }
  if (targets_read_ + targets_unread_ < settings_.targets.size()) return;
  report_.CheckExecutions(runs_by_id_, targets_read_, targets_unread_, executions_);
  loop_.Stop();
}

std::string load_client::KeyName(const planned_request& planned) const {
  return "key" + std::to_string(planned.key);
}

std::string load_client::PathSuffix(const planned_request& planned) const {
  return "/" + player_.Settings().item + "/" + KeyName(planned);
}

http_request load_client::Compose(const planned_request& planned) const {
  const load_service& service = player_.Settings().services[planned.service];
  http_request request;
  request.method = planned.idempotent ? "GET" : "POST";
  request.target = "/" + service.name + PathSuffix(planned);
  request.headers.emplace_back("X-Bulrush-Request-Id", planned.request_id);
  request.headers.emplace_back("X-Bulrush-Tenant", "tenant" + std::to_string(planned.tenant));
  request.headers.emplace_back("X-Bulrush-Deadline-Ms",
                               std::to_string(player_.Settings().deadline.count()));
  if (service.keyed) request.headers.emplace_back("X-Bulrush-Key", KeyName(planned));
  if (!planned.idempotency_key.empty()) {
    request.headers.emplace_back("Idempotency-Key", planned.idempotency_key);
    request.headers.emplace_back("X-Bulrush-Attempt",
                                 planned.repeat_of.empty() ? "first" : "repeat");
  }
  if (!planned.idempotent) request.body.assign(settings_.body_bytes, 'b');
  return request;
}

}  // namespace bulrushway::standin
