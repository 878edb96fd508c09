// Configurations and rows of operators with values that are out of range, of another type or nested
// too deeply. Each is an error with a reason, so that the configuration in force stays.

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "operator_config.h"

namespace bulrushway::platform {
namespace {

std::string Configuration(const std::string& version, const std::string& route,
                          const std::string& service, const std::string& limits) {
  return R"({"version":")" + version + R"(","resources":[)" +
         R"({"type":"routes","metadata":{"name":"r1"},"spec":{)" + route + "}}," +
         R"({"type":"services","metadata":{"name":"s1"},"spec":{)" + service + "}}," +
         R"({"type":"limits","metadata":{},"spec":{)" + limits + "}}]}";
}

const std::string kRouteStart = R"("host":"h.example","kind":"safe",)";

result<std::shared_ptr<const route_table>> ParseRoute(const std::string& fields) {
  return ParseConfiguration(Configuration("0000001f", kRouteStart + fields, "", ""));
}

void RequireErrors(const std::vector<std::string>& texts) {
  for (const std::string& text : texts) {
    const auto table = ParseConfiguration(text);
    BOOST_TEST(!table.has_value(), "accepted: " << text.substr(0, 300));
    if (!table) BOOST_TEST(!table.error().message.empty());
  }
}

const std::string kRest = R"("prefix":"/a/","timeout_s":1,"service":"s1")";
const std::string kRoute = kRouteStart + kRest;

}  // namespace

BOOST_AUTO_TEST_SUITE(odd_configurations)

BOOST_AUTO_TEST_CASE(are_told_from_valid_ones) {
  BOOST_REQUIRE(ParseRoute(kRest).has_value());
  BOOST_TEST(ParseRoute(kRest + R"(,"split":[{"service":"s1","weight":0},)"
                                R"({"service":"s2","weight":0.5}])")
                 .has_value());
  BOOST_TEST(ParseRoute(kRest + R"(,"split":[])").has_value());
  BOOST_TEST(ParseRoute(kRest + R"(,"attempts":2.0,"priority":0)").has_value());
}

BOOST_AUTO_TEST_CASE(with_a_time_out_of_range_are_rejected) {
  for (const char* seconds : {"1e300", "-1e300", "-1", "0", "1e9", "9223372036854775807", "\"1\"",
                              "[]", "null", "true", "1e400"}) {
    const std::string timeout = R"("prefix":"/a/","service":"s1","timeout_s":)";
    RequireErrors(
        {Configuration("1f", kRouteStart + timeout + seconds, "", ""),
         Configuration("1f", kRoute + R"(,"latency_target_s":)" + seconds, "", ""),
         Configuration("1f", kRoute, "", std::string(R"("idle_timeout_s":)") + seconds),
         Configuration("1f", kRoute, "", std::string(R"("header_timeout_s":)") + seconds)});
  }
}

BOOST_AUTO_TEST_CASE(with_a_number_out_of_range_are_rejected) {
  for (const char* number : {"-1", "1e300", "1.5", "18446744073709551615", "\"2\"", "[]", "0"}) {
    RequireErrors(
        {Configuration("1f", kRoute + R"(,"attempts":)" + number, "", ""),
         Configuration("1f", kRoute, std::string(R"("max_conns":)") + number, ""),
         Configuration("1f", kRoute, "", std::string(R"("max_header_bytes":)") + number)});
  }
  for (const char* number : {"-1", "1e300", "1.5", "18446744073709551615", "\"2\"", "[]"}) {
    RequireErrors({Configuration("1f", kRoute + R"(,"priority":)" + number, "", ""),
                   Configuration("1f", kRoute, "", std::string(R"("max_body_bytes":)") + number)});
  }
  for (const char* number : {"-1", "1e300", "\"2\"", "[]"}) {
    RequireErrors({Configuration("1f", kRoute, std::string(R"("cold_per_s":)") + number, ""),
                   Configuration("1f", kRoute, std::string(R"("warmup_s":)") + number, "")});
  }
  RequireErrors({Configuration("100000000", kRoute, "", ""),
                 Configuration("ffffffffffffffff", kRoute, "", ""),
                 Configuration("-1", kRoute, "", ""), Configuration("", kRoute, "", "")});
}

BOOST_AUTO_TEST_CASE(with_weights_that_divide_nothing_are_rejected) {
  for (const char* split : {R"([{"service":"s1","weight":0}])", R"([{"service":"s1","weight":-1}])",
                            R"([{"service":"s1","weight":-1},{"service":"s2","weight":1}])",
                            R"([{"service":"s1","weight":1e300},{"service":"s2","weight":1e308}])",
                            R"([{"service":"s1","weight":"1"}])", R"([{"service":"s1"}])", R"([7])",
                            R"(7)", R"({"service":"s1","weight":1})"}) {
    RequireErrors({Configuration("1f", kRoute + R"(,"split":)" + split, "", "")});
  }
}

BOOST_AUTO_TEST_CASE(with_a_prefix_without_slashes_are_rejected) {
  for (const char* prefix : {"", "a", "/a", "a/"}) {
    const std::string route = R"("timeout_s":1,"service":"s1","prefix":")";
    RequireErrors({Configuration("1f", kRouteStart + route + prefix + "\"", "", "")});
  }
}

BOOST_AUTO_TEST_CASE(of_another_shape_are_rejected) {
  std::string nested;
  for (int i = 0; i < 1 << 20; ++i) nested += R"({"a":)";
  RequireErrors({nested, R"({"version":"1f","resources":[],"a":)" + nested});
  RequireErrors({"", "7", "null", "[]", "{}", R"({"version":"1f"})", "\xff\xfe",
                 R"({"version":7,"resources":[]})", R"({"version":"1f","resources":7})",
                 R"({"version":"1f","resources":[7]})", R"({"version":"1f","resources":[[]]})",
                 R"({"version":"1f","resources":[{"type":"routes"}]})",
                 R"({"version":"1f","resources":[{"type":"routes","metadata":7,"spec":{}}]})",
                 R"({"version":"1f","resources":[{"type":"limits","metadata":{},"spec":7}]})"});
}

BOOST_AUTO_TEST_CASE(may_name_a_service_or_a_route_twice) {
  const std::string resource = R"({"type":"services","metadata":{"name":"s1"},"spec":{}},)";
  const std::string route = R"({"type":"routes","metadata":{"name":"r1"},"spec":{)" + kRoute + "}}";
  const auto table = ParseConfiguration(R"({"version":"1f","resources":[)" + resource + resource +
                                        route + "," + route + "]}");
  BOOST_REQUIRE(table.has_value());
  BOOST_TEST((*table)->Find("h.example", "/a/x")->name == "r1");
}

BOOST_AUTO_TEST_CASE(may_name_a_service_that_is_not_there) {
  const auto table = ParseRoute(R"("prefix":"/a/","timeout_s":1,"service":"nowhere")");
  BOOST_REQUIRE(table.has_value());
  BOOST_TEST((*table)->FindService("nowhere") == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway::platform
