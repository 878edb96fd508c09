#include "execution_log.h"

namespace bulrushway::standin {

void execution_log::RecordExecution(const std::string& id, bool idempotent) {
  ++total_;
  if (id.empty()) return;
  execution_count& entry = counts_by_id_[id];
  ++entry.count;
  entry.idempotent = idempotent;
  if (entry.count > 1 && !idempotent) ++double_executions_;
}

void execution_log::RecordOwner(const owned_slice& owned, instant now) {
  owner_span& span = owner_spans_[owned];
  if (span.count == 0) span.first = now;
  span.last = now;
  ++span.count;
}

void execution_log::Clear() { *this = execution_log{}; }

}  // namespace bulrushway::standin
