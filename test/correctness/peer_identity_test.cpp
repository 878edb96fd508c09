// A node that has left must not look alive because another one uses its address.

#include <boost/test/unit_test.hpp>

#include "meshed_node.h"

namespace bulrushway {
namespace {

using std::chrono::milliseconds;

}  // namespace

BOOST_AUTO_TEST_SUITE(a_peer)

BOOST_AUTO_TEST_CASE(is_reachable_only_if_the_node_at_its_address_is_it) {
  event_loop loop;
  const socket_address address{"127.0.7.90", 7480};
  testing::meshed_node near(loop, "a");
  testing::meshed_node present(loop, "present");
  BOOST_REQUIRE(present.mesh.Listen(address));
  near.fleet.OnMember({"present", address, "dc", "r", "s", 1, {}});
  near.fleet.OnMember({"gone", address, "dc", "r", "s", 1, {}});
  const instant start = boot_clock::now();
  near.mesh.FollowMembers(start);
  timer stop(loop, [&loop](instant) { loop.Stop(); });
  stop.Once(milliseconds(600));
  loop.Run();
  BOOST_TEST(near.fleet.Find("present")->reachable);
  BOOST_TEST(!near.fleet.Find("gone")->reachable);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
