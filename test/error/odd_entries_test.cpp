// Entries of another writer among those of the targets: fields out of range, of another type, or
// nested beyond reason. They name no target, change nothing, and do not hide the valid ones.

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "heartbeats.h"
#include "own_target.h"

namespace bulrushway {
namespace {

using platform::ParseHeartbeat;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::system_clock;

constexpr int64_t kBornMs = 1'700'000'000'123;
constexpr system_clock::time_point kWallNow{milliseconds(kBornMs) + hours(2)};

// A heartbeat in which one field has another value, given as JSON.
std::string HeartbeatWith(const std::string& field, const std::string& value) {
  const std::vector<std::pair<std::string, std::string>> valid = {
      {"service", R"("s1")"},
      {"address", R"("10.0.0.9:8080")"},
      {"slots", "12"},
      {"state", R"("ready")"},
      {"cold_left_s", "1.5"},
      {"seq", "4"},
      {"born", std::to_string(kBornMs)},
      {"holds", "[[0,4095,7]]"},
      {"freed", R"([[4096,8191,"5c0e"]])"},
      {"zone", R"("a")"}};
  std::string text;
  for (const auto& [name, usual] : valid) {
    text += (text.empty() ? "{\"" : ",\"") + name + "\":" + (name == field ? value : usual);
  }
  return text + "}";
}

std::string Repeat(const std::string& part, size_t count) {
  std::string text;
  for (size_t i = 0; i < count; ++i) text += part;
  return text;
}

bool Readable(const std::string& field, const std::string& value) {
  return ParseHeartbeat("i-1", HeartbeatWith(field, value), kWallNow).has_value();
}

std::string Milliseconds(system_clock::time_point time) {
  return std::to_string(std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count());
}

constexpr instant kStart = instant{} + hours(1);
constexpr milliseconds kInterval{1000};
const socket_address kAddress{"10.0.0.9", 8080};

target_heartbeat Beat(const std::string& id, int64_t started_ms, uint64_t sequence) {
  target_heartbeat heartbeat;
  heartbeat.incarnation = {id, started_ms};
  heartbeat.service = "s1";
  heartbeat.address = kAddress;
  heartbeat.slots = 12;
  heartbeat.sequence = sequence;
  return heartbeat;
}

own_target MakeTarget() { return own_target({"s1", kAddress, kInterval, milliseconds(2500)}); }

}  // namespace

BOOST_AUTO_TEST_SUITE(odd_entries)

BOOST_AUTO_TEST_SUITE(a_heartbeat)

BOOST_AUTO_TEST_CASE(is_readable_as_long_as_its_fields_are_in_range) {
  BOOST_TEST(Readable("", ""));
  BOOST_TEST(Readable("born", Milliseconds(kWallNow)));
  // The wall clocks of sender and receiver may differ.
  BOOST_TEST(Readable("born", Milliseconds(kWallNow + hours(1))));
  BOOST_TEST(Readable("holds", "[]"));
  BOOST_TEST(Readable("cold_left_s", "0"));
  BOOST_TEST(Readable("seq", "9007199254740991"));
}

BOOST_AUTO_TEST_CASE(names_no_target_when_its_start_is_out_of_range) {
  for (const std::string& born :
       {std::string("9223372036854775808"), std::string("18446744073709551615"),
        std::string("1e300"), Milliseconds(kWallNow + hours(48))}) {
    BOOST_TEST(!Readable("born", born), "born " << born);
  }
}

BOOST_AUTO_TEST_CASE(names_no_target_when_its_sequence_is_out_of_range) {
  BOOST_TEST(!Readable("seq", "18446744073709551615"));
  BOOST_TEST(!Readable("seq", "9007199254740992"));
}

BOOST_AUTO_TEST_CASE(names_no_target_when_its_cold_time_is_out_of_range) {
  for (const char* cold : {"1e300", "1e9", "-1", "-1e300", "9223372036854775807", "1e400"}) {
    BOOST_TEST(!Readable("cold_left_s", cold), "cold_left_s " << cold);
  }
}

BOOST_AUTO_TEST_CASE(names_no_target_when_it_has_no_slots) {
  BOOST_TEST(!Readable("slots", "0"));
  BOOST_TEST(!Readable("slots", "100001"));
  BOOST_TEST(!Readable("slots", "4294967308"));
}

BOOST_AUTO_TEST_CASE(names_no_target_when_its_rows_of_keys_are_out_of_range) {
  BOOST_TEST(!Readable("holds", "[[0,4095,18446744073709551615]]"));
  BOOST_TEST(!Readable("holds", "[[0,4294967295,7]]"));
  BOOST_TEST(!Readable("holds", "7"));
  BOOST_TEST(!Readable("holds", R"({"a":[0,4095,7]})"));
  BOOST_TEST(!Readable("freed", "\"" + std::string(10, 'x') + "\""));
  BOOST_TEST(!Readable("freed", R"([[0,1,")" + std::string(1 << 20, 'x') + R"("]])"));
}

BOOST_AUTO_TEST_CASE(names_no_target_when_it_lists_more_rows_than_there_are_keys) {
  constexpr size_t kRows = 100'000;
  BOOST_TEST(!Readable("holds", "[" + Repeat("[0,0,7],", kRows) + "[0,0,7]]"));
  BOOST_TEST(!Readable("freed", "[" + Repeat(R"([0,0,"a"],)", kRows) + R"([0,0,"a"]])"));
}

BOOST_AUTO_TEST_CASE(names_no_target_when_its_id_is_too_long) {
  BOOST_TEST(ParseHeartbeat(std::string(200, 'i'), HeartbeatWith("", ""), kWallNow).has_value());
  BOOST_TEST(!ParseHeartbeat(std::string(201, 'i'), HeartbeatWith("", ""), kWallNow).has_value());
}

BOOST_AUTO_TEST_CASE(names_no_target_when_its_port_is_out_of_range) {
  for (const char* address :
       {"10.0.0.9:65536", "10.0.0.9:-1", "10.0.0.9:0", "10.0.0.9:8080x", "10.0.0.9: 80",
        "10.0.0.9:4294968376", "10.0.0.9:18446744073709559696", "10.0.0.9:", "10.0.0.9",
        "10.0.0.256:80", ":80", ""}) {
    BOOST_TEST(!Readable("address", std::string("\"") + address + "\""), address);
  }
  BOOST_TEST(!Readable("address", R"("10.0.0.9\u0000:8080")"));
}

BOOST_AUTO_TEST_CASE(names_no_target_when_it_is_nested_too_deeply) {
  constexpr size_t kLevels = 1 << 20;
  BOOST_TEST(!Readable("zone", Repeat("[", kLevels) + Repeat("]", kLevels)));
  BOOST_TEST(!Readable("zone", Repeat(R"({"a":)", kLevels) + "0" + Repeat("}", kLevels)));
  BOOST_TEST(!Readable("zone", Repeat("[", kLevels)));
  BOOST_TEST(!ParseHeartbeat("i-1", Repeat("[", kLevels), kWallNow).has_value());
  // Brackets in a text do not nest.
  BOOST_TEST(Readable("zone", "\"\\\"" + Repeat("[", kLevels) + "\""));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_heartbeat_that_was_taken_for_true)

BOOST_AUTO_TEST_CASE(does_not_hide_the_target_for_good_by_its_start) {
  own_target target = MakeTarget();
  target.OnHeartbeat(kStart, Beat("odd", kBornMs + 1'000'000, 1));
  instant now = kStart;
  for (int i = 0; target.incarnation().id != "true" && i < 60; ++i) {
    now += kInterval;
    target.OnHeartbeat(now, Beat("true", kBornMs, 10 + i));
  }
  BOOST_TEST(target.incarnation().id == "true");
  BOOST_TEST_CONTEXT("but not while the hidden one may hold keys") {
    BOOST_TEST((now - kStart > own_target_settings{}.longest_grant));
    BOOST_TEST((now - kStart < own_target_settings{}.longest_grant + 4 * kInterval));
  }
}

BOOST_AUTO_TEST_CASE(does_not_hide_the_target_for_good_by_its_sequence) {
  own_target target = MakeTarget();
  target.OnHeartbeat(kStart, Beat("true", kBornMs, 9));
  target.OnHeartbeat(kStart, Beat("true", kBornMs, 9'007'199'254'740'991));
  bool accepted = false;
  for (int i = 0; i < 6; ++i) {
    const instant now = kStart + kInterval * (i + 1);
    accepted =
        target.OnHeartbeat(now, Beat("true", kBornMs, 10 + i)) == heartbeat_verdict::kAccepted;
  }
  BOOST_TEST(accepted);
}

BOOST_AUTO_TEST_CASE(is_still_told_from_late_heartbeats_of_an_earlier_incarnation) {
  own_target target = MakeTarget();
  target.OnHeartbeat(kStart, Beat("new", kBornMs + 5000, 1));

  BOOST_TEST_CONTEXT("while the present incarnation reports") {
    for (int i = 1; i < 10; ++i) {
      const instant now = kStart + kInterval * i;
      BOOST_TEST(
          (target.OnHeartbeat(now, Beat("old", kBornMs, 10 + i)) == heartbeat_verdict::kOutdated));
      target.OnHeartbeat(now, Beat("new", kBornMs + 5000, 1 + i));
    }
  }
  BOOST_TEST_CONTEXT("when they all arrive at once") {
    const instant now = kStart + kInterval * 30;
    for (int i = 0; i < 10; ++i) {
      BOOST_TEST((target.OnHeartbeat(now + milliseconds(i), Beat("old", kBornMs, 30 + i)) ==
                  heartbeat_verdict::kOutdated));
    }
  }
  BOOST_TEST_CONTEXT("when they arrive in another order") {
    for (int i = 0; i < 10; ++i) {
      const instant now = kStart + kInterval * (40 + i);
      BOOST_TEST(
          (target.OnHeartbeat(now, Beat("old", kBornMs, 60 - i)) == heartbeat_verdict::kOutdated));
    }
  }
  BOOST_TEST(target.incarnation().id == "new");
}

BOOST_AUTO_TEST_CASE(does_not_hide_that_the_target_leaves) {
  own_target target = MakeTarget();
  target.OnHeartbeat(kStart, Beat("true", kBornMs, 9'007'199'254'740'991));
  target_heartbeat leave = Beat("true", kBornMs, 10);
  leave.draining = true;
  target.OnHeartbeat(kStart + kInterval, leave);
  BOOST_TEST(target.Leaving());
}

BOOST_AUTO_TEST_CASE(does_not_hide_the_target_for_good_when_it_is_repeated) {
  own_target target = MakeTarget();
  target.OnHeartbeat(kStart, Beat("true", kBornMs, 9));
  const target_heartbeat odd = Beat("true", kBornMs, 9'007'199'254'740'991);
  target.OnHeartbeat(kStart, odd);
  bool accepted = false;
  for (int i = 0; i < 6; ++i) {
    const instant now = kStart + kInterval * (i + 1);
    target.OnHeartbeat(now, odd);
    accepted =
        target.OnHeartbeat(now, Beat("true", kBornMs, 10 + i)) == heartbeat_verdict::kAccepted;
  }
  BOOST_TEST(accepted);
}

BOOST_AUTO_TEST_CASE(leaves_a_leaving_target_leaving) {
  own_target target = MakeTarget();
  target.OnHeartbeat(kStart, Beat("true", kBornMs, 9'007'199'254'740'991));
  target.OnLeave(kStart, "true");
  for (int i = 0; i < 6; ++i) {
    target.OnHeartbeat(kStart + kInterval * (i + 1), Beat("true", kBornMs, 10 + i));
  }
  BOOST_TEST(target.Leaving());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
