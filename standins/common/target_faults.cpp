#include "target_faults.h"

#include "json_fields.h"

namespace bulrushway::standin {

result<target_fault_change> ChangeFaults(const target_faults& faults,
                                         const std::string& json_text) {
  target_fault_change change{faults};
  json_fields fields(json_text);
  fields.Read("freeze", change.faults.freeze);
  fields.Read("slowdown", change.faults.slowdown);
  fields.Read("flap_on_ms", change.faults.flap_on);
  fields.Read("flap_period_ms", change.faults.flap_period);
  fields.Read("drain", change.faults.drain);
  fields.Read("shed", change.faults.shed);
  fields.Read("load_lag_ms", change.faults.load_report_delay);
  fields.Read("load_lie", change.faults.load_report_factor);
  fields.Read("health_failing", change.faults.health_failing);
  fields.Read("cross_next", change.faults.cross_next);
  fields.Read("truncate_next", change.faults.truncate_next);
  fields.Read("turn_cold", change.turn_cold);
  fields.Read("silence_connections", change.silence_connections);
  const auto read = fields.Finish("change faults");
  if (!read) return tl::unexpected<error>(read.error());
  return change;
}

bool IsFlapActive(const target_faults& faults, instant now) {
  if (faults.flap_period.count() == 0) return true;
  return now.time_since_epoch() % faults.flap_period < faults.flap_on;
}

bool IsFrozen(const target_faults& faults, instant now) {
  return faults.freeze && IsFlapActive(faults, now);
}

double SlowdownAt(const target_faults& faults, instant now) {
  return IsFlapActive(faults, now) ? faults.slowdown : 1;
}

}  // namespace bulrushway::standin
