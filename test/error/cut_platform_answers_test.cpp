// Answers of the platform's store and of the target to grants, cut at every byte or invalid. Rows
// that a cut answer lacks must not count as deleted, and neither a cut nor an invalid answer says
// what was carried out.

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "broken_answers.h"
#include "grant_client.h"
#include "scripted_peer.h"
#include "store_client.h"

namespace bulrushway {
namespace {

using std::chrono::milliseconds;
using testing::scripted_server;
using end = scripted_server::step::end;

// Framings of one body.
std::vector<std::string> Framings(const std::string& headers, const std::string& body) {
  const std::string head = "HTTP/1.1 200 OK\r\n" + headers;
  std::string chunks;
  constexpr size_t kChunk = 8;
  for (size_t begin = 0; begin < body.size(); begin += kChunk) {
    const std::string chunk = body.substr(begin, kChunk);
    chunks += std::to_string(chunk.size()) + "\r\n" + chunk + "\r\n";
  }
  return {
      head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
      head + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "0\r\n\r\n",
      head + "\r\n" + body,
  };
}

using script = std::vector<scripted_server::step>;

// The answer with each broken status and each broken field line, on a connection of its own.
std::vector<script> BrokenEverywhere(const std::string& text) {
  std::vector<script> scripts;
  for (const std::string& status : testing::kBrokenStatuses) {
    std::string broken = text;
    scripts.push_back({{broken.replace(text.find(' ') + 1, status.size(), status)}});
  }
  for (const std::string& line : testing::kBrokenFieldLines) {
    std::string broken = text;
    scripts.push_back({{broken.insert(text.find('\n') + 1, line + "\r\n")}});
  }
  return scripts;
}

// Makes one call to a server for each script, and returns their results. So many calls at the same
// time keep within the usual limit of descriptors.
template <class Result, class Client, class Call>
std::vector<Result> CallEach(const std::vector<script>& scripts, Call call) {
  constexpr size_t kAtOnce = 100;
  std::vector<Result> received;
  while (received.size() < scripts.size()) {
    const size_t count = std::min(kAtOnce, scripts.size() - received.size());
    event_loop loop;
    std::vector<std::unique_ptr<scripted_server>> servers;
    std::vector<std::unique_ptr<Client>> clients;
    std::vector<std::optional<Result>> results(count);
    size_t left = count;
    for (size_t i = 0; i < count; ++i) {
      servers.push_back(std::make_unique<scripted_server>(loop, scripts[received.size() + i]));
      clients.push_back(std::make_unique<Client>(loop, servers.back()->address()));
      call(*clients.back(), [&results, &left, &loop, i](Result result) {
        results[i] = std::move(result);
        if (--left == 0) loop.Stop();
      });
    }
    timer stop(loop, [&loop](instant) { loop.Stop(); });
    stop.Once(std::chrono::seconds(20));
    loop.Run();
    for (auto& result : results) {
      BOOST_REQUIRE(result.has_value());
      received.push_back(std::move(*result));
    }
  }
  return received;
}

// The earlier answers, and then the first 0, 1, 2, ... bytes of `text`.
std::vector<script> CutEverywhere(const std::string& text, end then, const script& earlier = {}) {
  std::vector<script> scripts;
  for (size_t length = 0; length <= text.size(); ++length) {
    scripts.push_back(earlier);
    scripts.back().push_back({text.substr(0, length), then});
  }
  return scripts;
}

const std::string kRow = R"({"table":"t","part":"","key":"a","ver":7,"value":"eA=="})";
const std::string kLastRow = R"({"table":"t","part":"","key":"b","ver":8,"value":"eQ=="})";
const std::string kStoreHeaders = "Store-Era: 1\r\n";

std::string Page(const std::string& rows, bool has_more) {
  return R"({"rows":[)" + rows + R"(],"ver":9,"now_s":5.5,"has_more":)" +
         (has_more ? "true" : "false") + "}";
}

using rows_result = result<row_snapshot>;

std::vector<rows_result> Read(const std::vector<script>& scripts) {
  return CallEach<rows_result, platform::store_client>(
      scripts, [](platform::store_client& client, auto done) {
        client.Rows().read("t", [done](instant, rows_result rows) { done(std::move(rows)); });
      });
}

std::vector<rows_result> Watch(const std::vector<script>& scripts) {
  return CallEach<rows_result, platform::store_client>(
      scripts, [](platform::store_client& client, auto done) {
        client.Rows().watch("t", 0, milliseconds(1000),
                            [done](instant, rows_result rows) { done(std::move(rows)); });
      });
}

void CheckAllOrNothing(const std::vector<rows_result>& results, const std::string& text,
                       size_t rows) {
  for (size_t length = 0; length < results.size(); ++length) {
    BOOST_TEST_CONTEXT("cut after " << length << " bytes of " << text) {
      const rows_result& result = results[length];
      if (length < text.size()) {
        BOOST_TEST(!result.has_value());
      } else {
        BOOST_REQUIRE_MESSAGE(result.has_value(), result.error().message);
        BOOST_TEST(result->rows.size() == rows);
      }
    }
  }
}

grant_call Call(grant_call::kind type) {
  grant_call call;
  call.type = type;
  call.target = {"t1", 1000};
  call.range = {{100, 199}, 7, ""};
  call.hold = milliseconds(4000);
  call.timeout = milliseconds(5000);
  return call;
}

class target_of_grants {
 public:
  target_of_grants(event_loop& loop, const socket_address& address) : client_(loop, address, {}) {}
  platform::grant_client& client() { return client_; }

