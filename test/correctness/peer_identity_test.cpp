// A node that has left must not look alive because another one uses its address.

#include <fcntl.h>

#include <boost/test/unit_test.hpp>

#include "peer_mesh.h"

namespace bulrushway {
namespace {

using std::chrono::milliseconds;

// The mesh of one node.
struct meshed_node {
  meshed_node(event_loop& loop, const std::string& node)
      : name(node),
        log(loop, name, open("/dev/null", O_WRONLY | O_CLOEXEC)),
        fleet(name, "dc", "r"),
        mesh(loop, log, counters, fleet, Events()) {}

  peer_mesh_events Events() {
    peer_mesh_events events;
    events.request = [](instant, session_id, const dispatch_request&) {};
    events.session_ended = [](instant, session_id) {};
    events.report = [](instant, const node_report&) {};
    events.own_report = [this](instant) {
      node_report report;
      report.node = name;
      return report;
    };
    return events;
  }

  std::string name;
  decision_log log;
  metrics counters;
  fleet_view fleet;
  peer_mesh mesh;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(a_peer)

BOOST_AUTO_TEST_CASE(is_reachable_only_if_the_node_at_its_address_is_it) {
  event_loop loop;
  const socket_address address{"127.0.7.90", 7480};
  meshed_node near(loop, "a");
  meshed_node present(loop, "present");
  BOOST_REQUIRE(present.mesh.Listen(address));
  near.fleet.OnMember({"present", address, "dc", "r", "s", 1, {}});
  near.fleet.OnMember({"gone", address, "dc", "r", "s", 1, {}});
  const instant start = boot_clock::now();
  near.mesh.FollowMembers(start);
  timer tick(loop, [&near](instant now) { near.mesh.Tick(now); });
  tick.Every(milliseconds(20));
  timer stop(loop, [&loop](instant) { loop.Stop(); });
  stop.Once(milliseconds(600));
  loop.Run();
  BOOST_TEST(near.fleet.Find("present")->reachable);
  BOOST_TEST(!near.fleet.Find("gone")->reachable);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
