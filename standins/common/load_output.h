#ifndef BULRUSHWAY_LOAD_OUTPUT_H
#define BULRUSHWAY_LOAD_OUTPUT_H

// A load's report as a table for people and as JSON for programs.

#include <string>

#include "clock.h"
#include "load_report.h"

namespace bulrushway::standin {

/// Figures about the sending itself.
struct load_sender_figures {
  instant started;
  uint64_t connections_opened = 0;
  /// How far sending fell behind the plan.
  latency_summary lag;
};

/// The report as JSON. Times are in milliseconds.
std::string ReportAsJson(const load_report& report, const load_sender_figures& sender);

/// The report as a table for a terminal.
std::string ReportAsTable(const load_report& report, const load_sender_figures& sender);

}  // namespace bulrushway::standin

#endif  // BULRUSHWAY_LOAD_OUTPUT_H
