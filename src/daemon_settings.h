#ifndef BULRUSHWAY_DAEMON_SETTINGS_H
#define BULRUSHWAY_DAEMON_SETTINGS_H

// The settings of one bulrushd: who it is, where it listens, its target and the platform. They are
// read once at start from an INI file and checked whole. What operators change while the system
// runs is not here but in the inventory and the rules (configuration.h).

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "ini_document.h"
#include "socket_address.h"

namespace bulrushway {

/// How much the log says.
enum class log_level { kDebug, kInfo, kWarning, kError };

/// [node]: the process's identity and place.
struct node_settings {
  /// Unique in the fleet; a restarted process keeps it.
  std::string name;
  std::string service;
  std::string region;
  std::string data_centre;
  std::string rack;
  /// Share of keys relative to the other nodes of the service.
  uint32_t weight = 100;
};

/// [listen]: own addresses.
struct listen_settings {
  /// Callers and the administrative paths under /-/.
  socket_address http;
  /// Other processes: frames over TCP and heartbeats over UDP on the same port.
  socket_address peer;
};

/// [target]: the target beside the process.
struct target_settings {
  socket_address address;
  /// Whether the target itself refuses orders from anyone but the owner.
  bool checks_grants = false;
  /// Requests that it runs at a time; absent: the inventory's figure.
  std::optional<uint32_t> slots;
  /// Connections that it accepts; absent: the inventory's figure.
  std::optional<uint32_t> connections;
};

/// [limits]: bounds on what the process takes from callers.
struct limit_settings {
  /// Largest request or answer body, in bytes.
  uint64_t max_body = 1'048'576;
  /// Deadline of a request that names none.
  std::chrono::milliseconds default_deadline{2000};
  /// Longest deadline that a request may name.
  std::chrono::milliseconds max_deadline{30000};
  /// Longest time that a request waits for a slot.
  std::chrono::milliseconds queue_wait{100};
  /// Requests of callers under way at a time.
  uint32_t caller_requests = 20000;
};

/// [log]: where numbered events go.
struct log_settings {
  log_level level = log_level::kInfo;
  /// Path of the log file; absent: standard error.
  std::optional<std::string> file;
};

/// All settings of a process.
struct daemon_settings {
  node_settings node;
  listen_settings listen;
  target_settings target;
  /// [platform] addresses: table service and object store.
  std::vector<socket_address> platform;
  /// [peers] seeds: peer addresses to ask first when the platform does not answer.
  std::vector<socket_address> seeds;
  limit_settings limits;
  log_settings log;
};

/// Name in settings files, such as "warning".
std::string_view Name(log_level level);

/// Reads settings from INI text; `file` names it in messages.
checked<daemon_settings> ParseDaemonSettings(std::string_view file, std::string_view text);

/// Reads the settings file at `path`.
checked<daemon_settings> ReadDaemonSettings(const std::string& path);

}  // namespace bulrushway

#endif  // BULRUSHWAY_DAEMON_SETTINGS_H
