#ifndef BULRUSHWAY_KERNEL_H
#define BULRUSHWAY_KERNEL_H

// Manages the lifecycle of a process's internal services: they are registered by name, started in
// order, stopped in reverse order, and find each other by name.

#include <concepts>
#include <functional>
#include <string>
#include <typeindex>
#include <vector>

#include "clock.h"
#include "error.h"

namespace bulrushway {

/// Interface of a service that the kernel manages.
template <class Service>
concept kernel_service = requires(Service service, instant now) {
  { service.Start(now) } -> std::same_as<result<void>>;
  { service.Stop(now) } -> std::same_as<void>;
};

/// Registry of the services of one process.
class kernel {
 public:
  /// Registers a service, which must outlive the kernel. Names are unique; Start() reports a
  /// duplicate name as an internal error.
  template <kernel_service Service>
  void Add(std::string name, Service& service) {
    entries_.push_back(entry{std::move(name), std::type_index{typeid(Service)}, &service,
                             [&service](instant now) { return service.Start(now); },
                             [&service](instant now) { service.Stop(now); }});
  }

  /// The service with this name and type, or nullptr.
  template <class Service>
  Service* Find(const std::string& name) const {
    return static_cast<Service*>(FindRaw(name, std::type_index{typeid(Service)}));
  }

  /// Starts all services in the order of registration. If one fails, stops those already started
  /// and returns the error.
  result<void> Start(instant now);
  /// Stops the started services in reverse order.
  void Stop(instant now);

 private:
  struct entry {
    std::string name;
    std::type_index type;
    void* service;
    std::function<result<void>(instant)> start;
    std::function<void(instant)> stop;
  };

  void* FindRaw(const std::string& name, std::type_index type) const;

  std::vector<entry> entries_;
  size_t started_ = 0;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_KERNEL_H
