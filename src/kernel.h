#ifndef BULRUSHWAY_KERNEL_H
#define BULRUSHWAY_KERNEL_H

// The micro-kernel of a process: services are registered under a name, started in order, stopped in
// the reverse order, and find each other by name. It knows nothing of what they do.

#include <concepts>
#include <functional>
#include <string>
#include <typeindex>
#include <vector>

#include "clock.h"
#include "error.h"

namespace bulrushway {

/// What the kernel needs of a service.
template <class Service>
concept kernel_service = requires(Service service, instant now) {
  { service.Start(now) } -> std::same_as<result<void>>;
  { service.Stop(now) } -> std::same_as<void>;
};

/// Registry of the services of one process.
class kernel {
 public:
  /// Registers a service, which must outlive the kernel. Names are unique; a second service of a
  /// name is an internal error reported by Start().
  template <kernel_service Service>
  void Add(std::string name, Service& service) {
    entries_.push_back(entry{std::move(name), std::type_index{typeid(Service)}, &service,
                             [&service](instant now) { return service.Start(now); },
                             [&service](instant now) { service.Stop(now); }});
  }

  /// The service of this name and type; nullptr when there is none.
  template <class Service>
  Service* Find(const std::string& name) const {
    return static_cast<Service*>(FindRaw(name, std::type_index{typeid(Service)}));
  }

  /// Starts all services in the order of registration; stops those already started if one fails.
  result<void> Start(instant now);
  /// Stops the started services in the reverse order.
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
