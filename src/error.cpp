#include "error.h"

namespace bulrushway {

std::string ToString(const error& failure) {
  if (failure.peer.empty()) return failure.step + ": " + failure.message;
  return failure.step + " (" + failure.peer + "): " + failure.message;
}

}  // namespace bulrushway
