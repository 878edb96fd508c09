#include "event_log.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <chrono>

namespace bulrushway {
namespace {

// Number of events kept in memory.
constexpr size_t kRecentEvents = 500;

std::string WallClockText() {
  const auto now = std::chrono::system_clock::now();
  const auto seconds = std::chrono::floor<std::chrono::seconds>(now);
  const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(now - seconds);
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(seconds)), millis.count());
}

std::string Quote(const std::string& value) {
  if (value.find_first_of(" \"=\n") == std::string::npos && !value.empty()) return value;
  std::string quoted = "\"";
  for (const char c : value) {
    if (c == '"' || c == '\\') quoted += '\\';
    quoted += c == '\n' ? ' ' : c;
  }
  return quoted + '"';
}

spdlog::level::level_enum ToSpdlog(event_level level) {
  switch (level) {
    case event_level::kInfo:
      return spdlog::level::info;
    case event_level::kWarning:
      return spdlog::level::warn;
    case event_level::kError:
      return spdlog::level::err;
  }
  return spdlog::level::err;
}

}  // namespace

event_log::event_log(const std::string& node, const std::string& file, event_level level)
    : node_(node), level_(level) {
  spdlog::sink_ptr sink;
  if (file.empty()) {
    sink = std::make_shared<spdlog::sinks::stderr_sink_st>();
  } else {
    sink = std::make_shared<spdlog::sinks::basic_file_sink_st>(file);
  }
  auto logger = std::make_shared<spdlog::logger>("bulrushway", sink);
  logger->set_pattern("%v");
  logger->flush_on(spdlog::level::info);
  spdlog::set_default_logger(logger);
}

event_log::~event_log() { spdlog::shutdown(); }

void event_log::Write(event_id id, event_fields fields) {
  const event_entry& entry = FindEvent(id);
  logged_event event{WallClockText(), id, std::move(fields)};
  if (entry.level >= level_) {
    spdlog::default_logger_raw()->log(ToSpdlog(entry.level), "{} {} {}", event.time, node_,
                                      ToString(event));
  }
  recent_.push_back(std::move(event));
  if (recent_.size() > kRecentEvents) recent_.pop_front();
}

void event_log::Write(event_id id, const error& cause) {
  Write(id, {{"step", cause.step}, {"peer", cause.peer}, {"message", cause.message}});
}

std::string ToString(const logged_event& event) {
  std::string text =
      fmt::format("BW-{:04} {}", static_cast<unsigned>(event.id), FindEvent(event.id).name);
  for (const auto& [key, value] : event.fields) text += " " + key + "=" + Quote(value);
  return text;
}

}  // namespace bulrushway
