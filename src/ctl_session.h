#ifndef BULRUSHWAY_CTL_SESSION_H
#define BULRUSHWAY_CTL_SESSION_H

// The context of a verb of bulrushctl: blocking calls to the platform and to the nodes, and output.
// Each call has a timeout, so that an unreachable node or platform delays the verb only briefly.

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "configuration_store.h"
#include "event_loop.h"
#include "http_client.h"
#include "http_table_service.h"
#include "socket_address.h"

namespace bulrushway {

/// Exit codes of bulrushctl.
enum class ctl_exit {
  kOk = 0,
  /// Error of the user; nothing was changed.
  kUserError = 1,
  /// Another change was committed first; nothing was changed.
  kConflict = 2,
  /// The platform or a node did not answer.
  kUnreachable = 3,
};

/// Flags of the command line.
struct ctl_options {
  /// Addresses of the platform's table service and object store.
  std::vector<socket_address> platform;
  /// HTTP addresses of some nodes; the others are discovered through them.
  std::vector<socket_address> nodes;
  /// Print JSON.
  bool json = false;
  /// Author of changes, for the history.
  std::string author;
  /// Reason for changes, for the history.
  std::string note;
  /// Files for apply, diff and check, in place of those in DIR; empty: the file in DIR or, without
  /// DIR, the stored document.
  std::string inventory_file;
  std::string rules_file;
  /// Version on which the files are based; empty: as written by export.
  std::string base;
  /// Tenant of the key, for owner.
  std::string tenant;
  /// Start and end of a planned stop, UTC; empty: now, and no end.
  std::string from;
  std::string until;
  /// After a change, wait at most this long for all nodes to adopt it; zero: don't wait.
  std::chrono::milliseconds wait{0};
  /// Time limit of one call to a node.
  std::chrono::milliseconds timeout{1000};
  /// Maximum number of history entries, or of events per node.
  uint64_t limit = 20;
};

/// A node's answer to a request, or the reason for its absence.
struct node_answer {
  socket_address address;
  std::optional<http_answer> answer;
  std::string failure;
};

/// One run of bulrushctl.
class ctl_session {
 public:
  using store_type = configuration_store<http_table_service, http_table_service>;

  explicit ctl_session(ctl_options options);

  const ctl_options& options() const { return options_; }

  /// Access to the stored configuration; see configuration_store.h.
  result<stored_configuration> ReadCurrent();
  result<stored_configuration> ReadVersion(uint64_t version);
  result<std::vector<configuration_head>> ReadHistory(uint64_t newest, size_t count);
  apply_outcome Apply(const configuration_change& change);

  /// Sends the request to all addresses, with a limit on concurrent calls. The answers have the
  /// order of the addresses.
  std::vector<node_answer> SendToNodes(const std::vector<socket_address>& addresses,
                                       const http_request& request);
  /// Runs the event loop for this duration.
  void Sleep(std::chrono::milliseconds duration);

  /// Print a line to standard output or standard error.
  void Print(const std::string& text) const;
  void PrintError(const std::string& text) const;

 private:
  // Starts an asynchronous call and runs the loop until its callback is called; returns its result.
  template <class Value>
  Value Await(std::function<void(std::function<void(Value)>)> start) {
    std::optional<Value> outcome;
    start([&](Value value) {
      outcome = std::move(value);
      loop_.Stop();
    });
    while (!outcome) loop_.Run();
    return *std::move(outcome);
  }

  void RunAfter(std::chrono::milliseconds delay, std::function<void()> callback);
  struct fan_out;
  void SendNext(const std::shared_ptr<fan_out>& calls);

  ctl_options options_;
  event_loop loop_;
  http_client client_;
  http_table_service table_;
  store_type store_;
  std::vector<std::unique_ptr<timer>> timers_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_CTL_SESSION_H
