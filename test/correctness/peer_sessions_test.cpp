// A process asks over a new connection what became of the requests that it sent over one that fell
// silent.

#include "peer_sessions.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace bulrushway {
namespace {

using std::chrono::milliseconds;

constexpr instant kStart = instant{} + std::chrono::hours(1);
constexpr uint64_t kOrigin = 77;

dispatch_answer AnswerTo(uint64_t request, size_t body_bytes = 10) {
  dispatch_answer answer;
  answer.id = request;
  answer.sent_to_target = true;
  answer.answer.status = 200;
  answer.answer.body.assign(body_bytes, 'x');
  return answer;
}

// A peer whose first connection, 1, is open since generation 10.
struct opened_session {
  opened_session() { session = sessions.OnHello(kStart, 1, {"b", kOrigin, 0, 10, {}}).session; }

  session_opening Reconnect(instant now, std::vector<resumed_request> requests) {
    return sessions.OnHello(now, 2, {"b", kOrigin, 0, 20, std::move(requests)});
  }

  peer_sessions sessions;
  session_id session = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(a_connection_that_fell_silent)

BOOST_FIXTURE_TEST_SUITE(and_was_replaced, opened_session)

BOOST_AUTO_TEST_CASE(is_closed_before_the_peer_learns_what_has_not_arrived) {
  const session_opening opening = Reconnect(kStart, {{5, 10}});
  BOOST_TEST(opening.replaced == 1U);
  BOOST_TEST((opening.resumed.unseen == std::vector<uint64_t>{5}));
}

BOOST_AUTO_TEST_CASE(leaves_a_running_request_to_be_answered_over_the_new_one) {
  sessions.OnRequest(session, 5);
  const session_opening opening = Reconnect(kStart, {{5, 10}});
  BOOST_TEST(opening.resumed.unseen.empty());
  BOOST_TEST(opening.resumed.unknown.empty());
  BOOST_TEST(opening.abandoned.empty());
  BOOST_TEST(sessions.ConnectionOf(session) == 2U);
  BOOST_TEST(sessions.SessionOf(2) == session);
}

BOOST_AUTO_TEST_CASE(leaves_an_answer_to_be_sent_again) {
  sessions.OnRequest(session, 5);
  sessions.OnAnswer(kStart, session, AnswerTo(5));
  const session_opening opening = Reconnect(kStart + milliseconds(900), {{5, 10}});
  BOOST_REQUIRE(opening.answers.size() == 1U);
  BOOST_TEST(opening.answers.front().id == 5U);
  BOOST_TEST(opening.answers.front().answer.status == 200);
}

BOOST_AUTO_TEST_CASE(leaves_a_request_that_the_peer_has_given_up_to_be_cancelled) {
  sessions.OnRequest(session, 5);
  BOOST_TEST((Reconnect(kStart, {}).abandoned == std::vector<uint64_t>{5}));
}

BOOST_AUTO_TEST_CASE(is_refused_when_it_introduces_itself_late) {
  BOOST_REQUIRE(!Reconnect(kStart, {}).outdated);
  BOOST_TEST(sessions.OnHello(kStart, 3, {"b", kOrigin, 0, 15, {}}).outdated);
  BOOST_TEST(sessions.ConnectionOf(session) == 2U);
}

BOOST_AUTO_TEST_CASE(does_not_touch_the_connection_of_another_purpose_or_peer) {
  BOOST_TEST(sessions.OnHello(kStart, 3, {"b", kOrigin, 1, 30, {}}).replaced == 0U);
  BOOST_TEST(sessions.OnHello(kStart, 4, {"b", kOrigin + 1, 0, 30, {}}).replaced == 0U);
  BOOST_TEST(sessions.ConnectionOf(session) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(never_lets_a_request_be_called_not_run_that_may_have_run, opened_session)

BOOST_AUTO_TEST_CASE(when_its_answer_is_too_old_to_be_sent_again) {
  sessions.OnRequest(session, 5);
  sessions.OnAnswer(kStart, session, AnswerTo(5));
  const session_opening opening = Reconnect(kStart + std::chrono::seconds(10), {{5, 10}});
  BOOST_TEST(opening.answers.empty());
  BOOST_TEST((opening.resumed.unknown == std::vector<uint64_t>{5}));
}

BOOST_AUTO_TEST_CASE(when_its_answer_is_too_large_to_be_kept) {
  sessions.OnRequest(session, 5);
  sessions.OnAnswer(kStart, session, AnswerTo(5, 1 << 20));
  BOOST_TEST((Reconnect(kStart, {{5, 10}}).resumed.unknown == std::vector<uint64_t>{5}));
}

BOOST_AUTO_TEST_CASE(when_many_answers_are_kept_already) {
  constexpr uint64_t kRequests = 10;
  for (uint64_t id = 1; id <= kRequests; ++id) {
    sessions.OnRequest(session, id);
    sessions.OnAnswer(kStart, session, AnswerTo(id, 100 << 10));
  }
  const session_opening opening = Reconnect(kStart, {{1, 10}, {kRequests, 10}});
  BOOST_TEST(opening.answers.size() == 1U);
  BOOST_TEST((opening.resumed.unknown == std::vector<uint64_t>{kRequests}));
}

BOOST_AUTO_TEST_CASE(when_the_process_that_received_it_has_restarted) {
  peer_sessions restarted;
  const session_opening opening = restarted.OnHello(kStart, 1, {"b", kOrigin, 0, 20, {{5, 10}}});
  BOOST_TEST((opening.resumed.unknown == std::vector<uint64_t>{5}));
  // Also over the connection after that, whose session is known.
  const session_opening next = restarted.OnHello(kStart, 2, {"b", kOrigin, 0, 30, {{5, 10}}});
  BOOST_TEST((next.resumed.unknown == std::vector<uint64_t>{5}));
}

BOOST_AUTO_TEST_CASE(when_it_was_cancelled_because_the_peer_did_not_come_back) {
  sessions.OnRequest(session, 5);
  BOOST_TEST(!sessions.OnClosed(kStart, 1));
  BOOST_TEST(sessions.Tick(kStart + milliseconds(100)).empty());
  BOOST_TEST((sessions.Tick(kStart + milliseconds(500)) == std::vector<session_id>{session}));
  BOOST_TEST(sessions.Tick(kStart + milliseconds(600)).empty());
  BOOST_TEST((Reconnect(kStart + milliseconds(700), {{5, 10}}).resumed.unknown ==
              std::vector<uint64_t>{5}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(of_a_peer_that_does_not_introduce_itself_ends_with_its_requests) {
  peer_sessions sessions;
  sessions.OnRequest(9, 5);
  BOOST_TEST(sessions.SessionOf(9) == 9U);
  BOOST_TEST(sessions.ConnectionOf(9) == 9U);
  BOOST_TEST(sessions.OnClosed(kStart, 9));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
