#ifndef BULRUSHWAY_CHILD_PROCESS_H
#define BULRUSHWAY_CHILD_PROCESS_H

// A real process under test: started with arguments, its output in a file, ended by its own id.

#include <sys/types.h>

#include <chrono>
#include <string>
#include <vector>

namespace bulrushway::testing {

/// A process that is killed, if need be, when the object goes.
class child_process {
 public:
  /// Starts `program` with `arguments`; standard output and error go to `log`.
  child_process(const std::string& program, const std::vector<std::string>& arguments,
                const std::string& log);
  ~child_process();
  child_process(child_process&& other) noexcept;
  child_process& operator=(child_process&&) = delete;

  /// Sends a signal.
  void Signal(int number) const;
  /// Waits until the process has ended, or for at most `limit`. True when it has ended.
  bool WaitForEnd(std::chrono::milliseconds limit);
  /// Kills the process and waits for its end.
  void Kill();
  bool Running();
  /// Exit status once ended; -1 when it was ended by a signal.
  int ExitStatus() const { return status_; }

 private:
  pid_t id_ = -1;
  bool ended_ = false;
  int status_ = -1;
};

/// Runs a program to its end and returns its exit status and output.
std::pair<int, std::string> RunProgram(const std::string& program,
                                       const std::vector<std::string>& arguments,
                                       std::chrono::milliseconds limit);

/// Waits for a short time on no event.
void Pause(std::chrono::milliseconds time);

}  // namespace bulrushway::testing

#endif  // BULRUSHWAY_CHILD_PROCESS_H
