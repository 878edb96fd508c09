#include "http_table_service.h"

#include "json_text.h"

namespace bulrushway {
namespace {

using json = nlohmann::json;

constexpr std::chrono::milliseconds kPlatformTimeout{1500};
// Address of a port without a listener.
const socket_address kUnreachable{"127.0.0.1", 1};

json ToJson(const transaction& txn) {
  json conditions = json::array();
  for (const auto& condition : txn.conditions) {
    conditions.push_back({{"key", condition.key}, {"version", condition.version}});
  }
  json writes = json::array();
  for (const auto& write : txn.writes) {
    writes.push_back({{"key", write.key}, {"value", write.value ? json(*write.value) : json()}});
  }
  return {{"operation", txn.operation}, {"conditions", conditions}, {"writes", writes}};
}

// A malformed answer is reported like a missing one: the outcome of the call is unknown.
result<table_snapshot> ParseRows(const std::string& body, const std::string& peer) {
  try {
    const json parsed = ParseJson(body);
    table_snapshot snapshot;
    snapshot.now = std::chrono::milliseconds(parsed.at("now_ms").get<int64_t>());
    for (const json& row : parsed.at("rows")) {
      snapshot.rows.push_back({row.at("key").get<std::string>(), row.at("value").get<std::string>(),
                               row.at("version").get<uint64_t>()});
    }
    return snapshot;
  } catch (const std::exception& parse_error) {
    return Failure(
        error_kind::kPeer, "read rows", peer,
        std::string("The platform's answer is not a list of rows: ") + parse_error.what() + ".");
  }
}

result<table_receipt> ParseReceipt(const std::string& body, const std::string& peer) {
  try {
    const json parsed = ParseJson(body);
    return table_receipt{parsed.at("versions").get<std::vector<uint64_t>>(),
                         std::chrono::milliseconds(parsed.at("now_ms").get<int64_t>())};
  } catch (const std::exception& parse_error) {
    return Failure(
        error_kind::kPeer, "commit transaction", peer,
        std::string("The platform's answer is not a receipt: ") + parse_error.what() + ".");
  }
}

}  // namespace

http_table_service::http_table_service(http_client& client, std::vector<socket_address> addresses)
    : client_(client), addresses_(std::move(addresses)) {}

socket_address http_table_service::Address() const {
  return disconnected_ ? kUnreachable : addresses_[address_index_ % addresses_.size()];
}

void http_table_service::Send(http_request request, const std::string& step,
                              std::function<void(result<http_answer>)> done) {
  const socket_address address = Address();
  client_.Send(
      address, std::move(request), kPlatformTimeout,
      [this, address, step,
       done = std::move(done)](const tl::expected<http_answer, http_failure>& outcome) {
        if (!outcome) {
          ++address_index_;
          done(Failure(error_kind::kPeer, step, ToString(address), outcome.error().message));
          return;
        }
        if (outcome->status >= 500 || outcome->status == 429) {
          done(Failure(
              error_kind::kPeer, step, ToString(address),
              "The platform answered with status " + std::to_string(outcome->status) + "."));
          return;
        }
        done(*outcome);
      });
}

void http_table_service::Commit(const transaction& txn, commit_callback done) {
  CommitRows(txn, [done = std::move(done)](const result<table_receipt>& receipt) {
    if (!receipt) return done(tl::unexpected<error>(receipt.error()));
    done({});
  });
}

void http_table_service::CommitRows(const transaction& txn,
                                    std::function<void(result<table_receipt>)> done) {
  http_request request{"POST", "/table/txn", {{"Content-Type", "application/json"}}, {}};
  request.body = ToJsonText(ToJson(txn));
  Send(std::move(request), "commit transaction",
       [done = std::move(done), peer = ToString(Address())](const result<http_answer>& answer) {
         if (!answer) return done(tl::unexpected<error>(answer.error()));
         if (answer->status == 200) return done(ParseReceipt(answer->body, peer));
         if (answer->status == 409) {
           return done(Failure(error_kind::kConflict, "commit transaction", peer,
                               "A condition of the transaction failed: " + answer->body + "."));
         }
         done(Failure(error_kind::kInternal, "commit transaction", peer,
                      "The platform refused the transaction with status " +
                          std::to_string(answer->status) + "."));
       });
}

void http_table_service::ReadPrefix(const std::string& prefix, table_callback done) {
  ReadRows(prefix, [done = std::move(done)](result<table_snapshot> snapshot) {
    if (!snapshot) return done(tl::unexpected<error>(snapshot.error()));
    done(std::move(snapshot->rows));
  });
}

void http_table_service::ReadRows(const std::string& prefix,
                                  std::function<void(result<table_snapshot>)> done) {
  http_request request{"GET", "/table/rows?prefix=" + PercentEncode(prefix), {}, {}};
  Send(std::move(request), "read rows",
       [done = std::move(done), peer = ToString(Address())](const result<http_answer>& answer) {
         if (!answer) return done(tl::unexpected<error>(answer.error()));
         if (answer->status == 200) return done(ParseRows(answer->body, peer));
         done(Failure(error_kind::kPeer, "read rows", peer,
                      "The platform answered with status " + std::to_string(answer->status) + "."));
       });
}

void http_table_service::Put(const std::string& name, const std::string& bytes,
                             commit_callback done) {
  http_request request{"PUT", "/objects/" + PercentEncode(name), {}, bytes};
  Send(std::move(request), "store object",
       [done = std::move(done), peer = ToString(Address())](const result<http_answer>& answer) {
         if (!answer) return done(tl::unexpected<error>(answer.error()));
         if (answer->status == 200) return done({});
         done(Failure(error_kind::kInternal, "store object", peer,
                      "The platform refused the object with status " +
                          std::to_string(answer->status) + "."));
       });
}

void http_table_service::Get(const std::string& name, object_callback done) {
  http_request request{"GET", "/objects/" + PercentEncode(name), {}, {}};
  Send(std::move(request), "read object",
       [done = std::move(done), name,
        peer = ToString(Address())](const result<http_answer>& answer) {
         if (!answer) return done(tl::unexpected<error>(answer.error()));
         if (answer->status == 200) return done(answer->body);
         done(Failure(error_kind::kPeer, "read object", peer,
                      "The platform has no object \"" + name + "\"."));
       });
}

}  // namespace bulrushway
