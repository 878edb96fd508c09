#include "handover.h"

#include <boost/locale/utf.hpp>

namespace bulrushway {
namespace {

// ASCII and ISO 8859-1 control characters.
bool IsControl(boost::locale::utf::code_point code) {
  constexpr boost::locale::utf::code_point kFirstPrintable = 0x20;
  constexpr boost::locale::utf::code_point kDelete = 0x7f;
  constexpr boost::locale::utf::code_point kLastControl = 0x9f;
  return code < kFirstPrintable || (code >= kDelete && code <= kLastControl);
}

}  // namespace

bool IsUsableHandover(std::string_view handover) {
  if (handover.size() > kMaxHandoverBytes) return false;
  const char* next = handover.data();
  const char* const end = next + handover.size();
  while (next != end) {
    const auto code = boost::locale::utf::utf_traits<char>::decode(next, end);
    if (!boost::locale::utf::is_valid_codepoint(code) || IsControl(code)) return false;
  }
  return true;
}

}  // namespace bulrushway
