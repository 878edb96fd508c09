#ifndef BULRUSHWAY_HANDOVER_H
#define BULRUSHWAY_HANDOVER_H

// Handover data: an opaque text that a target gives out when it releases keys, and that lets the
// next holder of the keys start warm.

#include <cstddef>
#include <string_view>

namespace bulrushway {

/// Longest handover, in bytes, that is passed on.
inline constexpr size_t kMaxHandoverBytes = 1024;

/// Whether the handover can be stored, and sent to a target in JSON or in a header: it is UTF-8
/// without control characters and not too long.
bool IsUsableHandover(std::string_view handover);

}  // namespace bulrushway

#endif  // BULRUSHWAY_HANDOVER_H
