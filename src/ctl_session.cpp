#include "ctl_session.h"

#include <cstdio>
#include <utility>

namespace bulrushway {
namespace {

constexpr size_t kMaxConcurrentCalls = 64;
constexpr size_t kConnectionsPerAddress = 4;

}  // namespace

ctl_session::ctl_session(ctl_options options)
    : options_(std::move(options)),
      client_(loop_, kConnectionsPerAddress),
      table_(client_, options_.platform),
      store_(table_, table_,
             [this](std::chrono::milliseconds delay, std::function<void()> callback) {
               RunAfter(delay, std::move(callback));
             }) {}

result<stored_configuration> ctl_session::ReadCurrent() {
  return Await<result<stored_configuration>>(
      [this](const auto& done) { store_.ReadCurrent(done); });
}

result<stored_configuration> ctl_session::ReadVersion(uint64_t version) {
  return Await<result<stored_configuration>>(
      [this, version](const auto& done) { store_.ReadVersion(version, done); });
}

result<std::vector<configuration_head>> ctl_session::ReadHistory(uint64_t newest, size_t count) {
  return Await<result<std::vector<configuration_head>>>(
      [&](const auto& done) { store_.ReadHistory(newest, count, done); });
}

apply_outcome ctl_session::Apply(const configuration_change& change) {
  return Await<apply_outcome>([&](const auto& done) { store_.Apply(change, done); });
}

// The state of SendToNodes(): calls of one request to several addresses.
struct ctl_session::fan_out {
  http_request request;
  std::vector<node_answer> answers;
  size_t next_index = 0;
  size_t in_flight = 0;
  std::function<void(std::vector<node_answer>)> done;
};

std::vector<node_answer> ctl_session::SendToNodes(const std::vector<socket_address>& addresses,
                                                  const http_request& request) {
  if (addresses.empty()) return {};
  auto calls = std::make_shared<fan_out>();
  calls->request = request;
  for (const socket_address& address : addresses) calls->answers.push_back({address, {}, {}});
  return Await<std::vector<node_answer>>([&](const auto& done) {
    calls->done = done;
    SendNext(calls);
  });
}

void ctl_session::SendNext(const std::shared_ptr<fan_out>& calls) {
  while (calls->in_flight < kMaxConcurrentCalls && calls->next_index < calls->answers.size()) {
    const size_t index = calls->next_index++;
    ++calls->in_flight;
    client_.Send(calls->answers[index].address, calls->request, options_.timeout,
                 [this, calls, index](const tl::expected<http_answer, http_failure>& outcome) {
                   --calls->in_flight;
                   node_answer& answer = calls->answers[index];
                   if (outcome) answer.answer = *outcome;
                   if (!outcome) answer.failure = outcome.error().message;
                   SendNext(calls);
                 });
  }
  if (calls->in_flight == 0) calls->done(std::move(calls->answers));
}

void ctl_session::Sleep(std::chrono::milliseconds duration) {
  Await<bool>([this, duration](const auto& done) { RunAfter(duration, [done] { done(true); }); });
}

void ctl_session::RunAfter(std::chrono::milliseconds delay, std::function<void()> callback) {
  timers_.push_back(
      std::make_unique<timer>(loop_, [next = std::move(callback)](instant) { next(); }));
  timers_.back()->Once(delay);
}

void ctl_session::Print(const std::string& text) const {
  std::fwrite(text.data(), 1, text.size(), stdout);
  if (!text.ends_with('\n')) std::fputc('\n', stdout);
}

void ctl_session::PrintError(const std::string& text) const {
  std::fprintf(stderr, "bulrushctl: %s\n", text.c_str());
}

}  // namespace bulrushway
