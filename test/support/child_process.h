#ifndef BULRUSHWAY_CHILD_PROCESS_H
#define BULRUSHWAY_CHILD_PROCESS_H

// Starts, signals and stops a real process under test, with its output in a file.

#include <sys/types.h>

#include <chrono>
#include <string>
#include <vector>

namespace bulrushway::testing {

/// A child process. The destructor kills it if it is still running.
class child_process {
 public:
  /// Starts `program` with `arguments`; standard output and error go to `log`.
  child_process(const std::string& program, const std::vector<std::string>& arguments,
                const std::string& log);
  ~child_process();
  child_process(child_process&& other) noexcept;
  child_process& operator=(child_process&&) = delete;

  /// Sends a signal; does nothing if the process is known to have ended.
  void Signal(int number) const;
  /// Waits for the process to end, for at most `limit`. Returns whether it has ended.
  bool WaitForEnd(std::chrono::milliseconds limit);
  /// Kills the process and waits for its end.
  void Kill();
  bool Running();
  pid_t Id() const { return id_; }
  /// Exit status of a process that has ended; -1 while it runs or if a signal ended it.
  int ExitStatus() const { return status_; }

 private:
  pid_t id_ = -1;
  bool ended_ = false;
  int status_ = -1;
};

/// Runs a program and returns its exit status and output. After `limit` the program is killed and
/// the status is -1.
std::pair<int, std::string> RunProgram(const std::string& program,
                                       const std::vector<std::string>& arguments,
                                       std::chrono::milliseconds limit);

/// Sleeps.
void Pause(std::chrono::milliseconds time);

}  // namespace bulrushway::testing

#endif  // BULRUSHWAY_CHILD_PROCESS_H
