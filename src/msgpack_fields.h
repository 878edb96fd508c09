#ifndef BULRUSHWAY_MSGPACK_FIELDS_H
#define BULRUSHWAY_MSGPACK_FIELDS_H

// Internal to the codecs: packs structs by listing their fields once, as a tuple of references that
// serves both directions. A struct takes part through a function `Fields(value)` in its codec's
// file. Included by .cpp files only, since msgpack is slow to compile.

#include <chrono>
#include <msgpack.hpp>
#include <string_view>
#include <tuple>
#include <vector>

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {
  namespace adaptor {

  template <class Rep, class Period>
  struct pack<std::chrono::duration<Rep, Period>> {
    template <class Stream>
    packer<Stream>& operator()(packer<Stream>& out,
                               const std::chrono::duration<Rep, Period>& value) const {
      return out.pack_int64(value.count());
    }
  };

  template <class Rep, class Period>
  struct convert<std::chrono::duration<Rep, Period>> {
    const msgpack::object& operator()(const msgpack::object& from,
                                      std::chrono::duration<Rep, Period>& value) const {
      value = std::chrono::duration<Rep, Period>(from.as<int64_t>());
      return from;
    }
  };

  }  // namespace adaptor
}
}  // namespace msgpack

namespace bulrushway::msgpack_fields {

/// Parses bytes. No array or string may claim more elements than there are bytes, so that a few
/// bytes cannot make the parser reserve gigabytes. Throws what msgpack throws on bad input.
inline msgpack::object_handle Parse(std::string_view bytes) {
  constexpr size_t kDeepest = 16;
  const size_t most = bytes.size();
  return msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr,
                         msgpack::unpack_limit(most, most, most, most, most, kDeepest));
}

/// Packs the fields of a value as one array.
template <class Packer, class Tuple>
void Pack(Packer& packer, const Tuple& fields) {
  packer.pack_array(std::tuple_size_v<Tuple>);
  std::apply([&packer](const auto&... field) { (packer.pack(field), ...); }, fields);
}

/// Reads the fields of a value from an array of exactly as many elements. Throws
/// msgpack::type_error, which the codec turns into an error.
template <class Tuple>
void Unpack(const msgpack::object& from, Tuple fields) {
  if (from.type != msgpack::type::ARRAY) throw msgpack::type_error();
  if (from.via.array.size != std::tuple_size_v<Tuple>) throw msgpack::type_error();
  const msgpack::object* element = from.via.array.ptr;
  std::apply([&element](auto&... field) { ((element++)->convert(field), ...); }, fields);
}

}  // namespace bulrushway::msgpack_fields

#endif  // BULRUSHWAY_MSGPACK_FIELDS_H
