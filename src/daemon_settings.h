#ifndef BULRUSHWAY_DAEMON_SETTINGS_H
#define BULRUSHWAY_DAEMON_SETTINGS_H

// The settings of one bulrushd: its identity, listening addresses, target and platform. They are
// read once at start from an INI file, and all errors in the file are reported together. Values
// that operators change at run time are in the inventory and the rules (configuration.h).

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "ini_document.h"
#include "socket_address.h"

namespace bulrushway {

/// Least severe level that is logged.
enum class log_level { kDebug, kInfo, kWarning, kError };

/// [node]: the process's identity and location.
struct node_settings {
  /// Unique in the fleet; a restarted process keeps it.
  std::string name;
  std::string service;
  std::string region;
  std::string data_centre;
  std::string rack;
  /// Share of keys relative to the weights of the other nodes of the service.
  uint32_t weight = 100;
};

/// [listen]: the addresses on which the process listens.
struct listen_settings {
  /// Callers and operators (paths under /-/).
  socket_address http;
  /// Peers: frames over TCP and heartbeats over UDP on the same port.
  socket_address peer;
};

/// [target]: the target beside the process.
struct target_settings {
  socket_address address;
  /// Whether the target itself rejects requests that the current owner of the key did not send.
  bool checks_grants = false;
  /// Requests that the target runs concurrently; absent: as given in the inventory.
  std::optional<uint32_t> slots;
  /// Connections that the target accepts; absent: as given in the inventory.
  std::optional<uint32_t> connections;
};

/// [limits]: limits on callers' requests.
struct limit_settings {
  /// Maximum size of a request or answer body, in bytes.
  uint64_t max_body = 1'048'576;
  /// Deadline of a request that does not carry one.
  std::chrono::milliseconds default_deadline{2000};
  /// Longest deadline that a request may carry.
  std::chrono::milliseconds max_deadline{30000};
  /// Longest time that a request may wait for a slot.
  std::chrono::milliseconds queue_wait{100};
  /// Callers' requests that may be in flight at a time.
  uint32_t caller_requests = 20000;
};

/// [log]: level and destination of the event log.
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
  /// [platform] addresses: the platform's table service and object store.
  std::vector<socket_address> platform;
  /// [peers] seeds: peer addresses to contact when the platform does not answer at start.
  std::vector<socket_address> seeds;
  limit_settings limits;
  log_settings log;
};

/// Name as written in settings files, such as "warning".
std::string_view Name(log_level level);

/// Parses settings from INI text. `file` is the file name in error messages. Returns all errors.
checked<daemon_settings> ParseDaemonSettings(std::string_view file, std::string_view text);

/// Reads and parses the settings file at `path`.
checked<daemon_settings> ReadDaemonSettings(const std::string& path);

}  // namespace bulrushway

#endif  // BULRUSHWAY_DAEMON_SETTINGS_H
