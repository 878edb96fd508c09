#ifndef BULRUSHWAY_CTL_SESSION_H
#define BULRUSHWAY_CTL_SESSION_H

// What every verb of bulrushctl works with: the platform, the nodes and the way to print. Calls
// wait for their answers; each is bounded by a timeout, so that a dead node or platform costs
// little.

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

/// How bulrushctl ends.
enum class ctl_exit {
  kOk = 0,
  /// The user's mistake: nothing was changed.
  kUserError = 1,
  /// Somebody else's change came first: nothing was changed.
  kConflict = 2,
  /// The platform or some nodes did not answer.
  kUnreachable = 3,
};

/// What the command line says apart from the verb.
struct ctl_options {
  /// Table service and object store.
  std::vector<socket_address> platform;
  /// HTTP addresses of some nodes; the others are learned from them.
  std::vector<socket_address> nodes;
  /// Print JSON.
  bool json = false;
  /// Who commits changes.
  std::string author;
  /// Why, for the history.
  std::string note;
  /// Files for apply, diff and check instead of a folder's; empty: the stored document.
  std::string inventory_file;
  std::string rules_file;
  /// Version that the files were edited at; empty: as written by export.
  std::string base;
  /// Tenant of the key asked for.
  std::string tenant;
  /// Time of a stop, UTC; empty: now, or without end.
  std::string from;
  std::string until;
  /// After a change, wait this long until each node has it in force.
  std::chrono::milliseconds wait{0};
  /// Time limit of one call to a node.
  std::chrono::milliseconds timeout{1000};
  /// Entries to print of a history or of events.
  uint64_t limit = 20;
};

/// A node's answer to one request, or why there is none.
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

  /// The stored configuration; see configuration_store.h.
  result<stored_configuration> ReadCurrent();
  result<stored_configuration> ReadVersion(uint64_t version);
  result<std::vector<configuration_head>> ReadHistory(uint64_t newest, size_t count);
  apply_outcome Apply(const configuration_change& change);

  /// Sends a request to each address, a bounded number at a time; answers in the order of
  /// addresses.
  std::vector<node_answer> SendToNodes(const std::vector<socket_address>& addresses,
                                       const http_request& request);
  /// Lets time pass.
  void Sleep(std::chrono::milliseconds duration);

  /// Prints a line to standard output, or to standard error.
  void Print(const std::string& text) const;
  void PrintError(const std::string& text) const;

 private:
  // Starts a call and runs the loop until its callback was called.
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
