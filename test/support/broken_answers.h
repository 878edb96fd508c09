#ifndef BULRUSHWAY_TEST_BROKEN_ANSWERS_H
#define BULRUSHWAY_TEST_BROKEN_ANSWERS_H

// Parts that make an answer invalid by RFC 9110 and RFC 9112.

#include <string>
#include <vector>

namespace bulrushway::testing {

/// Statuses of three digits outside the range of the protocol, 100 to 599.
inline const std::vector<std::string> kBrokenStatuses = {"000", "001", "099", "600", "999"};

/// Field lines whose name holds a byte that no name may hold, without their line end.
inline const std::vector<std::string> kBrokenFieldLines = {
    "X Blank: v",
    "X-Blank-Before-Colon : v",
    "X\tTab: v",
    "X-Tab-Before-Colon\t: v",
    std::string("X\0Nul: v", 8),
    "X\x01Start: v",
    "X\x1fUnit: v",
    "X\x7f"
    "Delete: v",
    "X\x80High: v",
    "X\rReturn: v",
    "X(Comment): v",
    "X/Slash: v",
    ": v",
    "X-No-Colon",
    "Content-Length : 2",
    "Content-Length\t: 2",
    "Content-Length\x01: 2",
    "Content Length: 2",
    "Transfer-Encoding : chunked",
    "Transfer-Encoding\x7f: chunked",
};

}  // namespace bulrushway::testing

#endif  // BULRUSHWAY_TEST_BROKEN_ANSWERS_H
