// Parsing of what the platform sends to a process: heartbeats, configurations, load headers, rows
// and settings.

#include <boost/test/unit_test.hpp>
#include <string>

#include "base64.h"
#include "headers.h"
#include "heartbeats.h"
#include "operator_config.h"
#include "settings.h"

namespace bulrushway::platform {
namespace {

using std::chrono::milliseconds;

constexpr std::chrono::system_clock::time_point kWallNow{std::chrono::seconds(1'700'000'600)};

const std::string kHeartbeat =
    R"({"service":"s1","address":"10.0.0.9:8080","zone":"a","version":"v1","slots":12,)"
    R"("state":"ready","cold_left_s":1.5,"seq":4,"born":1700000000123,)"
    R"("holds":[[0,4095,7]],"freed":[[4096,8191,"5c0e"]]})";

const std::string kConfiguration =
    R"({"version":"0000001f","resources":[)"
    R"({"type":"routes","metadata":{"name":"r1"},"spec":{"host":"h.example","prefix":"/a/",)"
    R"("kind":"safe","timeout_s":1,"latency_target_s":0.4,"priority":2,"attempts":2,)"
    R"("split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],)"
    R"("allowed_regions":[]}},)"
    R"({"type":"routes","metadata":{"name":"r2"},"spec":{"host":"h.example","prefix":"/a/b/",)"
    R"("kind":"unsafe","timeout_s":1.2,"latency_target_s":0.5,"priority":1,"service":"s2",)"
    R"("attempts":2,"allowed_regions":["lima"]}},)"
    R"({"type":"services","metadata":{"name":"s1"},"spec":{"health_path":"/health",)"
    R"("max_conns":130,"warmup_s":3.0,"cold_per_s":22.0}},)"
    R"({"type":"services","metadata":{"name":"s2"},"spec":{"sharded":true,"max_conns":20}},)"
    R"({"type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":1000,)"
    R"("header_timeout_s":3,"idle_timeout_s":15}}]})";

std::string ReplacePart(const std::string& text, const std::string& part,
                        const std::string& replacement) {
  std::string changed = text;
  const size_t position = changed.find(part);
  BOOST_REQUIRE(position != std::string::npos);
  return changed.replace(position, part.size(), replacement);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(messages_of_the_platform)

BOOST_AUTO_TEST_SUITE(a_heartbeat)

BOOST_AUTO_TEST_CASE(contains_the_incarnation_the_load_and_the_keys_of_a_target) {
  const auto heartbeat = ParseHeartbeat("i-1", kHeartbeat, kWallNow);
  BOOST_REQUIRE(heartbeat.has_value());
  BOOST_TEST(heartbeat->incarnation.id == "i-1");
  BOOST_TEST(heartbeat->incarnation.started_ms == 1700000000123);
  BOOST_TEST(heartbeat->slots == 12U);
  BOOST_TEST((heartbeat->cold_left == milliseconds(1500)));
  BOOST_REQUIRE(heartbeat->held.size() == 1U);
  BOOST_TEST(heartbeat->held[0].fence == 7U);
  BOOST_REQUIRE(heartbeat->released.size() == 1U);
  BOOST_TEST(heartbeat->released[0].handover == "5c0e");
}

BOOST_AUTO_TEST_CASE(names_no_target_when_a_field_is_missing_or_of_another_type) {
  for (const auto& [part, replacement] : std::initializer_list<std::pair<std::string, std::string>>{
           {R"("slots":12)", R"("slots":"12")"},
           {R"("slots":12,)", ""},
           {R"("born":1700000000123)", R"("born":1.5)"},
           {R"("state":"ready")", R"("state":"sleeping")"},
           {R"("address":"10.0.0.9:8080")", R"("address":"nowhere")"},
           {R"("seq":4)", R"("seq":-4)"},
           {R"([[0,4095,7]])", R"([[4095,0,7]])"},
           {R"([[0,4095,7]])", R"([[0,70000,7]])"},
           {R"("slots":12)", R"("slots":12]")"}}) {
    BOOST_TEST(
        !ParseHeartbeat("i-1", ReplacePart(kHeartbeat, part, replacement), kWallNow).has_value(),
        replacement);
  }
}

BOOST_AUTO_TEST_CASE(is_answered_with_all_that_the_target_is_to_hold) {
  target_grant grant{{{{0, 10}, 5, ""}, {{20, 30}, 6, "ab"}}, milliseconds(4500)};
  BOOST_TEST(HeartbeatAnswer(grant).body ==
             R"({"hold_s":4.5,"holds":[[0,10,5,""],[20,30,6,"ab"]]})");
  BOOST_TEST(HeartbeatAnswer(std::nullopt).body == "{}");
}

BOOST_AUTO_TEST_CASE(comes_on_the_path_of_its_target) {
  BOOST_TEST(TargetIdOf("/bulrushway/instances/i-1").value_or("") == "i-1");
  BOOST_TEST(!TargetIdOf("/bulrushway/instances/").has_value());
  BOOST_TEST(!TargetIdOf("/bulrushway/instances/a/b").has_value());
  BOOST_TEST(!TargetIdOf("/elsewhere").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_configuration)

BOOST_AUTO_TEST_CASE(gives_each_request_its_route_by_the_longest_prefix) {
  const auto table = ParseConfiguration(kConfiguration);
  BOOST_REQUIRE(table.has_value());
  BOOST_TEST((*table)->version() == 31U);
  BOOST_TEST((*table)->Find("h.example", "/a/x?q=/a/b/")->name == "r1");
  BOOST_TEST((*table)->Find("h.example", "/a/b/x")->name == "r2");
  BOOST_TEST((*table)->Find("h.example", "/a") == nullptr);
  BOOST_TEST((*table)->Find("other.example", "/a/x") == nullptr);
}

BOOST_AUTO_TEST_CASE(says_what_may_be_done_with_a_request) {
  const auto table = ParseConfiguration(kConfiguration);
  const route& safe = *(*table)->Find("h.example", "/a/x");
  BOOST_TEST(safe.idempotent);
  BOOST_TEST((safe.timeout == milliseconds(1000)));
  const route& unsafe = *(*table)->Find("h.example", "/a/b/x");
  BOOST_TEST(!unsafe.idempotent);
  BOOST_TEST(unsafe.home_regions.size() == 1U);
  BOOST_TEST((*table)->FindService("s2")->keyed);
  BOOST_TEST((*table)->FindService("s1")->max_connections == 130U);
  BOOST_TEST((*table)->limits().body_bytes == 1000U);
}

BOOST_AUTO_TEST_CASE(divides_requests_by_weight) {
  const auto table = ParseConfiguration(kConfiguration);
  const route& split = *(*table)->Find("h.example", "/a/x");
  int sent_to_s1 = 0;
  constexpr int kRequests = 10'000;
  for (int i = 0; i < kRequests; ++i) {
    if (ChooseService(split, "id-" + std::to_string(i)) == "s1") ++sent_to_s1;
  }
  BOOST_TEST(sent_to_s1 > 8800);
  BOOST_TEST(sent_to_s1 < 9200);
}

BOOST_AUTO_TEST_CASE(that_cannot_be_read_says_why) {
  for (const auto& [part, replacement] :
       std::initializer_list<std::pair<std::string, std::string>>{{R"("0000001f")", R"("new")"},
                                                                  {R"("timeout_s":1,)", ""},
                                                                  {R"("service":"s2",)", ""},
                                                                  {R"({"version")", R"({)"}}) {
    const auto table = ParseConfiguration(ReplacePart(kConfiguration, part, replacement));
    BOOST_REQUIRE(!table.has_value());
    BOOST_TEST(!table.error().message.empty());
  }
}

BOOST_AUTO_TEST_CASE(is_one_of_several_kinds_of_row) {
  const stored_row taken_out{{kOperatorTable, "evacuate/lima-a"}, "{}", 5, false};
  const auto statement = ReadOperatorRow(taken_out);
  BOOST_TEST(std::get<evacuation>(*statement).data_centre == "lima-a");
  BOOST_TEST(std::get<evacuation>(*statement).out);
  stored_row brought_back = taken_out;
  brought_back.deleted = true;
  BOOST_TEST(!std::get<evacuation>(*ReadOperatorRow(brought_back)).out);
  const stored_row other{{kOperatorTable, "news"}, "x", 6, false};
  BOOST_TEST(std::holds_alternative<unrelated_row>(*ReadOperatorRow(other)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(the_load_header_has_three_figures_or_four) {
  BOOST_TEST(ParseLoad("3,1,12")->waiting == 1U);
  BOOST_TEST(ParseLoad("3,1,12")->pace_percent == 100U);
  BOOST_TEST(ParseLoad("3, 1, 12, 250")->pace_percent == 250U);
  BOOST_TEST(!ParseLoad("3,1").has_value());
  BOOST_TEST(!ParseLoad("a,b,c").has_value());
}

BOOST_AUTO_TEST_CASE(values_of_rows_survive_base64) {
  for (const std::string& text : {std::string(), std::string("a"), std::string("ab"),
                                  std::string("abc"), std::string("\0\xff\x80z", 4)}) {
    BOOST_TEST(DecodeBase64(EncodeBase64(text)).value() == text);
  }
  BOOST_TEST(EncodeBase64("node-1") == "bm9kZS0x");
  BOOST_TEST(!DecodeBase64("a").has_value());
  BOOST_TEST(!DecodeBase64("a*==").has_value());
}

BOOST_AUTO_TEST_SUITE(settings)

BOOST_AUTO_TEST_CASE(name_every_mistake_with_its_line) {
  const std::string text =
      "[node]\nname = n1\nip = 10.0.0.1\ndata_centre = a\nregion = r\nservice = s\n"
      "target = nowhere\nheartbeat = 0.87 s\n[listen]\ncallers = 10.0.0.1:1\n"
      "ready = 10.0.0.1:2\nheartbeats = 10.0.0.1:3\nfirst_and_last_port = 7,5\n"
      "[store]\naddress = 10.0.0.9:1\n[bounds]\ndrain_s = 2.5\ngrace_s = 6\nodd = true\n";
  const auto parsed = ParseProcessSettings("node.ini", text);
  BOOST_REQUIRE(!parsed.has_value());
  BOOST_TEST(parsed.error().size() == 2U);
  BOOST_TEST(ToString(parsed.error()[0]).find("node.ini:7") != std::string::npos);

  BOOST_TEST_CONTEXT("and are accepted when there is none") {
    std::string valid_text = ReplacePart(text, "nowhere", "10.0.0.1:9");
    valid_text = ReplacePart(valid_text, "7,5", "5,7");
    const auto valid = ParseProcessSettings("node.ini", valid_text);
    BOOST_REQUIRE(valid.has_value());
    BOOST_TEST((valid->node.drain_limit == milliseconds(2500)));
    BOOST_TEST(valid->node.peers.port == 5);
    BOOST_TEST(valid->node.metrics.port == 7);
    BOOST_TEST(valid->node.link_bytes_per_second == 0);

    BOOST_TEST_CONTEXT("with the speed of the link, where it is known") {
      const auto with_link_speed =
          ParseProcessSettings("node.ini", valid_text + "[machine]\nlink_mbit_per_second = 13.0\n");
      BOOST_REQUIRE(with_link_speed.has_value());
      BOOST_TEST(with_link_speed->node.link_bytes_per_second == 1'625'000);
    }
    BOOST_TEST_CONTEXT("and are rejected when the speed is invalid") {
      for (const char* invalid_speed : {"fast", "13 Mbit/s", "-1", "0"}) {
        const auto rejected = ParseProcessSettings(
            "node.ini", valid_text + "[machine]\nlink_mbit_per_second = " + invalid_speed + "\n");
        BOOST_REQUIRE(!rejected.has_value());
        BOOST_TEST(ToString(rejected.error()[0]).find(invalid_speed) != std::string::npos);
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway::platform
