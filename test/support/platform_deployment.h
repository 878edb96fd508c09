#ifndef BULRUSHWAY_TEST_PLATFORM_DEPLOYMENT_H
#define BULRUSHWAY_TEST_PLATFORM_DEPLOYMENT_H

// Real router processes on the platform, beside stand-ins of its targets and store.

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "child_process.h"
#include "http_client.h"
#include "row_server.h"
#include "sealing_target.h"
#include "severable_path.h"

namespace bulrushway::testing {

using outcome = tl::expected<http_answer, http_failure>;

/// An instance: a target and its router process. Machine n listens on loopback address 127.0.7.n.
struct machine {
  std::string ip;
  std::unique_ptr<standin::sealing_target> target;
  /// Between the process and its target, where the place has one.
  std::unique_ptr<severable_path> path_to_target;
  std::unique_ptr<child_process> process;
  std::string settings_file;

  socket_address Address(uint16_t port) const { return {ip, port}; }
};

inline constexpr uint16_t kCallersPort = 7147;
inline constexpr uint16_t kReadyPort = 7141;
inline constexpr uint16_t kControlPort = 7144;
inline constexpr uint16_t kTargetPort = 7145;
/// Port of a target that is reached through a path.
inline constexpr uint16_t kHiddenTargetPort = 7146;

/// Memory that each process may use.
inline constexpr size_t kMachineMemoryMb = 160;

/// Where a machine stands, and the service of its target.
struct machine_place {
  std::string service;
  std::string data_centre = "a";
  std::string region = "r";
  /// The process reaches its target through a path that can change answers.
  bool has_path_to_target = false;
};

/// Router processes beside stand-ins of targets, and a stand-in of the store.
class platform_deployment {
 public:
  /// With `by_calls`, keys are granted by calls, of which every fourth is carried out late.
  explicit platform_deployment(
      bool by_calls = false,
      const std::vector<machine_place>& places = {{"plain"}, {"plain"}, {"keyed"}, {"keyed"}},
      size_t memory_mb = kMachineMemoryMb)
      : by_calls_(by_calls), memory_mb_(memory_mb), store_(loop_, kStoreAddress) {
    // Stand-ins may write to a connection that a process has closed.
    std::signal(SIGPIPE, SIG_IGN);
    BOOST_REQUIRE(store_.Listen());
    for (const machine_place& place : places) AddMachine(place);
  }

  event_loop& loop() { return loop_; }
  standin::row_server& store() { return store_; }
  std::vector<machine>& machines() { return machines_; }

  // Runs the event loop until `done` holds, for at most `limit`; returns whether it holds.
  bool Until(const std::function<bool()>& done, std::chrono::milliseconds limit) {
    const instant end = boot_clock::now() + limit;
    timer poll_timer(loop_, [this](instant) { loop_.Stop(); });
    while (!done()) {
      if (boot_clock::now() >= end) return false;
      poll_timer.Once(std::chrono::milliseconds(20));
      loop_.Run();
    }
    return true;
  }
  void Wait(std::chrono::milliseconds time) {
    Until([] { return false; }, time);
  }

