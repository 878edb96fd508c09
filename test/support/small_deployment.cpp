#include "small_deployment.h"

#include <stdexcept>

namespace bulrushway::testing {

std::string SmallInventory() {
  return R"([region lima]
data_centres = lima-a, lima-b

[region cusco]
data_centres = cusco-a, cusco-b

[service cronometraje]
kind = keyed
slices = 64

[service corredores]
kind = lookup
)";
}

std::string SmallRules(const std::string& more) {
  return "[data_centres]\nout =\n\n[home_regions bound]\ntenant = bound\nregions = cusco\n" + more;
}

void StartSmallDeployment(test_fleet& fleet) {
  fleet.StartNode({"k1", "cronometraje", "lima", "lima-a", "r1"});
  fleet.StartNode({"k2", "cronometraje", "lima", "lima-b", "r2"});
  fleet.StartNode({"k3", "cronometraje", "cusco", "cusco-a", "r3"});
  fleet.StartNode({"k4", "cronometraje", "cusco", "cusco-b", "r4"});
  fleet.StartNode({"k5", "cronometraje", "lima", "lima-b", "r5"});
  fleet.StartNode({"k6", "cronometraje", "cusco", "cusco-b", "r6"});
  fleet.StartNode({"l1", "corredores", "lima", "lima-a", "r7"});
  fleet.StartNode({"l2", "corredores", "lima", "lima-b", "r8"});
  fleet.StartNode({"l3", "corredores", "cusco", "cusco-a", "r9"});
  fleet.Apply(SmallInventory(), SmallRules());
  const auto settled = [&fleet] {
    if (!fleet.AllOwned("cronometraje", kSmallSlices)) return false;
    for (const std::string& node : fleet.Nodes()) {
      // Every keyed node owns slices, so that initial rebalancing doesn't overlap with the test.
      const std::string status = fleet.Get(node, "/-/status").body;
      if (status.find("\"state\":\"serving\"") == std::string::npos) return false;
      const bool keyed = node.starts_with("k");
      if (keyed && status.find("\"slices\":0,\"state\"") != std::string::npos) return false;
    }
    return true;
  };
  if (!fleet.Until(settled, std::chrono::seconds{40})) {
    throw std::runtime_error("the deployment did not reach a steady state");
  }
}

}  // namespace bulrushway::testing