 private:
  platform::grant_client client_;
};

std::vector<grant_call_outcome> Send(const std::vector<script>& scripts, grant_call::kind type) {
  return CallEach<grant_call_outcome, target_of_grants>(
      scripts, [type](target_of_grants& target, auto done) {
        target.client().Send(Call(type),
                             [done](instant, const grant_call_outcome& outcome) { done(outcome); });
      });
}

}  // namespace

BOOST_AUTO_TEST_SUITE(an_answer_of_the_store_that_is_cut)

BOOST_AUTO_TEST_CASE(is_not_read_as_fewer_rows) {
  const std::string body = Page(kRow + "," + kLastRow, false);
  for (const std::string& text : Framings(kStoreHeaders, body)) {
    CheckAllOrNothing(Read(CutEverywhere(text, end::kClose)), text, 2);
  }
}

BOOST_AUTO_TEST_CASE(on_a_later_page_is_not_read_as_the_end_of_the_rows) {
  const script first_page = {{Framings(kStoreHeaders, Page(kRow, true)).front()}};
  for (const std::string& text : Framings(kStoreHeaders, Page(kLastRow, false))) {
    CheckAllOrNothing(Read(CutEverywhere(text, end::kClose, first_page)), text, 2);
  }
}

BOOST_AUTO_TEST_CASE(is_not_read_as_fewer_changes) {
  for (const std::string& text : Framings(kStoreHeaders, Page(kRow + "," + kLastRow, false))) {
    CheckAllOrNothing(Watch(CutEverywhere(text, end::kClose)), text, 2);
  }
}

BOOST_AUTO_TEST_CASE(is_no_receipt_of_a_commit) {
  using receipt = result<row_receipt>;
  for (const std::string& text : Framings(kStoreHeaders, R"({"ver":12345,"now_s":5.5})")) {
    const auto results = CallEach<receipt, platform::store_client>(
        CutEverywhere(text, end::kClose), [](platform::store_client& client, auto done) {
          client.Rows().commit({.conditions = {}, .writes = {{{"t", "a"}, "x"}}},
                               [done](instant, receipt received) { done(std::move(received)); });
        });
    for (size_t length = 0; length < results.size(); ++length) {
      BOOST_TEST_CONTEXT("cut after " << length << " bytes of " << text) {
        BOOST_TEST(results[length].has_value() == (length == text.size()));
        // A conflict would say that nothing was committed.
        if (!results[length]) BOOST_TEST((results[length].error().kind == error_kind::kPeer));
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_answer_to_a_grant_or_release_that_is_cut)

BOOST_AUTO_TEST_CASE(does_not_tell_whether_it_was_carried_out) {
  const std::string headers = "X-Bulrushway-Instance-Id: t1\r\nX-Bulrushway-Handover: 5c0e\r\n";
  const std::string texts[] = {
      "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: 0\r\n\r\n",
      "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: 4\r\n\r\nbody",
      "HTTP/1.1 200 OK\r\n" + headers + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      "HTTP/1.1 409 Conflict\r\n" + headers + "Content-Length: 0\r\n\r\n",
  };
  for (const std::string& text : texts) {
    for (const auto type : {grant_call::kind::kGrant, grant_call::kind::kRelease}) {
      const auto outcomes = Send(CutEverywhere(text, end::kClose), type);
      for (size_t length = 0; length < text.size(); ++length) {
        BOOST_TEST_CONTEXT("cut after " << length << " bytes of " << text) {
          BOOST_TEST(Name(outcomes[length].result) == "unknown");
          BOOST_TEST(outcomes[length].handover.empty());
        }
      }
      const bool success = text.find("200") != std::string::npos;
      BOOST_TEST(Name(outcomes.back().result) == (success ? "done" : "higher-fence"));
      BOOST_TEST(outcomes.back().handover == (success ? "5c0e" : ""));
    }
  }
}

BOOST_AUTO_TEST_CASE(is_not_done_if_only_the_end_of_the_connection_ends_it) {
  const auto outcomes =
      Send(CutEverywhere("HTTP/1.1 200 OK\r\nX-Bulrushway-Handover: 5c0e\r\n\r\n", end::kClose),
           grant_call::kind::kRelease);
  for (const grant_call_outcome& outcome : outcomes) {
    BOOST_TEST(Name(outcome.result) == "unknown");
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_answer_of_the_store_that_is_invalid)

BOOST_AUTO_TEST_CASE(has_no_rows) {
  const std::string body = Page(kRow + "," + kLastRow, false);
  const auto scripts = BrokenEverywhere(Framings(kStoreHeaders, body).front());
  for (const auto& results : {Read(scripts), Watch(scripts)}) {
    for (size_t i = 0; i < results.size(); ++i) {
      BOOST_TEST_CONTEXT(scripts[i].front().text) { BOOST_TEST(!results[i].has_value()); }
    }
  }
}

// The status of a conflict would say that nothing was committed.
BOOST_AUTO_TEST_CASE(does_not_tell_whether_rows_were_committed) {
  using receipt = result<row_receipt>;
  const std::string success = Framings(kStoreHeaders, R"({"ver":12345,"now_s":5.5})").front();
  const std::string conflict = "HTTP/1.1 412 -\r\nContent-Length: 0\r\n\r\n";
  for (const std::string& text : {success, conflict}) {
    const auto scripts = BrokenEverywhere(text);
    const auto results = CallEach<receipt, platform::store_client>(
        scripts, [](platform::store_client& client, auto done) {
          client.Rows().commit({.conditions = {}, .writes = {{{"t", "a"}, "x"}}},
                               [done](instant, receipt received) { done(std::move(received)); });
        });
    for (size_t i = 0; i < results.size(); ++i) {
      BOOST_TEST_CONTEXT(scripts[i].front().text) {
        BOOST_REQUIRE(!results[i].has_value());
        BOOST_TEST((results[i].error().kind == error_kind::kPeer));
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_answer_to_a_grant_or_release_that_is_invalid)

BOOST_AUTO_TEST_CASE(does_not_tell_whether_it_was_carried_out) {
  for (const std::string id : {"t1", "t2"}) {
    const std::string text = "HTTP/1.1 200 OK\r\nX-Bulrushway-Instance-Id: " + id +
                             "\r\nX-Bulrushway-Handover: 5c0e\r\nContent-Length: 0\r\n\r\n";
    const auto scripts = BrokenEverywhere(text);
    for (const auto type : {grant_call::kind::kGrant, grant_call::kind::kRelease}) {
      const auto outcomes = Send(scripts, type);
      for (size_t i = 0; i < outcomes.size(); ++i) {
        BOOST_TEST_CONTEXT(scripts[i].front().text) {
          BOOST_TEST(Name(outcomes[i].result) == "unknown");
          BOOST_TEST(outcomes[i].handover.empty());
        }
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
