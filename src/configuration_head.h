#ifndef BULRUSHWAY_CONFIGURATION_HEAD_H
#define BULRUSHWAY_CONFIGURATION_HEAD_H

// The head: a small record that identifies a version of the configuration. The table row
// `config/head` holds the newest head, the rows `config/history/<version>` hold all of them, and
// processes send heads to each other. The documents are immutable objects named by their hash.

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "error.h"

namespace bulrushway {

/// The head format that this program writes, and the newest that it can read.
inline constexpr uint32_t kHeadFormat = 1;

/// Key of the row that holds the newest head.
inline constexpr std::string_view kHeadKey = "config/head";
/// Key prefix of the rows that hold the heads of all versions.
inline constexpr std::string_view kHistoryPrefix = "config/history/";
/// Prefix of document names in the object store.
inline constexpr std::string_view kDocumentPrefix = "config/";

/// Maximum length of the author and the note, so that a head fits into one datagram.
inline constexpr size_t kMaxAuthorBytes = 64;
inline constexpr size_t kMaxNoteBytes = 200;

/// Identifies a version and records who created it.
struct configuration_head {
  /// Format of the record and of the documents that it refers to.
  uint32_t format = kHeadFormat;
  /// Starts at 1 and grows by one with each accepted change.
  uint64_t version = 0;
  /// The version that the change is based on.
  uint64_t base_version = 0;
  std::string inventory_hash;
  std::string rules_hash;
  std::string author;
  /// The author's reason for the change.
  std::string note;
  /// Id of the attempt that created this version.
  std::string operation;
  std::chrono::sys_seconds time;

  bool operator==(const configuration_head&) const = default;
};

/// Encodes a head as one line of JSON.
std::string Encode(const configuration_head& head);

/// Decodes a head. Of a newer format only `format` and `version` are read; in the known format a
/// missing or malformed field is a peer error. `peer` is the source of the bytes, for errors.
result<configuration_head> DecodeHead(std::string_view bytes, std::string_view peer);

/// Key of a version's history row; keys sort by version.
std::string HistoryKey(uint64_t version);

/// Hash of a document as 32 hexadecimal digits. It detects corruption but does not protect against
/// forgery.
std::string HashDocument(std::string_view bytes);

/// Name of a document in the object store.
std::string DocumentName(std::string_view hash);

/// "version 7 of 2027-03-14 06:30:00 by ana (note)", for messages.
std::string Describe(const configuration_head& head);

}  // namespace bulrushway

#endif  // BULRUSHWAY_CONFIGURATION_HEAD_H
