#ifndef BULRUSHWAY_HTTP_TABLE_SERVICE_H
#define BULRUSHWAY_HTTP_TABLE_SERVICE_H

// The platform's table and object store over HTTP. docs/design/platform.md states the protocol that
// is assumed. Another platform needs another class that satisfies the same concepts.

#include <vector>

#include "http_client.h"
#include "table_service.h"

namespace bulrushway {

/// Client of one platform, which may listen on several addresses; an address that does not answer
/// is left for the next one.
class http_table_service {
 public:
  http_table_service(http_client& client, std::vector<socket_address> addresses);

  /// Commits a transaction; see table_service.h for the outcomes.
  void Commit(const transaction& txn, commit_callback done);
  /// Reads all rows whose key begins with `prefix`, in the order of keys.
  void ReadPrefix(const std::string& prefix, rows_callback done);
  /// Stores an object. Storing the same bytes again is harmless.
  void Put(const std::string& name, const std::string& bytes, commit_callback done);
  /// Reads an object.
  void Get(const std::string& name, object_callback done);

 private:
  socket_address Address() const;
  void Send(http_request request, const std::string& step,
            std::function<void(result<http_answer>)> done);

  http_client& client_;
  std::vector<socket_address> addresses_;
  size_t current_ = 0;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_HTTP_TABLE_SERVICE_H
