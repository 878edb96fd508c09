// The template deploy/node.ini, filled in as the platform does it, yields settings that the process
// accepts, including everything that they say about the machine.

#include "settings_template.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <iterator>

#include "settings.h"

namespace bulrushway::platform {
namespace {

using nlohmann::ordered_json;
using standin::FillTemplate;
using std::chrono::milliseconds;

ordered_json Fields() {
  return ordered_json::parse(R"({
    "node": "sidecar-lima-a-1", "ip": "10.1.0.38", "zone": "lima-a", "region": "lima",
    "listen": {"inbound": "10.1.0.38:8146", "outbound": "10.1.0.38:8147",
               "ready": "10.1.0.38:8141", "control": "10.1.0.38:8144"},
    "internal_ports": [7380, 7395],
    "limits": {"cpu_share": 0.1, "cpus": 1, "memory_mb": 160, "max_fds": 4100, "link_mbps": 13.0,
               "disk_mb": 0},
    "data_dir": null, "bootstrap": true, "heartbeat_s": 0.87, "app_addr": "10.1.0.38:8145", "service": "huvo11a",
    "bounds": {"drain_s": 3, "grace_s": 6, "retry_budget": 0.2, "cold_slack": 8, "hold_max_s": 10},
    "platform": {"address": "10.200.1.7:8142", "form": "table", "across": false}})");
}

std::string DeployedTemplate() {
  std::ifstream file(std::string(BULRUSHWAY_SOURCE) + "/deploy/node.ini");
  return {std::istreambuf_iterator<char>(file), {}};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(the_settings_template)

BOOST_AUTO_TEST_SUITE(is_filled_in)

BOOST_AUTO_TEST_CASE(with_values_lists_and_tables) {
  const ordered_json fields = Fields();
  BOOST_TEST(FillTemplate("{{listen.ready}} {{internal_ports.1}}", fields) ==
             "10.1.0.38:8141 7395");
  BOOST_TEST(FillTemplate("{{internal_ports}}", fields) == "7380,7395");
  BOOST_TEST(FillTemplate("[{{data_dir}}{{none}}{{none.at_all}}]", fields) == "[]");
  BOOST_TEST(FillTemplate("{{node|json}}", fields) == "\"sidecar-lima-a-1\"");
}

BOOST_AUTO_TEST_CASE(with_a_section_for_each_entry) {
  const ordered_json fields = Fields();
  BOOST_TEST(FillTemplate("{{#internal_ports}}{{@}}:{{.}}{{,}}{{/internal_ports}}", fields) ==
             "0:7380,1:7395");
  BOOST_TEST(FillTemplate("{{#bounds}}{{@}}={{.}};{{/bounds}}", {{"bounds", {{"a", 1}}}}) ==
             "a=1;");
  BOOST_TEST(FillTemplate("{{^data_dir}}no disk{{/data_dir}}{{#data_dir}}x{{/data_dir}}", fields) ==
             "no disk");
  // A section over a table repeats for each entry, and the fields of the table have no value in it.
  BOOST_TEST(FillTemplate("{{#limits}}{{#link_mbps}}x{{/link_mbps}}{{/limits}}", fields) == "");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_the_deploy_file)

BOOST_AUTO_TEST_CASE(tells_a_process_about_its_machine) {
  const auto parsed = ParseProcessSettings("node.ini", FillTemplate(DeployedTemplate(), Fields()));
  BOOST_REQUIRE(parsed.has_value());
  BOOST_TEST(parsed->node.first_start);
  BOOST_TEST(parsed->node.name == "sidecar-lima-a-1");
  BOOST_TEST(parsed->node.peers.port == 7380);
  BOOST_TEST((parsed->node.drain_limit == milliseconds(3000)));
  BOOST_TEST(parsed->node.cold_slack == 8);
  BOOST_TEST(parsed->node.link_bytes_per_second == 1'625'000);
}

// Guards against a deployment that gets an adaptive limit, or loses it, without a word.
BOOST_AUTO_TEST_CASE(learns_the_concurrency_of_the_target_only_where_it_says_so) {
  const std::string text = FillTemplate(DeployedTemplate(), Fields());
  const auto plain = ParseProcessSettings("node.ini", text);
  BOOST_REQUIRE(plain.has_value());
  BOOST_TEST(!plain->node.adaptive_concurrency);
  const auto with = [&text](const std::string& value) {
    return ParseProcessSettings("node.ini", text + "\n[target]\nconcurrency = " + value + "\n");
  };
  BOOST_REQUIRE(with("adaptive").has_value());
  BOOST_TEST(with("adaptive")->node.adaptive_concurrency);
  BOOST_REQUIRE(with("fixed").has_value());
  BOOST_TEST(!with("fixed")->node.adaptive_concurrency);
  BOOST_TEST(!with("many").has_value());
}

BOOST_AUTO_TEST_CASE(sets_no_link_limit_when_the_platform_gives_no_link_speed) {
  ordered_json fields = Fields();
  fields["limits"].erase("link_mbps");
  const auto parsed = ParseProcessSettings("node.ini", FillTemplate(DeployedTemplate(), fields));
  BOOST_REQUIRE(parsed.has_value());
  BOOST_TEST(parsed->node.link_bytes_per_second == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway::platform
