// Feeds arbitrary text to the parsers of settings, inventory, rules and configuration heads, and to
// the functions that edit rules.
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "configuration_diff.h"
#include "configuration_head.h"
#include "configuration_parser.h"
#include "daemon_settings.h"
#include "rules_edit.h"

namespace {

using bulrushway::configuration_texts;
using bulrushway::ParseConfiguration;

constexpr std::chrono::sys_seconds kNow{std::chrono::seconds(1'800'000'000)};
constexpr std::string_view kInventory =
    "[region lima]\ndata_centres = lima-a, lima-b\n[service s]\nkind = keyed\n"
    "[upstream u]\nservice = s\ndata_centre = lima-a\n";

// Every parser error must be a user error that names its location.
template <class Checked>
void RequireUserErrors(const Checked& outcome) {
  if (outcome) return;
  if (outcome.error().empty()) __builtin_trap();
  for (const bulrushway::error& failure : outcome.error()) {
    if (failure.kind != bulrushway::error_kind::kUser || failure.peer.empty()) __builtin_trap();
  }
}

void ReadAsInventory(const std::string& text) {
  configuration_texts texts;
  texts.inventory = text;
  const auto outcome = ParseConfiguration(texts, kNow);
  RequireUserErrors(outcome);
  if (outcome && !bulrushway::Diff(outcome->value, outcome->value).empty()) __builtin_trap();
}

// Valid rules must stay valid when a data centre is taken out and brought back.
void ReadAndEditAsRules(const std::string& text) {
  configuration_texts texts;
  texts.inventory = kInventory;
  texts.rules = text;
  const auto outcome = ParseConfiguration(texts, kNow);
  RequireUserErrors(outcome);
  if (!outcome || outcome->value.rules.IsDataCentreOut("lima-b")) return;
  const auto taken_out = bulrushway::TakeDataCentreOut(text, "lima-b");
  if (!taken_out) __builtin_trap();
  texts.rules = *taken_out;
  const auto parsed_taken_out = ParseConfiguration(texts, kNow);
  if (!parsed_taken_out || !parsed_taken_out->value.rules.IsDataCentreOut("lima-b"))
    __builtin_trap();
  texts.rules = bulrushway::BringDataCentreBack(*taken_out, "lima-b").value_or("[");
  const auto parsed_restored = ParseConfiguration(texts, kNow);
  if (!parsed_restored || !bulrushway::Diff(parsed_restored->value, outcome->value).empty())
    __builtin_trap();
  const auto stopped = bulrushway::AddPlannedStop(text, "u", kNow, std::nullopt);
  if (!stopped) __builtin_trap();
  texts.rules = *stopped;
  const auto drained = ParseConfiguration(texts, kNow);
  if (!drained || !bulrushway::FindActiveStop(drained->value.rules, "u", kNow)) __builtin_trap();
}

void ReadAsHead(const std::string& text) {
  const auto head = bulrushway::DecodeHead(text, "fuzzer");
  if (!head || head->format > bulrushway::kHeadFormat) return;
  const auto reread = bulrushway::DecodeHead(bulrushway::Encode(*head), "fuzzer");
  if (!reread || *reread != *head) __builtin_trap();
  (void)bulrushway::Describe(*head);
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string text(reinterpret_cast<const char*>(data), size);
  RequireUserErrors(bulrushway::ParseDaemonSettings("node.ini", text));
  ReadAsInventory(text);
  ReadAndEditAsRules(text);
  ReadAsHead(text);
  return 0;
}
