#ifndef BULRUSHWAY_MSGPACK_FIELDS_H
#define BULRUSHWAY_MSGPACK_FIELDS_H

// Internal to the codecs: serializes structs from a single list of their fields. To be serialized,
// a struct needs a static function `Fields(value, const T&)` in namespace bulrushway that ties its
// fields, and an enumeration needs `HighestOf(T)`, which returns its last enumerator:
//
//   static auto Fields(auto& m, const cancel_request&) { return std::tie(m.id); }
//
// Included by .cpp files only, since msgpack is slow to compile.

#include <algorithm>
#include <chrono>
#include <msgpack.hpp>
#include <optional>
#include <string_view>
#include <tuple>
#include <type_traits>
#include <vector>

namespace bulrushway::msgpack_fields {

inline constexpr size_t kMaxDepth = 16;

// Counts the elements that arrays and maps declare, which the parser reserves memory for.
struct element_counter : msgpack::null_visitor {
  explicit element_counter(size_t limit) : left(limit) {}
  bool Take(size_t elements) {
    if (elements > left) return false;
    left -= elements;
    return true;
  }
  bool start_array(uint32_t elements) { return ++depth <= kMaxDepth && Take(elements); }
  bool start_map(uint32_t pairs) { return ++depth <= kMaxDepth && Take(2 * size_t{pairs}); }
  bool end_array() { return --depth, true; }
  bool end_map() { return --depth, true; }

  size_t left;
  size_t depth = 0;
};

/// Parses bytes. Arrays, maps and strings that together declare more elements than there are bytes
/// are rejected, so that a short input cannot make the parser reserve gigabytes. The result refers
/// to the bytes, which must outlive it. Throws the exceptions of msgpack on invalid input.
inline msgpack::object_handle Parse(std::string_view bytes) {
  const size_t max_elements = bytes.size();
  element_counter counter(max_elements);
  if (!msgpack::parse(bytes.data(), bytes.size(), counter))
    throw msgpack::parse_error("parse error");
  const auto refer = [](msgpack::type::object_type, size_t, void*) { return true; };
  return msgpack::unpack(bytes.data(), bytes.size(), refer, nullptr,
                         msgpack::unpack_limit(max_elements, max_elements, max_elements,
                                               max_elements, max_elements, kMaxDepth));
}

template <class Value>
concept has_fields = requires(Value& value) {
  Fields(value, value);
};

template <class>
struct is_duration : std::false_type {};
template <class Rep, class Period>
struct is_duration<std::chrono::duration<Rep, Period>> : std::true_type {};

template <class>
struct is_time_point : std::false_type {};
template <class Clock, class Duration>
struct is_time_point<std::chrono::time_point<Clock, Duration>> : std::true_type {};

template <class Packer, class Element>
void Write(Packer& packer, const std::vector<Element>& values);
template <class Packer, class Element>
void Write(Packer& packer, const std::optional<Element>& value);

/// Writes a value: a struct as an array of its fields, an enumerator, a duration or a time point as
/// an integer.
template <class Packer, class Value>
void Write(Packer& packer, const Value& value) {
  if constexpr (has_fields<const Value>) {
    const auto fields = Fields(value, value);
    packer.pack_array(std::tuple_size_v<decltype(fields)>);
    std::apply([&packer](const auto&... field) { (Write(packer, field), ...); }, fields);
  } else if constexpr (std::is_enum_v<Value>) {
    packer.pack(static_cast<uint32_t>(value));
  } else if constexpr (is_duration<Value>::value) {
    packer.pack_int64(value.count());
  } else if constexpr (is_time_point<Value>::value) {
    Write(packer, value.time_since_epoch());
  } else {
    packer.pack(value);
  }
}

template <class Packer, class Element>
void Write(Packer& packer, const std::vector<Element>& values) {
  packer.pack_array(static_cast<uint32_t>(values.size()));
  for (const Element& value : values) Write(packer, value);
}

/// Writes an optional value as an array of zero or one elements.
template <class Packer, class Element>
void Write(Packer& packer, const std::optional<Element>& value) {
  packer.pack_array(value ? 1 : 0);
  if (value) Write(packer, *value);
}

template <class Element>
void Read(const msgpack::object& from, std::vector<Element>& values);
template <class Element>
void Read(const msgpack::object& from, std::optional<Element>& value);

/// Reads a value in the format of Write. Throws msgpack::type_error if the input does not match.
template <class Value>
void Read(const msgpack::object& from, Value& value) {
  if constexpr (has_fields<Value>) {
    auto fields = Fields(value, value);
    constexpr size_t kCount = std::tuple_size_v<decltype(fields)>;
    if (from.type != msgpack::type::ARRAY) throw msgpack::type_error();
    if (from.via.array.size != kCount) throw msgpack::type_error();
    const msgpack::object* element = from.via.array.ptr;
    std::apply([&element](auto&... field) { (Read(*element++, field), ...); }, fields);
  } else if constexpr (std::is_enum_v<Value>) {
    const auto code = from.as<uint32_t>();
    if (code > static_cast<uint32_t>(HighestOf(Value{}))) throw msgpack::type_error();
    value = static_cast<Value>(code);
  } else if constexpr (is_duration<Value>::value) {
    value = Value(from.as<int64_t>());
  } else if constexpr (is_time_point<Value>::value) {
    typename Value::duration since_epoch;
    Read(from, since_epoch);
    value = Value(since_epoch);
  } else {
    from.convert(value);
  }
}

template <class Element>
void Read(const msgpack::object& from, std::vector<Element>& values) {
  if (from.type != msgpack::type::ARRAY) throw msgpack::type_error();
  // An element may be many times larger than its bytes, and the first one may be invalid.
  constexpr uint32_t kMaxReserved = 64;
  values.clear();
  values.reserve(std::min(from.via.array.size, kMaxReserved));
  for (uint32_t i = 0; i < from.via.array.size; ++i) {
    Element element{};
    Read(from.via.array.ptr[i], element);
    values.push_back(std::move(element));
  }
}

template <class Element>
void Read(const msgpack::object& from, std::optional<Element>& value) {
  std::vector<Element> values;
  Read(from, values);
  if (values.size() > 1) throw msgpack::type_error();
  value.reset();
  if (!values.empty()) value = std::move(values.front());
}

/// Returns the encoded bytes of a value.
template <class Value>
std::string Serialize(const Value& value) {
  msgpack::sbuffer buffer;
  msgpack::packer packer(buffer);
  Write(packer, value);
  return {buffer.data(), buffer.size()};
}

}  // namespace bulrushway::msgpack_fields

#endif  // BULRUSHWAY_MSGPACK_FIELDS_H
