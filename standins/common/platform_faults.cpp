#include "platform_faults.h"

#include "json_fields.h"

namespace bulrushway::standin {
namespace {

result<platform_outage> ParseOutage(const std::string& name) {
  if (name == "none") return platform_outage::kNone;
  if (name == "unavailable") return platform_outage::kUnavailable;
  if (name == "drop") return platform_outage::kDrop;
  if (name == "refuse") return platform_outage::kRefuse;
  return Failure(error_kind::kUser, "change faults", "",
                 "The outage \"" + name + "\" is not one of none, unavailable, drop, refuse.");
}

}  // namespace

result<platform_faults> ChangeFaults(platform_faults faults, const std::string& json_text) {
  json_fields fields(json_text);
  std::string outage;
  fields.Read("outage", outage);
  fields.Read("slow_ms", faults.answer_delay);
  fields.Read("lose_answers", faults.lose_answers);
  fields.Read("lose_next", faults.lose_next);
  fields.Read("max_writes_per_second", faults.max_writes_per_second);
  fields.Read("max_reads_per_second", faults.max_reads_per_second);
  const auto read = fields.Finish("change faults");
  if (!read) return tl::unexpected<error>(read.error());
  if (outage.empty()) return faults;
  const auto parsed = ParseOutage(outage);
  if (!parsed) return tl::unexpected<error>(parsed.error());
  faults.outage = *parsed;
  return faults;
}

bool ShouldLoseAnswer(platform_faults& faults, std::mt19937_64& random) {
  if (faults.lose_next > 0) {
    --faults.lose_next;
    return true;
  }
  if (faults.lose_answers <= 0) return false;
  return std::uniform_real_distribution<double>(0, 1)(random) < faults.lose_answers;
}

}  // namespace bulrushway::standin
