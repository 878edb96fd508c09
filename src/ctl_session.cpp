#include "ctl_session.h"

#include <cstdio>
#include <utility>

namespace bulrushway {
namespace {

constexpr size_t kNodesAskedAtOnce = 64;
constexpr size_t kConnectionsPerAddress = 4;

}  // namespace

ctl_session::ctl_session(ctl_options options)
    : options_(std::move(options)),
      client_(loop_, kConnectionsPerAddress),
      table_(client_, options_.platform),
      store_(table_, table_, [this](std::chrono::milliseconds delay, std::function<void()> next) {
        Later(delay, std::move(next));
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

// A request that goes to many addresses.
struct ctl_session::round {
  http_request request;
  std::vector<node_answer> answers;
  size_t next = 0;
  size_t open = 0;
  std::function<void(std::vector<node_answer>)> done;
};

std::vector<node_answer> ctl_session::Ask(const std::vector<socket_address>& addresses,
                                          const http_request& request) {
  if (addresses.empty()) return {};
  auto open = std::make_shared<round>();
  open->request = request;
  for (const socket_address& address : addresses) open->answers.push_back({address, {}, {}});
  return Await<std::vector<node_answer>>([&](const auto& done) {
    open->done = done;
    AskNext(open);
  });
}

void ctl_session::AskNext(const std::shared_ptr<round>& open) {
  while (open->open < kNodesAskedAtOnce && open->next < open->answers.size()) {
    const size_t index = open->next++;
    ++open->open;
    client_.Send(open->answers[index].address, open->request, options_.timeout,
                 [this, open, index](const tl::expected<http_answer, http_failure>& outcome) {
                   --open->open;
                   node_answer& answer = open->answers[index];
                   if (outcome) answer.answer = *outcome;
                   if (!outcome) answer.failure = outcome.error().message;
                   AskNext(open);
                 });
  }
  if (open->open == 0) open->done(std::move(open->answers));
}

void ctl_session::Sleep(std::chrono::milliseconds time) {
  Await<bool>([this, time](const auto& done) { Later(time, [done] { done(true); }); });
}

void ctl_session::Later(std::chrono::milliseconds delay, std::function<void()> next) {
  timers_.push_back(std::make_unique<timer>(loop_, [next = std::move(next)](instant) { next(); }));
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
