#ifndef BULRUSHWAY_CONFIGURATION_SERVICE_H
#define BULRUSHWAY_CONFIGURATION_SERVICE_H

// Keeps the configuration of this process current: polls the head, fetches documents, adopts.

#include <functional>

#include "configuration_store.h"
#include "event_log.h"
#include "event_loop.h"
#include "http_table_service.h"
#include "membership.h"
#include "rules_view.h"

namespace bulrushway {

/// The configuration of this process.
class configuration_service {
 public:
  configuration_service(event_loop& loop, event_log& log, http_table_service& table,
                        membership& members, rules_view& rules, uint64_t seed);

  /// Calls `adopted` after each adoption.
  void OnAdopted(std::function<void(instant)> adopted) { adopted_ = std::move(adopted); }
  result<void> Start(instant now);
  void Stop(instant now);
  /// Reads the head now.
  void Poke(instant now);
  /// A gossip item of this module arrived.
  void OnItem(instant now, const gossip_item& item);

 private:
  void Adopt(const stored_configuration& stored);

  event_log& log_;
  rules_view& rules_;
  configuration_store<http_table_service, http_table_service> store_;
  timer poll_;
  std::function<void(instant)> adopted_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_CONFIGURATION_SERVICE_H
