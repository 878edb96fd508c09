// Many large answers whose callers do not read them at once. Each was within its limit, but nothing
// limited their sum: processes used more memory than their machines have, and would have been
// killed with the requests of all their callers.

#include <boost/test/unit_test.hpp>

#include "platform_deployment.h"
#include "raw_caller.h"

namespace bulrushway::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kConfiguration =
    R"({"version":"00000001","resources":[)"
    R"({"type":"routes","metadata":{"name":"look"},"spec":{"host":"h","prefix":"/look/",)"
    R"("kind":"safe","timeout_s":5,"latency_target_s":0.5,"priority":2,"service":"plain",)"
    R"("attempts":2}},)"
    R"({"type":"routes","metadata":{"name":"photo"},"spec":{"host":"h","prefix":"/photo/",)"
    R"("kind":"download","timeout_s":5,"latency_target_s":2,"priority":2,"service":"keyed",)"
    R"("attempts":2}},)"
    R"({"type":"services","metadata":{"name":"plain"},"spec":{"max_conns":64}},)"
    R"({"type":"services","metadata":{"name":"keyed"},"spec":{"max_conns":64,"sharded":true}},)"
    R"({"type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":100000,)"
    R"("header_timeout_s":3,"idle_timeout_s":15}}]})";

constexpr size_t kLargeAnswer = 15 << 20;
constexpr size_t kCallers = 30;
constexpr milliseconds kInterval{40};

// A caller that asks for a large answer, and reads it when the test says so.
class large_caller {
 public:
  large_caller(const machine& host, size_t number) : caller_(host.Address(kCallersPort)) {
    caller_.Send("GET /photo/x?bytes=" + std::to_string(kLargeAnswer) +
                 " HTTP/1.1\r\nHost: h\r\nX-Bulrushway-Request-Id: large" + std::to_string(number) +
                 "\r\nX-Bulrushway-Request-Timeout: 5000\r\nX-Bulrushway-Shard-Key: " +
                 std::to_string(number * 2000) + "\r\n\r\n");
  }
  // Reads what has arrived. Returns whether the answer is complete.
  bool Read() {
    const std::string& received = caller_.Receive();
    if (!received.starts_with(kSuccess)) return received.find("\r\n\r\n") != std::string::npos;
    return received.size() - received.find("\r\n\r\n") - 4 == kLargeAnswer;
  }
  bool Served() { return Read() && caller_.Receive().starts_with(kSuccess); }

 private:
  static constexpr std::string_view kSuccess = "HTTP/1.1 200";
  raw_caller caller_;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(large_answers)

BOOST_AUTO_TEST_CASE(take_no_more_memory_than_a_machine_has_and_hold_up_no_small_request) {
  platform_deployment fleet;
  fleet.store().Put("op", "config", kConfiguration);
  BOOST_REQUIRE(fleet.WaitUntilSettled());
  // A target is sent few requests until it has answered the first.
  for (size_t i = 0; i < 8; ++i) {
    fleet.StatusOf(i % 4, "/look/x", "first" + std::to_string(i));
    fleet.StatusOf(0, "/photo/x", "first-key" + std::to_string(i), static_cast<int>(i) * 8000);
  }
  std::vector<std::unique_ptr<large_caller>> large;
  std::vector<std::shared_ptr<std::optional<outcome>>> small;
  for (size_t i = 0; i < kCallers; ++i) {
    large.push_back(std::make_unique<large_caller>(fleet.machines()[i % 2], i));
    small.push_back(
        fleet.Send(i % fleet.machines().size(), "/look/x", "small" + std::to_string(i)));
    fleet.Wait(kInterval);
  }
  const auto whole = [](const auto& caller) { return caller->Read(); };
  BOOST_TEST(
      fleet.Until([&] { return std::all_of(large.begin(), large.end(), whole); }, seconds(8)));
  const auto served = std::count_if(large.begin(), large.end(),
                                    [](const auto& caller) { return caller->Served(); });
  BOOST_TEST_MESSAGE("large answers delivered: " << served);
  BOOST_TEST(served > 0);
  for (const auto& each : small) {
    BOOST_REQUIRE(each->has_value() && (*each)->has_value());
    BOOST_TEST((**each)->status == 200);
  }
  for (size_t i = 0; i < fleet.machines().size(); ++i) {
    BOOST_TEST(fleet.machines()[i].process->Running());
    const double peak = fleet.PeakMemoryMb(i);
    BOOST_TEST_MESSAGE("peak memory beside " << fleet.machines()[i].ip << ": " << peak << " MB");
    BOOST_TEST(peak < kMachineMemoryMb);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway::testing
