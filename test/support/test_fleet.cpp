#include "test_fleet.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>

namespace bulrushway::testing {
namespace {

using json = nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kPollInterval{20};
constexpr milliseconds kCommandLimit{20000};

std::string Program(const std::string& name) {
  return std::string(BULRUSHWAY_PROGRAMS) + "/" + name;
}

void WriteFile(const std::string& path, const std::string& text) { std::ofstream(path) << text; }

}  // namespace

test_fleet::test_fleet(const std::string& name)
    : folder_(std::string(BULRUSHWAY_PROGRAMS) + "/fleets/" + name),
      client_(loop_, 8),
      platform_address_(FreeAddress()),
      platform_control_(FreeAddress()) {
  std::signal(SIGPIPE, SIG_IGN);
  std::filesystem::remove_all(folder_);
  std::filesystem::create_directories(folder_);
  platform_ = std::make_unique<child_process>(
      Program("standin_platform"),
      std::vector<std::string>{"--listen=" + ToString(platform_address_),
                               "--control=" + ToString(platform_control_)},
      folder_ + "/platform.log");
  const bool up = Until([this] {
    return Call(platform_address_, {"GET", "/table/rows?prefix=x", {}, {}}).status == 200;
  });
  if (!up) throw std::runtime_error("the platform stand-in did not start");
}

test_fleet::~test_fleet() = default;

void test_fleet::StartNode(const node_plan& plan) {
  node_state& started = nodes_[plan.name];
  started.plan = plan;
  started.http = FreeAddress();
  started.peer = FreeAddress();
  started.target_address = FreeAddress();
  started.settings_file = folder_ + "/" + plan.name + ".ini";
  std::string seeds;
  for (const auto& [name, other] : nodes_) {
    if (name != plan.name) seeds += (seeds.empty() ? "" : ", ") + ToString(other.peer);
  }
  std::string text = "[node]\nname = " + plan.name + "\nservice = " + plan.service +
                     "\nregion = " + plan.region + "\ndata_centre = " + plan.data_centre +
                     "\nrack = " + plan.rack + "\n[listen]\nhttp = " + ToString(started.http) +
                     "\npeer = " + ToString(started.peer) +
                     "\n[target]\naddress = " + ToString(started.target_address) +
                     "\n[platform]\naddresses = " + ToString(platform_address_) + "\n";
  if (!seeds.empty()) text += "[peers]\nseeds = " + seeds + "\n";
  WriteFile(started.settings_file, text);
  RestartDaemon(plan.name);
}

void test_fleet::RestartDaemon(const std::string& name) {
  node_state& restarted = nodes_.at(name);
  RestartTarget(name);
  restarted.daemon = std::make_unique<child_process>(
      Program("bulrushd"),
      std::vector<std::string>{"--settings=" + restarted.settings_file, "--allow_faults"},
      folder_ + "/" + name + ".log");
}

void test_fleet::RestartTarget(const std::string& name) {
  node_state& restarted = nodes_.at(name);
  if (restarted.target != nullptr && restarted.target->Running()) return;
  restarted.target = std::make_unique<child_process>(
      Program("standin_target"),
      std::vector<std::string>{"--listen=" + ToString(restarted.target_address), "--name=" + name,
                               "--service_ms=2"},
      folder_ + "/" + name + ".target.log");
}

void test_fleet::KillInstance(const std::string& name) {
  nodes_.at(name).daemon->Kill();
  nodes_.at(name).target->Kill();
}

void test_fleet::KillDaemon(const std::string& name) { nodes_.at(name).daemon->Kill(); }

void test_fleet::Apply(const std::string& inventory, const std::string& rules) {
  WriteFile(folder_ + "/inventory.ini", inventory);
  WriteFile(folder_ + "/rules.ini", rules);
  const auto [status, output] = Ctl({"apply", "--inventory=" + folder_ + "/inventory.ini",
                                     "--rules=" + folder_ + "/rules.ini", "--author=test"});
  if (status != 0) throw std::runtime_error("apply failed: " + output);
}

std::pair<int, std::string> test_fleet::Ctl(std::vector<std::string> arguments) const {
  arguments.push_back("--platform=" + ToString(platform_address_));
  std::string addresses;
  for (const auto& [name, node] : nodes_) {
    addresses += (addresses.empty() ? "" : ",") + ToString(node.http);
  }
  arguments.push_back("--nodes=" + addresses);
  return RunProgram(Program("bulrushctl"), arguments, kCommandLimit);
}

http_answer test_fleet::Call(const socket_address& to, const http_request& request,
                             milliseconds timeout) {
  http_answer answer{0, {}, ""};
  client_.Send(to, request, timeout,
               [this, &answer](const tl::expected<http_answer, http_failure>& outcome) {
                 if (outcome) answer = *outcome;
                 loop_.Stop();
               });
  loop_.Run();
  return answer;
}

void test_fleet::CallWhile(const socket_address& to, const http_request& request,
                           milliseconds delay, const std::function<void()>& action,
                           http_answer& answer) {
  constexpr milliseconds kTimeout{6000};
  timer after(loop_, [&action](instant) { action(); });
  after.Once(delay);
  answer = Call(to, request, kTimeout);
}

http_answer test_fleet::Post(const std::string& name, const std::string& service,
                             const std::string& key, const header_list& headers,
                             const std::string& body) {
  http_request request{"POST", "/" + service + "/do", {{"X-Bulrush-Key", key}}, body};
  request.headers.insert(request.headers.end(), headers.begin(), headers.end());
  return Call(Http(name), request);
}

http_answer test_fleet::Get(const std::string& name, const std::string& path,
                            const header_list& headers) {
  return Call(Http(name), {"GET", path, headers, {}});
}

std::string test_fleet::OwnerOf(const std::string& name, const std::string& service,
                                const std::string& key) {
  const auto answer = Get(name, "/-/owner?service=" + service + "&key=" + key);
  const json parsed = json::parse(answer.body, nullptr, false);
  if (!parsed.is_object() || !parsed.contains("owner") || !parsed["owner"].is_string()) return {};
  return parsed["owner"];
}

void test_fleet::PlatformFaults(const std::string& faults) {
  Call(platform_control_, {"POST", "/faults", {}, faults});
}

void test_fleet::TargetFaults(const std::string& name, const std::string& faults) {
  Call(TargetAddress(name), {"POST", "/-/faults", {}, faults});
}

void test_fleet::Cut(const std::string& from, const std::string& to, bool cut) {
  const std::string verb = cut ? "drop" : "pass";
  Call(Http(to), {"POST", "/-/faults?" + verb + "_from=" + from, {}, {}});
}

std::string test_fleet::Executions(const std::string& name) {
  return Call(TargetAddress(name), {"GET", "/-/executions", {}, {}}).body;
}

bool test_fleet::Until(const std::function<bool()>& condition, milliseconds limit) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= end) return false;
    Pause(kPollInterval);
  }
  return true;
}

bool test_fleet::AllOwned(const std::string& service, size_t slices) {
  for (auto& [name, node] : nodes_) {
    if (!node.daemon->Running() || node.plan.service != service) continue;
    const json status = json::parse(Get(name, "/-/status").body, nullptr, false);
    if (!status.is_object()) return false;
    if (status["owned_slices_of_service"] != slices) return false;
  }
  return true;
}

std::vector<std::string> test_fleet::Nodes() const {
  std::vector<std::string> names;
  for (const auto& [name, node] : nodes_) names.push_back(name);
  return names;
}

}  // namespace bulrushway::testing
