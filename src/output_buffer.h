#ifndef BULRUSHWAY_OUTPUT_BUFFER_H
#define BULRUSHWAY_OUTPUT_BUFFER_H

// Appends bytes to the output of a connection without copying large ones.

#include <string>

struct evbuffer;

namespace bulrushway {

/// Appends the bytes. The buffer keeps a large string itself instead of a copy.
void Append(evbuffer* output, std::string bytes);

}  // namespace bulrushway

#endif  // BULRUSHWAY_OUTPUT_BUFFER_H
