#include "socket_address.h"

#include <arpa/inet.h>

#include <charconv>

namespace bulrushway {
namespace {

constexpr unsigned kMaxPort = 65535;

}  // namespace

result<socket_address> ParseSocketAddress(const std::string& text) {
  const auto fail = [&text](const std::string& why) {
    return Failure(error_kind::kUser, "parse address", text,
                   "The address \"" + text + "\" " + why + "; write it like 127.0.0.1:8080.");
  };
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos) return fail("has no port");
  const std::string ip = text.substr(0, colon);
  in_addr parsed{};
  // inet_pton reads up to the first NUL.
  const bool has_nul = ip.find('\0') != std::string::npos;
  if (has_nul || inet_pton(AF_INET, ip.c_str(), &parsed) != 1) return fail("is not an IPv4 number");
  unsigned port = 0;
  const char* first = text.data() + colon + 1;
  const char* last = text.data() + text.size();
  const auto [end, code] = std::from_chars(first, last, port);
  if (code != std::errc{} || end != last || port == 0 || port > kMaxPort) {
    return fail("has a port outside 1 to 65535");
  }
  return socket_address{ip, static_cast<uint16_t>(port)};
}

std::string ToString(const socket_address& address) {
  return address.ip + ":" + std::to_string(address.port);
}

}  // namespace bulrushway
