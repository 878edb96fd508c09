#ifndef BULRUSHWAY_HTTP_TABLE_SERVICE_H
#define BULRUSHWAY_HTTP_TABLE_SERVICE_H

// The platform's table and object store over HTTP. docs/design/platform.md states the protocol that
// is assumed. Another platform needs another class that satisfies the same concepts.

#include <vector>

#include "http_client.h"
#include "table_service.h"

namespace bulrushway {

/// Rows as of one moment.
struct table_snapshot {
  std::vector<table_row> rows;
  /// The platform's steady clock.
  std::chrono::milliseconds now{0};
};

/// A transaction that took effect.
struct table_receipt {
  /// Versions of the rows written, in the order of the writes; 0 for a deletion.
  std::vector<uint64_t> versions;
  /// The platform's steady clock.
  std::chrono::milliseconds now{0};
};

/// Client of one platform, which may listen on several addresses; an address that does not answer
/// is left for the next one.
class http_table_service {
 public:
  http_table_service(http_client& client, std::vector<socket_address> addresses);

  /// Commits a transaction; see table_service.h for the outcomes.
  void Commit(const transaction& txn, commit_callback done);
  /// The same, for callers that need the new versions.
  void CommitRows(const transaction& txn, std::function<void(result<table_receipt>)> done);
  /// Reads all rows whose key begins with `prefix`, in the order of keys.
  void ReadPrefix(const std::string& prefix, table_callback done);
  /// The same, with the time at which the rows were so.
  void ReadRows(const std::string& prefix, std::function<void(result<table_snapshot>)> done);
  /// Stores an object. Storing the same bytes again is harmless.
  void Put(const std::string& name, const std::string& bytes, commit_callback done);
  /// Reads an object.
  void Get(const std::string& name, object_callback done);

  /// While set, no call reaches the platform. For failure tests.
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