  // Sends a request to the process of a machine. The result is set once the answer arrives. A
  // negative `key` means no key of a keyed service.
  std::shared_ptr<std::optional<outcome>> Send(
      size_t entry, const std::string& path, const std::string& id, int key = -1,
      std::chrono::milliseconds timeout = std::chrono::seconds(2),
      const header_list& more_headers = {}) {
    http_request request;
    request.method = path.starts_with("/pay/") ? "POST" : "GET";
    request.target = path;
    request.headers = {{"Host", "h"},
                       {"X-Bulrushway-Request-Id", id},
                       {"X-Bulrushway-Request-Timeout", std::to_string(timeout.count())}};
    if (key >= 0) request.headers.emplace_back("X-Bulrushway-Shard-Key", std::to_string(key));
    request.headers.insert(request.headers.end(), more_headers.begin(), more_headers.end());
    auto result = std::make_shared<std::optional<outcome>>();
    client_.Send(machines_[entry].Address(kCallersPort), std::move(request),
                 timeout + std::chrono::seconds(1),
                 [result](outcome answer) { *result = std::move(answer); });
    return result;
  }
  int StatusOf(size_t entry, const std::string& path, const std::string& id, int key = -1) {
    const auto result = Send(entry, path, id, key);
    Until([&] { return result->has_value(); }, std::chrono::seconds(4));
    if (!result->has_value() || !(*result)->has_value()) return 0;
    return (**result)->status;
  }
  bool Ready(size_t entry) {
    http_request request;
    request.target = "/bulrushway/ready";
    int status = 0;
    client_.Send(machines_[entry].Address(kReadyPort), std::move(request), std::chrono::seconds(1),
                 [&status](const outcome& answer) { status = answer ? answer->status : -1; });
    Until([&status] { return status != 0; }, std::chrono::seconds(2));
    return status == 200;
  }
  // Waits until every process is ready and all keys have an owner.
  bool WaitUntilSettled() {
    return Until(
        [this] {
          for (size_t i = 0; i < machines_.size(); ++i) {
            if (machines_[i].process->Running() && !Ready(i)) return false;
          }
          return CountHolders(0) == 1 && CountHolders(65535) == 1;
        },
        std::chrono::seconds(15));
  }
  // Largest resident memory that the process of a machine has had, in MB.
  double PeakMemoryMb(size_t index) {
    std::ifstream status("/proc/" + std::to_string(machines_[index].process->Id()) + "/status");
    constexpr double kKilobytesPerMegabyte = 1000;
    constexpr double kKibibyte = 1.024;
    std::string word;
    while (status >> word) {
      double kibibytes = 0;
      if (word == "VmHWM:" && status >> kibibytes) {
        return kibibytes * kKibibyte / kKilobytesPerMegabyte;
      }
    }
    return 0;
  }
  // Descriptors that the process of a machine has open.
  size_t OpenDescriptors(size_t index) {
    const std::filesystem::directory_iterator descriptors(
        "/proc/" + std::to_string(machines_[index].process->Id()) + "/fd");
    return static_cast<size_t>(std::distance(begin(descriptors), end(descriptors)));
  }
  int CountHolders(uint32_t key) {
    int holders = 0;
    for (const machine& each : machines_) holders += each.target->Holds(key) ? 1 : 0;
    return holders;
  }
  void StartProcess(machine& host) {
    setenv("BULRUSHWAY_BOOT", host.settings_file.c_str(), 1);
    host.process =
        std::make_unique<child_process>(std::string(BULRUSHWAY_PROGRAMS) + "/bulrushway-node",
                                        std::vector<std::string>{}, host.settings_file + ".log");
  }

 private:
  void AddMachine(const machine_place& place) {
    const std::string number = std::to_string(machines_.size() + 1);
    machine added;
    added.ip = "127.0.7." + number;
    added.settings_file = "/tmp/bulrushway-platform-test" + number + ".ini";
    standin::sealing_target_settings target;
    target.id = "i-" + number;
    target.service = place.service;
    target.address = added.Address(kTargetPort);
    target.control = added.Address(kControlPort);
    if (place.has_path_to_target) {
      target.address = added.Address(kHiddenTargetPort);
      target.announced_address = added.Address(kTargetPort);
      added.path_to_target =
          std::make_unique<severable_path>(loop_, added.Address(kTargetPort), target.address);
      BOOST_REQUIRE(added.path_to_target->Listening());
    }
    target.keyed = place.service == "keyed";
    target.granted_by_calls = by_calls_;
    target.late_grant_every = by_calls_ ? 4 : 0;
    added.target = std::make_unique<standin::sealing_target>(loop_, target);
    BOOST_REQUIRE(added.target->Listen());
    std::ofstream(added.settings_file)
        << "[node]\nname = n" << number << "\nip = " << added.ip
        << "\ndata_centre = " << place.data_centre << "\nregion = " << place.region
        << "\nservice = " << place.service << "\ntarget = " << ToString(added.Address(kTargetPort))
        << "\nheartbeat = 300 ms\ngrants = " << (by_calls_ ? "call" : "heartbeat")
        << "\n[listen]\ncallers = " << ToString(added.Address(kCallersPort))
        << "\nready = " << ToString(added.Address(kReadyPort))
        << "\nheartbeats = " << ToString(added.Address(kControlPort))
        << "\nfirst_and_last_port = 7380,7395\n[store]\naddress = " << ToString(kStoreAddress)
        << "\n[machine]\nmemory_mb = " << memory_mb_
        << "\n[bounds]\ndrain_s = 2.5\ngrace_s = 6\nhold_max_s = 10\n";
    std::remove((added.settings_file + ".log").c_str());
    StartProcess(added);
    machines_.push_back(std::move(added));
  }

  // Callers hold all answers that a test asks for.
  static constexpr size_t kMaxBufferedAnswers = size_t{1} << 30;

  const socket_address kStoreAddress{"127.0.7.100", 7142};
  bool by_calls_;
  size_t memory_mb_;
  event_loop loop_;
  standin::row_server store_;
  http_client client_{loop_, http_client_settings{.max_connections = 64,
                                                  .max_buffered_bytes = kMaxBufferedAnswers}};
  std::vector<machine> machines_;
};

}  // namespace bulrushway::testing

#endif  // BULRUSHWAY_TEST_PLATFORM_DEPLOYMENT_H
