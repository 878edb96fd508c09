// Requests that are bound to home regions, when the owner of their key cannot be reached. They used
// to be sent, with their bodies, through machines in other regions.

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <sstream>

#include "platform_deployment.h"

namespace bulrushway::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::string KeyedRoute(const std::string& name, const std::string& extra) {
  return R"({"type":"routes","metadata":{"name":")" + name +
         R"("},"spec":{"host":"h","prefix":"/)" + name +
         R"(/","kind":"unsafe","timeout_s":2,"latency_target_s":0.5,"priority":1,)" +
         R"("service":"keyed","attempts":2)" + extra + "}},";
}

const std::string kConfiguration =
    R"({"version":"00000001","resources":[)" +
    KeyedRoute("bound", R"(,"allowed_regions":["home"])") + KeyedRoute("free", "") +
    R"({"type":"services","metadata":{"name":"keyed"},"spec":{"max_conns":64,"sharded":true}},)"
    R"({"type":"services","metadata":{"name":"plain"},"spec":{"max_conns":64}},)"
    R"({"type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":100000,)"
    R"("header_timeout_s":3,"idle_timeout_s":15}}]})";

// Two owners of keys in their home region, and one machine in another region.
struct regional_deployment {
  regional_deployment() {
    fleet.store().Put("op", "config", kConfiguration);
    BOOST_REQUIRE(fleet.WaitUntilSettled());
    for (uint32_t candidate = 0; candidate < 65536 && key < 0; candidate += 256) {
      if (fleet.machines()[1].target->Holds(candidate)) key = static_cast<int>(candidate);
    }
    BOOST_REQUIRE(key >= 0);
  }

  // The process of the owner of `key` is killed. Its keys have no other owner until its lease ends.
  void LoseOwner() {
    fleet.machines()[1].process->Signal(SIGKILL);
    // Other processes notice within this time that it is gone.
    fleet.Wait(milliseconds(1200));
  }
  http_answer Answer(const std::string& path, const std::string& id) {
    const instant sent = boot_clock::now();
    const auto result = fleet.Send(0, path, id, key);
    BOOST_REQUIRE(fleet.Until([&] { return result->has_value(); }, seconds(4)));
    BOOST_REQUIRE((*result)->has_value());
    elapsed = std::chrono::duration_cast<milliseconds>(boot_clock::now() - sent);
    return ***result;
  }
  bool LogOfOtherRegionContains(const std::string& text) {
    std::stringstream content;
    content << std::ifstream(fleet.machines()[2].settings_file + ".log").rdbuf();
    return content.str().find(text) != std::string::npos;
  }

  platform_deployment fleet{
      false, {{"keyed", "home-a", "home"}, {"keyed", "home-b", "home"}, {"plain", "far-a", "far"}}};
  int key = -1;
  milliseconds elapsed{0};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(a_request_whose_owner_is_lost)

BOOST_AUTO_TEST_CASE(is_refused_at_once_when_only_machines_outside_its_home_regions_are_left) {
  regional_deployment test;
  BOOST_TEST(test.Answer("/bound/1", "before").status == 200);
  test.LoseOwner();
  const http_answer refused = test.Answer("/bound/2", "bound");
  BOOST_TEST(refused.status == 503);
  BOOST_TEST(!FindHeader(refused.headers, "Retry-After").empty());
  BOOST_TEST(test.elapsed.count() < 200);
  // The log is written in intervals.
  test.fleet.Wait(milliseconds(400));
  BOOST_TEST(!test.LogOfOtherRegionContains("relay_refused"));
}

BOOST_AUTO_TEST_CASE(is_sent_through_another_region_when_it_has_no_home_regions) {
  regional_deployment test;
  test.LoseOwner();
  BOOST_TEST(test.Answer("/free/1", "free").status == 503);
  test.fleet.Wait(milliseconds(400));
  BOOST_TEST(test.LogOfOtherRegionContains("relay_refused"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway::testing
