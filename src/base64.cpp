#include "base64.h"

#include <algorithm>
#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/transform_width.hpp>

namespace bulrushway {
namespace {

namespace iterators = boost::archive::iterators;

constexpr size_t kCharsPerGroup = 4;

}  // namespace

std::string EncodeBase64(const std::string& bytes) {
  using encoder =
      iterators::base64_from_binary<iterators::transform_width<std::string::const_iterator, 6, 8>>;
  std::string text(encoder(bytes.begin()), encoder(bytes.end()));
  while (text.size() % kCharsPerGroup != 0) text += '=';
  return text;
}

std::optional<std::string> DecodeBase64(std::string text) {
  using decoder =
      iterators::transform_width<iterators::binary_from_base64<std::string::const_iterator>, 8, 6>;
  if (text.size() % kCharsPerGroup != 0) return std::nullopt;
  size_t padding = 0;
  while (!text.empty() && text.back() == '=' && padding < 2) {
    text.pop_back();
    ++padding;
  }
  // The iterators need complete groups; the bytes decoded from the padding are removed afterwards.
  text.append(padding, 'A');
  const bool valid = std::all_of(text.begin(), text.end(), [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '+' || c == '/';
  });
  if (!valid) return std::nullopt;
  std::string bytes(decoder(text.begin()), decoder(text.end()));
  bytes.resize(bytes.size() - padding);
  return bytes;
}

}  // namespace bulrushway
