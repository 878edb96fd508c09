#include "configuration_service.h"

#include "configuration_parser.h"

namespace bulrushway {

configuration_service::configuration_service(event_loop& loop, event_log& log,
                                             http_table_service& table, membership&,
                                             rules_view& rules, uint64_t)
    : log_(log),
      rules_(rules),
      store_(table, table, [](std::chrono::milliseconds, const std::function<void()>&) {}),
      poll_(loop, [this](instant now) { Poke(now); }) {}

result<void> configuration_service::Start(instant now) {
  poll_.Every(std::chrono::milliseconds{500});
  Poke(now);
  return {};
}

void configuration_service::Stop(instant) { poll_.Cancel(); }

void configuration_service::Poke(instant) {
  store_.ReadCurrent([this](const result<stored_configuration>& stored) {
    if (stored && stored->at.version() > rules_.Version()) Adopt(*stored);
  });
}

void configuration_service::OnItem(instant, const gossip_item&) {}

void configuration_service::Adopt(const stored_configuration& stored) {
  const auto now = std::chrono::floor<std::chrono::seconds>(std::chrono::system_clock::now());
  auto parsed = ParseConfiguration({"inventory", stored.inventory, "rules", stored.rules}, now);
  if (!parsed) return log_.Write(event_id::kConfigurationRefused, parsed.error().front());
  rules_.Adopt(std::make_shared<configuration>(std::move(parsed->value)), stored.at.version());
  log_.Write(event_id::kConfigurationAdopted, {{"version", std::to_string(rules_.Version())}});
  adopted_(boot_clock::now());
}

}  // namespace bulrushway
