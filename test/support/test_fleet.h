#ifndef BULRUSHWAY_TEST_FLEET_H
#define BULRUSHWAY_TEST_FLEET_H

// A small fleet of real processes on loopback for the failure tests: the platform stand-in, targets
// and their router processes (daemons). The destructor kills them all.

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "child_process.h"
#include "event_loop.h"
#include "free_address.h"
#include "http_client.h"
#include "http_message.h"
#include "socket_address.h"

namespace bulrushway::testing {

/// Name, service and place of a node.
struct node_plan {
  std::string name;
  std::string service;
  std::string region;
  std::string data_centre;
  std::string rack;
};

/// The processes of one test.
class test_fleet {
 public:
  /// Starts the platform stand-in. Logs go to the folder `name`.
  explicit test_fleet(const std::string& name);
  ~test_fleet();

  /// Starts a target and its daemon.
  void StartNode(const node_plan& plan);
  /// Starts the daemon of a known node, and its target if that isn't running.
  void RestartDaemon(const std::string& node);
  /// Restarts the target of a node if it has ended.
  void RestartTarget(const std::string& node);
  /// Kills the daemon and the target, as the loss of an instance does.
  void KillInstance(const std::string& node);
  /// Kills only the daemon.
  void KillDaemon(const std::string& node);
  child_process& Daemon(const std::string& node) { return *nodes_.at(node).daemon; }
  child_process& Target(const std::string& node) { return *nodes_.at(node).target; }

  /// Applies a configuration with bulrushctl; throws if it is rejected.
  void Apply(const std::string& inventory, const std::string& rules);
  /// Runs bulrushctl; returns its exit status and output.
  std::pair<int, std::string> Ctl(std::vector<std::string> arguments) const;

  /// Sends a request and waits for the answer; status 0 if none arrives in time.
  http_answer Call(const socket_address& to, const http_request& request,
                   std::chrono::milliseconds timeout = std::chrono::milliseconds{3000});
  /// Like Call, with a timeout of six seconds; runs `action` once after `delay` while it waits.
  void CallWhile(const socket_address& to, const http_request& request,
                 std::chrono::milliseconds delay, const std::function<void()>& action,
                 http_answer& answer);
  /// Sends a keyed, non-idempotent request to a node.
  http_answer Post(const std::string& node, const std::string& service, const std::string& key,
                   const header_list& headers = {}, const std::string& body = "x");
  http_answer Get(const std::string& node, const std::string& path,
                  const header_list& headers = {});
  /// Returns the owner of the key according to a node; empty if it knows none.
  std::string OwnerOf(const std::string& node, const std::string& service, const std::string& key);
  /// Sets faults of the platform or of a target (JSON).
  void PlatformFaults(const std::string& json);
  void TargetFaults(const std::string& node, const std::string& json);
  /// Drops all traffic of `from` to `to`, or lets it pass again if `cut` is false.
  void Cut(const std::string& from, const std::string& to, bool cut);
  /// Returns the execution counts of a target as JSON.
  std::string Executions(const std::string& node);

  /// Polls until the condition holds; returns false after `limit`.
  bool Until(const std::function<bool()>& condition,
             std::chrono::milliseconds limit = std::chrono::milliseconds{15000});
  /// Whether each running node of the service reports that all its slices have a live owner.
  bool AllOwned(const std::string& service, size_t slices);

  const socket_address& Http(const std::string& node) const { return nodes_.at(node).http; }
  const socket_address& TargetAddress(const std::string& node) const {
    return nodes_.at(node).target_address;
  }
  const socket_address& Platform() const { return platform_address_; }
  std::vector<std::string> Nodes() const;

 private:
  struct node_state {
    node_plan plan;
    socket_address http;
    socket_address peer;
    socket_address target_address;
    std::string settings_file;
    std::unique_ptr<child_process> target;
    std::unique_ptr<child_process> daemon;
  };

  std::string folder_;
  event_loop loop_;
  http_client client_;
  socket_address platform_address_;
  socket_address platform_control_;
  std::unique_ptr<child_process> platform_;
  std::map<std::string, node_state> nodes_;
};

}  // namespace bulrushway::testing

#endif  // BULRUSHWAY_TEST_FLEET_H
