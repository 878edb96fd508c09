#include "configuration_change.h"

#include <algorithm>

namespace bulrushway {
namespace {

std::string_view ChangedDocuments(const configuration_head& head,
                                  const configuration_head* previous) {
  if (previous == nullptr) return "";
  const bool inventory = head.inventory_hash != previous->inventory_hash;
  const bool rules = head.rules_hash != previous->rules_hash;
  if (inventory && rules) return ", inventory and rules changed";
  if (inventory) return ", inventory changed";
  return rules ? ", rules changed" : ", nothing changed";
}

}  // namespace

std::string_view Name(apply_state state) {
  switch (state) {
    case apply_state::kAccepted:
      return "accepted";
    case apply_state::kConflict:
      return "conflict";
    case apply_state::kNotApplied:
      return "not applied";
    case apply_state::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::string ValidationError(const configuration_change& change) {
  if (change.operation.empty()) return "The change has no operation id.";
  if (change.author.empty() || change.author.size() > kMaxAuthorBytes) {
    return "The author '" + change.author + "' must have 1 to " + std::to_string(kMaxAuthorBytes) +
           " bytes.";
  }
  if (change.note.size() > kMaxNoteBytes) {
    return "The note has " + std::to_string(change.note.size()) + " bytes; write at most " +
           std::to_string(kMaxNoteBytes) + ".";
  }
  return {};
}

configuration_head MakeHead(const configuration_change& change) {
  configuration_head head;
  head.version = change.base_version + 1;
  head.base_version = change.base_version;
  head.inventory_hash = HashDocument(change.inventory);
  head.rules_hash = HashDocument(change.rules);
  head.author = change.author;
  head.note = change.note;
  head.operation = change.operation;
  head.time = change.time;
  return head;
}

transaction MakeTransaction(const configuration_head& head, uint64_t row_version) {
  const std::string bytes = Encode(head);
  const std::string head_key(kHeadKey);
  return {head.operation,
          {{head_key, row_version}, {HistoryKey(head.version), 0}},
          {{head_key, bytes}, {HistoryKey(head.version), bytes}}};
}

result<stored_head> FindHead(const std::vector<table_row>& rows) {
  for (const table_row& row : rows) {
    if (row.key != kHeadKey) continue;
    result<configuration_head> head = DecodeHead(row.value, row.key);
    if (!head) return tl::unexpected<error>(head.error());
    return stored_head{*std::move(head), row.version};
  }
  return stored_head{};
}

result<std::optional<configuration_head>> FindHistoryHead(const std::vector<table_row>& rows,
                                                          uint64_t version) {
  const std::string key = HistoryKey(version);
  for (const table_row& row : rows) {
    if (row.key != key) continue;
    result<configuration_head> head = DecodeHead(row.value, row.key);
    if (!head) return tl::unexpected<error>(head.error());
    return std::optional<configuration_head>(*std::move(head));
  }
  return std::optional<configuration_head>();
}

void AppendHistory(const std::vector<table_row>& rows, uint64_t newest, size_t count,
                   std::vector<configuration_head>& heads) {
  std::vector<configuration_head> page;
  for (const table_row& row : rows) {
    result<configuration_head> head = DecodeHead(row.value, row.key);
    if (head && head->version <= newest) page.push_back(*std::move(head));
  }
  std::sort(page.begin(), page.end(),
            [](const auto& left, const auto& right) { return left.version > right.version; });
  for (configuration_head& head : page) {
    if (heads.size() < count) heads.push_back(std::move(head));
  }
}

result<std::string> VerifyDocument(const std::string& hash, const std::string& bytes) {
  const std::string actual = HashDocument(bytes);
  if (actual == hash) return bytes;
  return Failure(error_kind::kPeer, "verify document", hash,
                 "The document '" + hash + "' is corrupted: its hash is '" + actual + "'.");
}

tl::unexpected<error> NewerFormatError(const configuration_head& head) {
  return Failure(error_kind::kUser, "read configuration", "",
                 "Version " + std::to_string(head.version) + " has format " +
                     std::to_string(head.format) + ", but this program supports formats up to " +
                     std::to_string(kHeadFormat) + "; use a newer program.");
}

std::string DescribeConflict(uint64_t base, uint64_t newest,
                             const std::vector<configuration_head>& heads) {
  std::string text = "The change is based on version " + std::to_string(base) +
                     ", but the newest is version " + std::to_string(newest) +
                     "; review the changes committed since then and apply yours again.";
  for (size_t i = 0; i < heads.size(); ++i) {
    if (heads[i].version <= base) continue;
    const configuration_head* previous = i + 1 < heads.size() ? &heads[i + 1] : nullptr;
    text += "\n  " + Describe(heads[i]);
    text += ChangedDocuments(heads[i], previous);
  }
  return text;
}

std::string DescribePlatformFailure(apply_state state, const std::string& operation,
                                    const error& cause) {
  const std::string reason = " The platform does not answer: " + ToString(cause);
  if (state == apply_state::kNotApplied) return "The change is not in force." + reason;
  return "It is unknown whether the change is in force; look for the operation '" + operation +
         "' in the history before you repeat it." + reason;
}

}  // namespace bulrushway
