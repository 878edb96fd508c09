#include "daemon_settings.h"

#include <array>
#include <utility>

#include "ini_section_reader.h"
#include "quantity.h"

namespace bulrushway {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view kStep = "read settings";
constexpr uint64_t kMaxWeight = 1000;
constexpr uint64_t kMaxSlots = 10'000;
constexpr uint64_t kMaxConnections = 100'000;
constexpr uint64_t kMaxCallerRequests = 1'000'000;
constexpr uint64_t kMaxBody = 64ULL * 1024 * 1024;
constexpr milliseconds kMaxDeadline{600'000};
constexpr std::array<std::string_view, 4> kLevelNames = {"debug", "info", "warning", "error"};

// Returns a parser for integers from `min` to `max`, both included.
auto CountBetween(uint64_t min, uint64_t max) {
  return [min, max](std::string_view text) { return ParseCount(text, min, max); };
}

parsed<milliseconds> ParseDeadline(std::string_view text) {
  parsed<milliseconds> value = ParseDuration(text);
  if (!value || (*value > milliseconds(0) && *value <= kMaxDeadline)) return value;
  return tl::unexpected<std::string>("'" + std::string(text) +
                                     "' is out of range; write a duration from 1 ms to 10 min.");
}

parsed<uint64_t> ParseBodySize(std::string_view text) {
  parsed<uint64_t> value = ParseSize(text);
  if (!value || (*value > 0 && *value <= kMaxBody)) return value;
  return tl::unexpected<std::string>("'" + std::string(text) +
                                     "' is out of range; write a size from 1 B to 64 MiB.");
}

parsed<log_level> ParseLevel(std::string_view text) {
  for (size_t i = 0; i < kLevelNames.size(); ++i) {
    if (kLevelNames.at(i) == text) return static_cast<log_level>(i);
  }
  return tl::unexpected<std::string>("'" + std::string(text) +
                                     "' is no level; write debug, info, warning or error.");
}

parsed<std::string> ParseNonEmpty(std::string_view text) {
  if (!text.empty()) return std::string(text);
  return tl::unexpected<std::string>("the value is empty; write a value or leave the key out.");
}

class settings_parser {
 public:
  settings_parser(const ini_document& document, std::vector<error>& errors)
      : document_(document), errors_(errors) {}

  daemon_settings Parse() {
    ReportUnknownSections(document_,
                          {"node", "listen", "target", "platform", "peers", "limits", "log"}, kStep,
                          errors_);
    ReadNode();
    ReadListen();
    ReadTarget();
    ReadPlatform();
    ReadPeers();
    ReadLimits();
    ReadLog();
    return std::move(settings_);
  }

 private:
  // A missing section is read as an empty one, so that each of its required keys is reported.
  ini_section_reader OpenSection(std::string_view name) {
    const ini_section* found = document_.Find(name);
    if (found == nullptr) {
      empty_section_.name = name;
      empty_section_.line = 1;
      found = &empty_section_;
    }
    return ini_section_reader(document_.file, *found, kStep, errors_);
  }

  void ReadNode() {
    ini_section_reader reader = OpenSection("node");
    node_settings& node = settings_.node;
    reader.ReadRequired("name", "lima-a-01", node.name, ParseName);
    reader.ReadRequired("service", "corredores", node.service, ParseName);
    reader.ReadRequired("region", "lima", node.region, ParseName);
    reader.ReadRequired("data_centre", "lima-a", node.data_centre, ParseName);
    reader.ReadRequired("rack", "r1", node.rack, ParseName);
    reader.ReadOptional("weight", node.weight, CountBetween(1, kMaxWeight));
    reader.ReportUnknownKeys();
  }

  void ReadListen() {
    ini_section_reader reader = OpenSection("listen");
    listen_settings& listen = settings_.listen;
    reader.ReadRequired("http", "10.1.2.3:8080", listen.http, ParseAddress);
    reader.ReadRequired("peer", "10.1.2.3:8081", listen.peer, ParseAddress);
    if (listen.http.port != 0 && listen.http == listen.peer) {
      reader.Report("peer", "'" + ToString(listen.peer) +
                                "' is also the address for http; write another port.");
    }
    reader.ReportUnknownKeys();
  }

  void ReadTarget() {
    ini_section_reader reader = OpenSection("target");
    target_settings& target = settings_.target;
    reader.ReadRequired("address", "127.0.0.1:9000", target.address, ParseAddress);
    reader.ReadOptional("checks_grants", target.checks_grants, ParseYesNo);
    reader.ReadOptional("slots", target.slots, CountBetween(1, kMaxSlots));
    reader.ReadOptional("connections", target.connections, CountBetween(1, kMaxConnections));
    reader.ReportUnknownKeys();
  }

  void ReadPlatform() {
    ini_section_reader reader = OpenSection("platform");
    reader.ReadRequiredList("addresses", "10.1.2.3:7000, 10.1.2.4:7000", settings_.platform,
                            ParseAddress);
    reader.ReportUnknownKeys();
  }

  void ReadPeers() {
    ini_section_reader reader = OpenSection("peers");
    reader.ReadOptionalList("seeds", settings_.seeds, ParseAddress);
    reader.ReportUnknownKeys();
  }

  void ReadLimits() {
    ini_section_reader reader = OpenSection("limits");
    limit_settings& limits = settings_.limits;
    reader.ReadOptional("max_body", limits.max_body, ParseBodySize);
    reader.ReadOptional("default_deadline", limits.default_deadline, ParseDeadline);
    reader.ReadOptional("max_deadline", limits.max_deadline, ParseDeadline);
    reader.ReadOptional("queue_wait", limits.queue_wait, ParseDeadline);
    reader.ReadOptional("caller_requests", limits.caller_requests,
                        CountBetween(1, kMaxCallerRequests));
    if (limits.default_deadline > limits.max_deadline) {
      reader.Report("default_deadline", "'" + std::to_string(limits.default_deadline.count()) +
                                            " ms' is longer than max_deadline; write at most '" +
                                            std::to_string(limits.max_deadline.count()) + " ms'.");
    }
    reader.ReportUnknownKeys();
  }

  void ReadLog() {
    ini_section_reader reader = OpenSection("log");
    reader.ReadOptional("level", settings_.log.level, ParseLevel);
    reader.ReadOptional("file", settings_.log.file, ParseNonEmpty);
    reader.ReportUnknownKeys();
  }

  const ini_document& document_;
  std::vector<error>& errors_;
  ini_section empty_section_;
  daemon_settings settings_;
};

checked<daemon_settings> FromDocument(const ini_document& document, std::vector<error> errors) {
  daemon_settings settings = settings_parser(document, errors).Parse();
  if (!errors.empty()) return tl::unexpected<std::vector<error>>(std::move(errors));
  return settings;
}

}  // namespace

std::string_view Name(log_level level) { return kLevelNames.at(static_cast<size_t>(level)); }

checked<daemon_settings> ParseDaemonSettings(std::string_view file, std::string_view text) {
  std::vector<error> errors;
  const ini_document document = ParseIni(file, text, errors);
  return FromDocument(document, std::move(errors));
}

checked<daemon_settings> ReadDaemonSettings(const std::string& path) {
  const result<std::string> text = ReadTextFile(path);
  if (!text) return tl::unexpected<std::vector<error>>({text.error()});
  return ParseDaemonSettings(path, *text);
}

}  // namespace bulrushway
