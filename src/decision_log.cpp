#include "decision_log.h"

#include <fcntl.h>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <ctime>
#include <iterator>

namespace bulrushway {
namespace {

// Interval at which buffered lines are written. The limits on lines apply to each interval.
constexpr std::chrono::milliseconds kFlushInterval{250};
// Limits of routine and notable lines: 400 lines a second in all take well under 1% of a core.
constexpr uint64_t kMaxLinesPerInterval[2] = {60, 40};
// Limit on buffered bytes when the reader has stopped: new lines are dropped, buffered ones kept.
constexpr size_t kMaxBufferBytes = 64 << 10;

bool IsControl(char c) {
  const auto byte = static_cast<unsigned char>(c);
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  return byte < kFirstPrintable || byte == kDelete;
}

// Values may come from other processes: none may end the line or start a terminal sequence.
void AppendValue(std::string& line, const std::string& value) {
  if (!value.empty() && value.find_first_of(" =\"") == std::string::npos &&
      std::none_of(value.begin(), value.end(), IsControl)) {
    line += value;
    return;
  }
  line += '"';
  for (const char c : value) {
    if (c == '"' || c == '\\') line += '\\';
    line += IsControl(c) ? ' ' : c;
  }
  line += '"';
}

}  // namespace

decision_log::decision_log(event_loop& loop, std::string node, int descriptor)
    : node_(std::move(node)),
      descriptor_(descriptor),
      flush_(loop, [this](instant now) { OnFlushInterval(now); }) {
  const int flags = fcntl(descriptor_, F_GETFL, 0);
  if (flags >= 0) fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
  flush_.Every(kFlushInterval);
}

decision_log::~decision_log() { Flush(); }

bool decision_log::Allow(log_priority priority) {
  const auto index = static_cast<size_t>(priority);
  if (lines_[index] >= kMaxLinesPerInterval[index] || buffer_.size() > kMaxBufferBytes) {
    ++dropped_lines_;
    return false;
  }
  ++lines_[index];
  return true;
}

void decision_log::Write(std::string_view event, fields values, log_priority priority) {
  if (observer_ && priority == log_priority::kNotable) observer_(event, values);
  if (!Allow(priority)) return;
  timespec time{};
  clock_gettime(CLOCK_REALTIME, &time);
  constexpr long kNanosecondsPerMs = 1'000'000;
  fmt::format_to(std::back_inserter(buffer_), "{}.{:03} node={} event={}", time.tv_sec,
                 time.tv_nsec / kNanosecondsPerMs, node_, event);
  for (const auto& [key, value] : values) {
    buffer_ += ' ';
    buffer_ += key;
    buffer_ += '=';
    AppendValue(buffer_, value);
  }
  buffer_ += '\n';
}

void decision_log::Flush() {
  while (!buffer_.empty()) {
    const ssize_t written = write(descriptor_, buffer_.data(), buffer_.size());
    if (written < 0 && errno == EINTR) continue;
    if (written <= 0) return;
    buffer_.erase(0, static_cast<size_t>(written));
  }
}

void decision_log::OnFlushInterval(instant) {
  lines_[0] = 0;
  lines_[1] = 0;
  if (dropped_lines_ > reported_dropped_lines_) {
    const uint64_t newly_dropped = dropped_lines_ - reported_dropped_lines_;
    reported_dropped_lines_ = dropped_lines_;
    Write("log_lines_left_out", {{"lines", std::to_string(newly_dropped)}}, log_priority::kNotable);
  }
  Flush();
}

}  // namespace bulrushway
