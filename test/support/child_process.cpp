#include "child_process.h"

#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <utility>

extern char** environ;

namespace bulrushway::testing {
namespace {

constexpr std::chrono::milliseconds kPollInterval{5};

}  // namespace

child_process::child_process(const std::string& program, const std::vector<std::string>& arguments,
                             const std::string& log) {
  std::vector<char*> argv;
  argv.push_back(const_cast<char*>(program.c_str()));
  for (const std::string& argument : arguments) {
    argv.push_back(const_cast<char*>(argument.c_str()));
  }
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, 0, "/dev/null", O_RDONLY, 0);
  posix_spawn_file_actions_addopen(&actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, 1, 2);
  const int spawn_error =
      posix_spawn(&id_, program.c_str(), &actions, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (spawn_error != 0) throw std::runtime_error("cannot start " + program);
}

child_process::child_process(child_process&& other) noexcept
    : id_(std::exchange(other.id_, -1)), ended_(other.ended_), status_(other.status_) {}

child_process::~child_process() {
  if (id_ > 0) Kill();
}

void child_process::Signal(int number) const {
  if (id_ > 0 && !ended_) kill(id_, number);
}

bool child_process::Running() {
  if (ended_ || id_ <= 0) return false;
  int status = 0;
  if (waitpid(id_, &status, WNOHANG) != id_) return true;
  ended_ = true;
  status_ = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  return false;
}

bool child_process::WaitForEnd(std::chrono::milliseconds limit) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (Running()) {
    if (std::chrono::steady_clock::now() >= end) return false;
    Pause(kPollInterval);
  }
  return true;
}

void child_process::Kill() {
  if (!Running()) return;
  kill(id_, SIGKILL);
  int status = 0;
  waitpid(id_, &status, 0);
  ended_ = true;
}

std::pair<int, std::string> RunProgram(const std::string& program,
                                       const std::vector<std::string>& arguments,
                                       std::chrono::milliseconds limit) {
  std::string log = "/tmp/bulrush-output-XXXXXX";
  close(mkstemp(log.data()));
  child_process child(program, arguments, log);
  const bool ended = child.WaitForEnd(limit);
  if (!ended) child.Kill();
  std::ifstream file(log);
  std::string output{std::istreambuf_iterator<char>(file), {}};
  std::remove(log.c_str());
  return {ended ? child.ExitStatus() : -1, output};
}

void Pause(std::chrono::milliseconds time) { poll(nullptr, 0, static_cast<int>(time.count())); }

}  // namespace bulrushway::testing
