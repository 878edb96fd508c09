#ifndef BULRUSHWAY_TERM_CODEC_H
#define BULRUSHWAY_TERM_CODEC_H

// Text form of the rows that ownership keeps in the table. A row that does not parse or was written
// by a newer version is an error, so that its reader leaves it as it is.

#include <string>
#include <string_view>

#include "error.h"
#include "term.h"

namespace bulrushway {

/// Version of the row format that this program writes, and the newest that it reads.
constexpr int kTermFormatVersion = 1;

/// The row `node/<name>`: which term of the node is the latest, and where its process listens.
struct node_row {
  uint64_t latest_number = 0;
  /// The latest term of which the node noted that its predecessor was superseded.
  uint64_t active_number = 0;
  std::string address;
};

/// JSON text of a term record.
std::string EncodeTerm(const term_record& record);
/// The record of a row's text; `peer` names the row in the error.
result<term_record> DecodeTerm(std::string_view text, const std::string& peer);

/// JSON text of a node row.
std::string EncodeNodeRow(const node_row& row);
/// The node row of a text; `peer` names the row in the error.
result<node_row> DecodeNodeRow(std::string_view text, const std::string& peer);

/// Table key of a term record.
std::string TermKey(const term_id& term);
/// Table key of a node row.
std::string NodeKey(const node_name& node);
/// Table key of the row that the first owner of a partition creates.
std::string GenesisKey(const std::string& service, uint32_t partition);

}  // namespace bulrushway

#endif  // BULRUSHWAY_TERM_CODEC_H
