#ifndef BULRUSHWAY_STANDIN_MAIN_H
#define BULRUSHWAY_STANDIN_MAIN_H

// Helpers of the main functions of the stand-ins.

#include <cstdio>
#include <cstdlib>
#include <sstream>
#include <string>
#include <vector>

#include "event_loop.h"
#include "kernel.h"
#include "socket_address.h"

namespace bulrushway::standin {

/// Prints the error to standard error and exits with status 2.
[[noreturn]] inline void ExitWithError(const error& failure) {
  std::fprintf(stderr, "%s\n", ToString(failure).c_str());
  std::exit(2);
}

/// Parses an address; exits with an error if it is invalid.
inline socket_address AddressOrExit(const std::string& text) {
  const auto address = ParseSocketAddress(text);
  if (!address) ExitWithError(address.error());
  return *address;
}

/// Parses addresses separated by commas; exits with an error if one is invalid.
inline std::vector<socket_address> AddressesOrExit(const std::string& text) {
  std::vector<socket_address> addresses;
  std::stringstream parts(text);
  std::string part;
  while (std::getline(parts, part, ',')) addresses.push_back(AddressOrExit(part));
  return addresses;
}

/// Starts one service, runs the loop until a termination signal or until the service stops the
/// loop, then stops the service.
template <kernel_service Service>
int RunService(event_loop& loop, const std::string& name, Service& service) {
  kernel services;
  services.Add(name, service);
  const auto started = services.Start(boot_clock::now());
  if (!started) ExitWithError(started.error());
  loop.OnTermination([&loop] { loop.Stop(); });
  loop.Run();
  services.Stop(boot_clock::now());
  return 0;
}

}  // namespace bulrushway::standin

#endif  // BULRUSHWAY_STANDIN_MAIN_H
