// Frames between processes that are cut at every byte: no part of one is taken for a message.

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "peer_codec.h"
#include "peer_transport.h"
#include "scripted_peer.h"

namespace bulrushway {
namespace {

using testing::scripted_server;
using end = scripted_server::step::end;

std::string AnswerFrame() {
  dispatch_answer answer;
  answer.id = 7;
  answer.target.service = "lookup";
  answer.answer = {200, {{"Seal", "s"}, {"Content-Type", "text/plain"}}, "all of it"};
  return EncodeFrame(answer);
}

// What a process received on its connection to one peer.
struct peer_under_test {
  peer_under_test(event_loop& loop, scripted_server::step step, const std::function<void()>& ended)
      : server(loop, {std::move(step)}),
        transport(loop, {[this](connection_id, peer_message message) {
                           messages.push_back(std::move(message));
                         },
                         [this, ended](connection_id, bool, const error&) {
                           closed = true;
                           ended();
                         }}) {
    // The scripted peer answers what it reads.
    transport.Send(transport.Connect(server.address()), freshness_request{});
  }

  std::vector<peer_message> messages;
  bool closed = false;
  scripted_server server;
  peer_transport transport;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(a_frame_that_is_cut)

BOOST_AUTO_TEST_CASE(by_the_end_of_its_connection_is_no_message) {
  const std::string first = EncodeFrame(freshness_answer{});
  const std::string frame = AnswerFrame();
  for (const end then : {end::kClose, end::kReset}) {
    event_loop loop;
    std::vector<std::unique_ptr<peer_under_test>> peers;
    size_t left = frame.size() + 1;
    for (size_t length = 0; length <= frame.size(); ++length) {
      peers.push_back(std::make_unique<peer_under_test>(
          loop, scripted_server::step{first + frame.substr(0, length), then}, [&left, &loop] {
            if (--left == 0) loop.Stop();
          }));
    }
    timer stop(loop, [&loop](instant) { loop.Stop(); });
    stop.Once(std::chrono::seconds(20));
    loop.Run();
    for (size_t length = 0; length <= frame.size(); ++length) {
      BOOST_TEST_CONTEXT("cut after " << length << " bytes") {
        const peer_under_test& peer = *peers[length];
        BOOST_TEST(peer.closed);
        // A reset may discard what was received before it.
        if (then == end::kClose) {
          BOOST_TEST(peer.messages.size() == (length == frame.size() ? 2U : 1U));
        } else if (length < frame.size()) {
          BOOST_TEST(peer.messages.size() <= 1U);
        }
        if (!peer.messages.empty()) {
          BOOST_TEST(std::holds_alternative<freshness_answer>(peer.messages.front()));
        }
        if (peer.messages.size() == 2) {
          const auto* answer = std::get_if<dispatch_answer>(&peer.messages.back());
          BOOST_REQUIRE(answer != nullptr);
          BOOST_TEST(answer->answer.body == "all of it");
        }
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(and_whose_length_says_so_is_no_message) {
  const std::string body = AnswerFrame().substr(kFrameHeaderSize);
  for (size_t length = 0; length < body.size(); ++length) {
    BOOST_TEST(!DecodeFrame(body.substr(0, length), "peer").has_value(),
               "cut after " << length << " bytes");
  }
  BOOST_TEST(DecodeFrame(body, "peer").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
