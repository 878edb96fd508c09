#include "term_codec.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace bulrushway {
namespace {

using nlohmann::json;

json HeirToJson(const heir& entry) {
  return {{"node", entry.term.node},
          {"number", entry.term.number},
          {"region", entry.region},
          {"witnesses", entry.witnesses}};
}

heir HeirFromJson(const json& value) {
  heir entry;
  value.at("node").get_to(entry.term.node);
  value.at("number").get_to(entry.term.number);
  value.at("region").get_to(entry.region);
  value.at("witnesses").get_to(entry.witnesses);
  return entry;
}

json ToJson(const term_record& record) {
  json slices = json::array();
  for (const slice_epoch& entry : record.slices) slices.push_back({entry.slice, entry.epoch});
  json heirs = json::array();
  for (const heir& entry : record.heirs) heirs.push_back(HeirToJson(entry));
  json late_heirs = json::array();
  for (const heir& entry : record.late_heirs) late_heirs.push_back(HeirToJson(entry));
  json gifts = json::array();
  for (const slice_gift& gift : record.gifts) {
    gifts.push_back({{"slice", gift.slice}, {"receiver", HeirToJson(gift.receiver)}});
  }
  return {{"format", kTermFormatVersion},
          {"node", record.id.node},
          {"number", record.id.number},
          {"service", record.service},
          {"region", record.region},
          {"slices", slices},
          {"witnesses", record.witnesses},
          {"heirs", heirs},
          {"gifts", gifts},
          {"late_heirs", late_heirs},
          {"predecessor", record.predecessor},
          {"predecessor_witnesses", record.predecessor_witnesses},
          {"first_number", record.first_number},
          {"ended_number", record.ended_number}};
}

term_record FromJson(const json& value) {
  term_record record;
  value.at("node").get_to(record.id.node);
  value.at("number").get_to(record.id.number);
  value.at("service").get_to(record.service);
  value.at("region").get_to(record.region);
  for (const json& entry : value.at("slices")) {
    record.slices.push_back({entry.at(0).get<slice_number>(), entry.at(1).get<uint64_t>()});
  }
  std::sort(record.slices.begin(), record.slices.end());
  value.at("witnesses").get_to(record.witnesses);
  for (const json& entry : value.at("heirs")) record.heirs.push_back(HeirFromJson(entry));
  for (const json& entry : value.at("gifts")) {
    record.gifts.push_back(
        {entry.at("slice").get<slice_number>(), HeirFromJson(entry.at("receiver"))});
  }
  for (const json& entry : value.at("late_heirs")) {
    record.late_heirs.push_back(HeirFromJson(entry));
  }
  value.at("predecessor").get_to(record.predecessor);
  value.at("predecessor_witnesses").get_to(record.predecessor_witnesses);
  value.at("first_number").get_to(record.first_number);
  value.at("ended_number").get_to(record.ended_number);
  return record;
}

/// Runs `parse` on the text's JSON object after the check of its format version.
template <class Parse>
auto Decode(std::string_view text, const std::string& peer, Parse parse)
    -> result<decltype(parse(json()))> {
  try {
    const json value = json::parse(text);
    const int format = value.at("format").get<int>();
    if (format < 1 || format > kTermFormatVersion) {
      return Failure(error_kind::kPeer, "decode row", peer,
                     "The row has format " + std::to_string(format) +
                         "; this program reads formats up to " +
                         std::to_string(kTermFormatVersion) + ".");
    }
    return parse(value);
  } catch (const json::exception& failure) {
    return Failure(
        error_kind::kPeer, "decode row", peer,
        "The row '" + std::string(text.substr(0, 80)) + "' is not valid: " + failure.what() + ".");
  }
}

}  // namespace

std::string EncodeTerm(const term_record& record) { return ToJson(record).dump(); }

result<term_record> DecodeTerm(std::string_view text, const std::string& peer) {
  return Decode(text, peer, FromJson);
}

std::string EncodeNodeRow(const node_row& row) {
  const json value = {{"format", kTermFormatVersion},
                      {"latest_number", row.latest_number},
                      {"active_number", row.active_number},
                      {"address", row.address}};
  return value.dump();
}

result<node_row> DecodeNodeRow(std::string_view text, const std::string& peer) {
  return Decode(text, peer, [](const json& value) {
    node_row row;
    value.at("latest_number").get_to(row.latest_number);
    value.at("active_number").get_to(row.active_number);
    value.at("address").get_to(row.address);
    return row;
  });
}

std::string TermKey(const term_id& term) {
  return "term/" + term.node + "/" + std::to_string(term.number);
}

std::string NodeKey(const node_name& node) { return "node/" + node; }

std::string GenesisKey(const std::string& service, uint32_t partition) {
  return "genesis/" + service + "/" + std::to_string(partition);
}

}  // namespace bulrushway
