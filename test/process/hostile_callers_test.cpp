// Callers that send more than a process can hold: large bodies, most of which never end, bodies
// over the limit, and many connections. The sum of what they sent was not limited: the process took
// more memory than its machine has and would have been killed, with the requests of all others.

#include <sys/resource.h>

#include <boost/test/unit_test.hpp>
#include <memory>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

#include "platform_deployment.h"
#include "raw_caller.h"

namespace bulrushway::testing {
namespace {

using std::chrono::milliseconds;

constexpr size_t kMemoryMb = 48;
constexpr size_t kMaxBody = 4 << 20;
constexpr size_t kCallers = 24;
// Connections to the store, the target and peers included.
constexpr size_t kMaxDescriptors = 100;
constexpr size_t kPiece = 64 << 10;
// Rounds without any progress after which the crowd has sent all that the process takes.
constexpr int kQuietRounds = 40;

std::string Configuration(size_t max_body) {
  return R"({"version":"00000001","resources":[)"
         R"({"type":"routes","metadata":{"name":"look"},"spec":{"host":"h","prefix":"/look/",)"
         R"("kind":"safe","timeout_s":30,"latency_target_s":10,"priority":2,"service":"plain",)"
         R"("attempts":2}},)"
         R"({"type":"routes","metadata":{"name":"put"},"spec":{"host":"h","prefix":"/put/",)"
         R"("kind":"unsafe","timeout_s":30,"latency_target_s":10,"priority":1,"service":"plain",)"
         R"("attempts":2}},)"
         R"({"type":"services","metadata":{"name":"plain"},"spec":{"max_conns":64}},)"
         R"({"type":"services","metadata":{"name":"keyed"},"spec":{"max_conns":64,"sharded":true}},)"
         R"({"type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":)" +
         std::to_string(max_body) + R"(,"header_timeout_s":3,"idle_timeout_s":15}}]})";
}

std::string Head(const std::string& body_headers) {
  return "POST /put/x HTTP/1.1\r\nHost: h\r\nX-Bulrushway-Request-Id: crowd\r\n"
         "X-Bulrushway-Request-Timeout: 30000\r\n" +
         body_headers + "\r\n";
}

std::string WithLength(uint64_t announced, size_t sent) {
  return Head("Content-Length: " + std::to_string(announced) + "\r\n") + std::string(sent, 'x');
}

// A chunked body of `bytes` in chunks of this size, without the chunk that would end it.
std::string InChunks(size_t bytes, size_t chunk) {
  std::string text = Head("Transfer-Encoding: chunked\r\n");
  std::string one = (std::ostringstream() << std::hex << chunk).str();
  one += "\r\n" + std::string(chunk, 'x') + "\r\n";
  for (size_t sent = 0; sent < bytes; sent += chunk) text += one;
  return text;
}

class hostile_crowd {
 public:
  explicit hostile_crowd(size_t max_body = kMaxBody, size_t memory_mb = kMemoryMb)
      : memory_mb_(memory_mb),
        fleet_(false, {{"plain"}, {"plain"}, {"keyed"}, {"keyed"}}, memory_mb) {
    fleet_.store().Put("op", "config", Configuration(max_body));
    BOOST_REQUIRE(fleet_.WaitUntilSettled());
    // A target is sent few requests until it has answered the first.
    for (size_t i = 0; i < 4; ++i) fleet_.StatusOf(i % 2, "/look/x", "first" + std::to_string(i));
  }

  platform_deployment& fleet() { return fleet_; }

  // All callers send the text to the first process, in turn, in pieces of this size, as far as it
  // takes them, and stay open.
  void SendAll(const std::string& text, size_t callers, size_t piece) {
    std::vector<size_t> sent(callers, 0);
    for (size_t i = 0; i < callers; ++i) {
      callers_.push_back(std::make_unique<raw_caller>(fleet_.machines()[0].Address(kCallersPort)));
    }
    const size_t first = callers_.size() - callers;
    for (int quiet = 0; quiet < kQuietRounds;) {
      size_t progress = 0;
      for (size_t i = 0; i < callers; ++i) {
        const std::string_view rest = std::string_view(text).substr(sent[i]);
        const size_t taken = rest.empty() ? 0 : callers_[first + i]->TrySend(rest.substr(0, piece));
        sent[i] += taken;
        progress += taken;
      }
      quiet = progress == 0 ? quiet + 1 : 0;
      fleet_.Wait(milliseconds(1));
    }
  }
  // Checks what must hold whatever callers send.
  void RequireServiceGoesOn() {
    BOOST_TEST(fleet_.StatusOf(0, "/look/x", "ordinary") == 200);
    for (size_t i = 0; i < fleet_.machines().size(); ++i) {
      BOOST_TEST_CONTEXT("the process beside " << fleet_.machines()[i].ip) {
        BOOST_REQUIRE(fleet_.machines()[i].process->Running());
        const double peak = fleet_.PeakMemoryMb(i);
        const size_t descriptors = fleet_.OpenDescriptors(i);
        BOOST_TEST_MESSAGE("peak memory " << peak << " MB, " << descriptors << " descriptors");
        BOOST_TEST(peak < memory_mb_);
        BOOST_TEST(descriptors < kMaxDescriptors);
      }
    }
  }

