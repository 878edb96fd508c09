// Answers that do not fit in the memory for messages. They wait or fail by themselves; others go
// on.

#include "memory_budget.h"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>

#include "free_address.h"
#include "http_client.h"
#include "meshed_node.h"
#include "scripted_peer.h"

namespace bulrushway {
namespace {

using std::chrono::milliseconds;
using testing::scripted_server;
using outcome = tl::expected<http_answer, http_failure>;

constexpr size_t kBudget = 1 << 20;
constexpr size_t kLarge = 600 << 10;

std::string Head(size_t length) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}

// A client with a budget, of which other messages may take a part.
struct limited_client {
  limited_client() {
    budget.SetLimit(kBudget);
    budget.AddHolder([this] { return client.ExpectedBytes() + held_elsewhere; });
  }
  std::shared_ptr<std::optional<outcome>> Send(const scripted_server& server) {
    auto result = std::make_shared<std::optional<outcome>>();
    client.Send(server.address(), {}, milliseconds(2000),
                [result](outcome answer) { *result = std::move(answer); });
    return result;
  }
  void RunFor(milliseconds time) {
    timer stop(loop, [this](instant) { loop.Stop(); });
    stop.Once(time);
    loop.Run();
  }

  event_loop loop;
  memory_budget budget;
  size_t held_elsewhere = 0;
  http_client client{loop, http_client_settings{.budget = &budget, .require_length = true}};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(a_large_answer_of_a_target)

BOOST_AUTO_TEST_CASE(waits_until_there_is_memory_for_it_while_small_ones_are_received) {
  limited_client fixture;
  scripted_server target(fixture.loop, {{Head(kLarge) + std::string(kLarge, 'a')}});
  scripted_server other(fixture.loop, {{Head(3) + "yes"}});
  fixture.held_elsewhere = kBudget;
  const auto large = fixture.Send(target);
  fixture.RunFor(milliseconds(200));
  BOOST_TEST(!large->has_value());
  const auto small = fixture.Send(other);
  fixture.RunFor(milliseconds(200));
  BOOST_REQUIRE(small->has_value() && (*small)->has_value());
  BOOST_TEST((**small)->body == "yes");

  fixture.held_elsewhere = 0;
  fixture.RunFor(milliseconds(300));
  BOOST_REQUIRE(large->has_value() && (*large)->has_value());
  BOOST_TEST((**large)->body.size() == kLarge);
  BOOST_TEST(fixture.client.ExpectedBytes() == 0U);
}

BOOST_AUTO_TEST_CASE(counts_with_all_that_it_announces) {
  limited_client fixture;
  scripted_server first(fixture.loop, {{Head(kLarge) + std::string(100 << 10, 'a')}});
  scripted_server second(fixture.loop, {{Head(kLarge) + std::string(kLarge, 'a')}});
  const auto unfinished = fixture.Send(first);
  fixture.RunFor(milliseconds(100));
  const auto waiting = fixture.Send(second);
  fixture.RunFor(milliseconds(200));
  BOOST_TEST(fixture.client.ExpectedBytes() <= kBudget);
  BOOST_TEST(!waiting->has_value());
  // The first one ends at its time limit.
  fixture.RunFor(milliseconds(2000));
  BOOST_REQUIRE(unfinished->has_value());
  BOOST_TEST(!(*unfinished)->has_value());
  BOOST_REQUIRE(waiting->has_value());
}

BOOST_AUTO_TEST_CASE(fails_at_once_when_it_is_larger_than_all_memory_for_messages) {
  limited_client fixture;
  scripted_server target(fixture.loop, {{Head(kBudget + 1) + "a"}});
  const auto result = fixture.Send(target);
  fixture.RunFor(milliseconds(200));
  BOOST_REQUIRE(result->has_value() && !(*result)->has_value());
  BOOST_TEST((**result).error().too_large);
  BOOST_TEST((**result).error().may_have_run);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_large_answer_of_a_peer)

BOOST_AUTO_TEST_CASE(that_does_not_fit_ends_its_request_and_no_other) {
  event_loop loop;
  memory_budget budget;
  testing::meshed_node owner(loop, "owner");
  testing::meshed_node entry(loop, "entry", &budget);
  const socket_address address = testing::FreeAddress();
  BOOST_REQUIRE(owner.mesh.Listen(address).has_value());
  entry.fleet.OnMember({"entry", {"127.0.0.1", 1}, "dc", "r", "s", 1});
  entry.fleet.OnMember({"owner", address, "dc", "r", "s", 1});
  entry.mesh.FollowMembers(boot_clock::now());
  const auto run_for = [&loop](milliseconds time) {
    timer stop(loop, [&loop](instant) { loop.Stop(); });
    stop.Once(time);
    loop.Run();
  };
  run_for(milliseconds(300));
  std::vector<dispatch_answer> answers;
  const auto send = [&] {
    return entry.mesh.Send(
        boot_clock::now(), "owner", {}, true,
        [&answers](instant, dispatch_answer answer) { answers.push_back(std::move(answer)); });
  };
  const auto large = send();
  const auto small = send();
  BOOST_REQUIRE(large != 0);
  run_for(milliseconds(100));
  BOOST_REQUIRE_EQUAL(owner.requests.size(), 2U);

  budget.SetLimit(kBudget);
  budget.AddHolder([] { return kBudget - kLarge / 2; });
  owner.Answer(0, kLarge);
  owner.Answer(1);
  run_for(milliseconds(200));
  BOOST_REQUIRE_EQUAL(answers.size(), 2U);
  BOOST_TEST(answers[0].id == large);
  BOOST_TEST((answers[0].reason == refusal_reason::kAnswerTooLarge));
  BOOST_TEST((answers[0].state == run_state::kUnknown));
  BOOST_TEST(answers[1].id == small);
  BOOST_TEST((answers[1].reason == refusal_reason::kNone));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
