// Answers of the platform's table service that report no success, or are invalid HTTP, with the
// body of one. Rows that such a body lacks must not count as deleted.

#include <boost/test/unit_test.hpp>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "broken_answers.h"
#include "http_table_service.h"
#include "scripted_peer.h"

namespace bulrushway {
namespace {

using testing::scripted_server;

std::string Answer(const std::string& status, const std::string& body) {
  return "HTTP/1.1 " + status + " -\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

// One call to a service that answers it so; the error of its outcome, if it is one.
std::optional<error> ErrorOf(
    const std::string& answer,
    const std::function<void(http_table_service&, std::function<void(std::optional<error>)>)>&
        call) {
  event_loop loop;
  scripted_server server(loop, {{answer}});
  http_client client(loop, 1);
  http_table_service service(client, {server.address()});
  std::optional<std::optional<error>> outcome;
  call(service, [&](std::optional<error> received) {
    outcome = std::move(received);
    loop.Stop();
  });
  timer stop(loop, [&loop](instant) { loop.Stop(); });
  stop.Once(std::chrono::seconds(5));
  loop.Run();
  BOOST_REQUIRE(outcome.has_value());
  return *outcome;
}

std::optional<error> ErrorOfRead(const std::string& answer) {
  return ErrorOf(answer, [](http_table_service& service, auto done) {
    service.ReadRows("", [done](const result<table_snapshot>& rows) {
      done(rows ? std::nullopt : std::optional(rows.error()));
    });
  });
}

std::optional<error> ErrorOfCommit(const std::string& answer) {
  return ErrorOf(answer, [](http_table_service& service, auto done) {
    service.CommitRows({}, [done](const result<table_receipt>& receipt) {
      done(receipt ? std::nullopt : std::optional(receipt.error()));
    });
  });
}

const std::string kRows = R"({"rows":[],"now_ms":7})";
const std::string kReceipt = R"({"versions":[1],"now_ms":7})";

}  // namespace

BOOST_AUTO_TEST_SUITE(an_answer_of_the_table_service)

BOOST_AUTO_TEST_CASE(that_is_a_success_has_rows_or_a_receipt) {
  BOOST_TEST(!ErrorOfRead(Answer("200", kRows)).has_value());
  BOOST_TEST(!ErrorOfCommit(Answer("200", kReceipt)).has_value());
}

BOOST_AUTO_TEST_CASE(that_is_invalid_leaves_open_what_was_committed) {
  for (const std::string& status : testing::kBrokenStatuses) {
    BOOST_TEST_CONTEXT("status " << status) {
      for (const auto& failed :
           {ErrorOfRead(Answer(status, kRows)), ErrorOfCommit(Answer(status, kReceipt))}) {
        BOOST_REQUIRE(failed.has_value());
        BOOST_TEST((failed->kind == error_kind::kPeer));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(that_is_no_success_has_no_rows) {
  for (const std::string status : {"202", "204", "302", "304", "400", "404", "409", "429", "503"}) {
    BOOST_TEST_CONTEXT("status " << status) {
      const auto failed = ErrorOfRead(Answer(status, kRows));
      BOOST_REQUIRE(failed.has_value());
      BOOST_TEST((failed->kind == error_kind::kPeer));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
