#ifndef BULRUSHWAY_CONFIGURATION_HEAD_H
#define BULRUSHWAY_CONFIGURATION_HEAD_H

// The small record that names a version of the configuration. The table row `config/head` holds the
// newest, `config/history/<version>` each of them, and processes tell it to each other. The
// documents themselves are immutable objects named by their hash.

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "error.h"

namespace bulrushway {

/// Format of heads that this program writes and the newest that it understands.
inline constexpr uint32_t kHeadFormat = 1;

/// Row of the newest head.
inline constexpr std::string_view kHeadKey = "config/head";
/// Prefix of the rows of all heads.
inline constexpr std::string_view kHistoryPrefix = "config/history/";
/// Prefix of the names of documents in the object store.
inline constexpr std::string_view kDocumentPrefix = "config/";

/// Longest author and note in bytes, so that a head fits into one datagram.
inline constexpr size_t kMaxAuthorBytes = 64;
inline constexpr size_t kMaxNoteBytes = 200;

/// Names a version and says who made it.
struct configuration_head {
  /// Format of the record and of the documents that it names.
  uint32_t format = kHeadFormat;
  /// Grows by one with each accepted change, from 1.
  uint64_t version = 0;
  /// The version that was edited.
  uint64_t base_version = 0;
  std::string inventory_hash;
  std::string rules_hash;
  std::string author;
  /// Why, in the author's words.
  std::string note;
  /// Names the attempt that made this version.
  std::string operation;
  std::chrono::sys_seconds time;

  bool operator==(const configuration_head&) const = default;
};

/// JSON in one line.
std::string Encode(const configuration_head& head);

/// Reads a head. One of a newer format keeps only format and version; anything else that is not
/// whole is a peer error. `peer` says where the bytes came from.
result<configuration_head> DecodeHead(std::string_view bytes, std::string_view peer);

/// Key of a version's row; keys sort by version.
std::string HistoryKey(uint64_t version);

/// Hash of a document as 32 hexadecimal digits. It detects damage; it is no protection against
/// forgery.
std::string HashDocument(std::string_view bytes);

/// Name of a document in the object store.
std::string DocumentName(std::string_view hash);

/// "version 7 of 2027-03-14 06:30:00 by ana (note)", for messages.
std::string Describe(const configuration_head& head);

}  // namespace bulrushway

#endif  // BULRUSHWAY_CONFIGURATION_HEAD_H
