#ifndef BULRUSHWAY_LOAD_OUTPUT_H
#define BULRUSHWAY_LOAD_OUTPUT_H

// Formats the report of a load as a table for a terminal and as JSON.

#include <string>

#include "clock.h"
#include "load_report.h"

namespace bulrushway::standin {

/// Figures about the load generator itself.
struct load_sender_figures {
  instant started;
  uint64_t connections_opened = 0;
  /// Delay of the sending behind the planned times.
  latency_summary lag;
};

/// The report as JSON. Times are in milliseconds.
std::string ReportAsJson(const load_report& report, const load_sender_figures& sender);

/// The report as a table for a terminal.
std::string ReportAsTable(const load_report& report, const load_sender_figures& sender);

}  // namespace bulrushway::standin

#endif  // BULRUSHWAY_LOAD_OUTPUT_H
