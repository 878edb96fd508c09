#ifndef BULRUSHWAY_ROW_SERVER_H
#define BULRUSHWAY_ROW_SERVER_H

// Stand-in for the row store of the users' platform: versioned rows, conditional transactions and a
// long-polling change feed, over the platform's HTTP protocol.

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "delayed_calls.h"
#include "http_server.h"

namespace bulrushway::standin {

/// Server of one row store.
class row_server {
 public:
  row_server(event_loop& loop, const socket_address& address);

  result<void> Listen();
  /// Writes a row directly, as an operator does.
  void Put(const std::string& table, const std::string& key, const std::string& value);
  void Delete(const std::string& table, const std::string& key);
  /// The value of a row.
  std::optional<std::string> Get(const std::string& table, const std::string& key) const;
  /// While down, every request is answered with status 503.
  void SetDown(bool down) { down_ = down; }
  /// Simulates a truncated history: feeds from an older version are answered with status 410.
  void ForgetHistory() { history_start_ = version_; }
  uint64_t Calls() const { return calls_; }

 private:
  using exchange_pointer = std::shared_ptr<http_exchange>;
  using row_name = std::pair<std::string, std::string>;
  struct stored_value {
    std::string value;
    uint64_t version = 0;
  };
  struct change {
    row_name name;
    uint64_t version = 0;
    bool deleted = false;
  };
  struct waiting_feed {
    exchange_pointer call;
    std::string table;
    uint64_t after = 0;
    uint64_t id = 0;
  };

  void Handle(const exchange_pointer& call);
  void Commit(const exchange_pointer& call);
  void Read(const exchange_pointer& call);
  void Feed(const exchange_pointer& call);
  bool AnswerFeed(const waiting_feed& feed, bool even_if_empty);
  void AnswerWaitingFeeds();
  double NowSeconds() const;

  event_loop& loop_;
  socket_address address_;
  http_server server_;
  delayed_calls delayed_;
  bool down_ = false;
  uint64_t version_ = 0;
  uint64_t history_start_ = 0;
  uint64_t calls_ = 0;
  uint64_t last_feed_id_ = 0;
  std::map<row_name, stored_value> rows_;
  std::deque<change> history_;
  std::vector<waiting_feed> waiting_;
};

}  // namespace bulrushway::standin

#endif  // BULRUSHWAY_ROW_SERVER_H
