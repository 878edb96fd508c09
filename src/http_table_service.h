#ifndef BULRUSHWAY_HTTP_TABLE_SERVICE_H
#define BULRUSHWAY_HTTP_TABLE_SERVICE_H

// The platform's table and object store over HTTP, by the protocol of docs/design/platform.md. For
// another platform, write another class that satisfies the concepts of table_service.h.

#include <vector>

#include "http_client.h"
#include "table_service.h"

namespace bulrushway {

/// Consistent snapshot of rows.
struct table_snapshot {
  std::vector<table_row> rows;
  /// Time of the snapshot on the platform's steady clock.
  std::chrono::milliseconds now{0};
};

/// Receipt of a committed transaction.
struct table_receipt {
  /// Versions of the rows written, in the order of the writes; 0 for a deletion.
  std::vector<uint64_t> versions;
  /// The platform's steady clock at some moment between request and answer.
  std::chrono::milliseconds now{0};
};

/// Client of one platform. The platform may listen on several addresses; when one does not answer,
/// the following calls go to the next one.
class http_table_service {
 public:
  http_table_service(http_client& client, std::vector<socket_address> addresses);

  /// Commits a transaction; see table_service.h for the outcomes.
  void Commit(const transaction& txn, commit_callback done);
  /// Commits a transaction and returns the new versions of the rows.
  void CommitRows(const transaction& txn, std::function<void(result<table_receipt>)> done);
  /// Reads all rows whose key begins with `prefix`, sorted by key.
  void ReadPrefix(const std::string& prefix, table_callback done);
  /// Reads the same rows together with the time of the snapshot.
  void ReadRows(const std::string& prefix, std::function<void(result<table_snapshot>)> done);
  /// Stores an object. Storing the same bytes again has no effect.
  void Put(const std::string& name, const std::string& bytes, commit_callback done);
  /// Reads an object. A missing object yields an error of kind kPeer.
  void Get(const std::string& name, object_callback done);

  /// While set, no call reaches the platform. For fault injection in tests.
  void SetDisconnected(bool disconnected) { disconnected_ = disconnected; }

 private:
  socket_address Address() const;
  void Send(http_request request, const std::string& step,
            std::function<void(result<http_answer>)> done);

  http_client& client_;
  std::vector<socket_address> addresses_;
  size_t address_index_ = 0;
  bool disconnected_ = false;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_HTTP_TABLE_SERVICE_H