  // Whether the first caller has received an answer of the target.
  bool Served() {
    const auto received = [this] { return !callers_.front()->Statuses().empty(); };
    fleet_.Until(received, std::chrono::seconds(30));
    return callers_.front()->Statuses() == std::vector<int>{200};
  }

 private:
  size_t memory_mb_;
  platform_deployment fleet_;
  std::vector<std::unique_ptr<raw_caller>> callers_;
};

// Lowers the descriptors that processes may have which are started meanwhile.
class lowered_descriptors {
 public:
  explicit lowered_descriptors(rlim_t descriptors) {
    getrlimit(RLIMIT_NOFILE, &before_);
    const rlimit lowered{descriptors, before_.rlim_max};
    setrlimit(RLIMIT_NOFILE, &lowered);
  }
  ~lowered_descriptors() { Restore(); }
  void Restore() const { setrlimit(RLIMIT_NOFILE, &before_); }

 private:
  rlimit before_{};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(hostile_callers)

BOOST_AUTO_TEST_CASE(that_send_large_bodies_at_once_and_stop_short_of_their_end) {
  hostile_crowd crowd;
  crowd.SendAll(WithLength(kMaxBody, kMaxBody - 1), kCallers, kMaxBody);
  crowd.RequireServiceGoesOn();
}

BOOST_AUTO_TEST_CASE(that_send_large_bodies_piece_by_piece_and_stop_short_of_their_end) {
  hostile_crowd crowd;
  crowd.SendAll(WithLength(kMaxBody, kMaxBody - 1), kCallers, kPiece);
  crowd.RequireServiceGoesOn();
}

BOOST_AUTO_TEST_CASE(that_send_large_bodies_whole_at_once) {
  hostile_crowd crowd;
  crowd.SendAll(WithLength(kMaxBody, kMaxBody), kCallers, kMaxBody);
  crowd.RequireServiceGoesOn();
}

BOOST_AUTO_TEST_CASE(that_announce_bodies_far_over_the_limit) {
  hostile_crowd crowd;
  crowd.SendAll(WithLength(uint64_t{9} << 30, 2 * kMaxBody), kCallers, kPiece);
  crowd.RequireServiceGoesOn();
}

BOOST_AUTO_TEST_CASE(that_send_chunks_without_end) {
  hostile_crowd crowd;
  crowd.SendAll(InChunks(3 * kMaxBody, kPiece), kCallers, kPiece);
  crowd.RequireServiceGoesOn();
}

BOOST_AUTO_TEST_CASE(that_send_large_chunks_and_stop_short_of_their_end) {
  hostile_crowd crowd;
  crowd.SendAll(InChunks(kMaxBody, kPiece), kCallers, kPiece);
  crowd.RequireServiceGoesOn();
}

BOOST_AUTO_TEST_CASE(that_send_very_small_chunks_and_stop_short_of_their_end) {
  hostile_crowd crowd;
  crowd.SendAll(InChunks(kMaxBody / 2, 1), kCallers, kPiece);
  crowd.RequireServiceGoesOn();
}

BOOST_AUTO_TEST_CASE(that_open_more_connections_than_there_are_descriptors) {
  constexpr size_t kDescriptors = 128;
  constexpr size_t kConnections = 200;
  const lowered_descriptors lowered(kDescriptors);
  hostile_crowd crowd;
  lowered.Restore();
  crowd.SendAll("POST /put/x HTTP/1.1\r\n", kConnections, kPiece);
  crowd.RequireServiceGoesOn();
}

BOOST_AUTO_TEST_SUITE_END()

// The same limits must not turn away a caller that stays within those of the operators.
BOOST_AUTO_TEST_CASE(a_single_upload_of_the_largest_size_is_served_by_a_small_machine) {
  constexpr size_t kLargest = 64 << 20;
  hostile_crowd crowd(kLargest, kMachineMemoryMb);
  crowd.SendAll(WithLength(kLargest, kLargest), 1, kLargest);
  BOOST_TEST(crowd.Served());
  crowd.RequireServiceGoesOn();
}

}  // namespace bulrushway::testing
