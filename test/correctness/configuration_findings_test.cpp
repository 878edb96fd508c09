// The check of a configuration before it is written: each contradiction must be found, a sound
// configuration must pass, every difference must be told, and API keys must never be printed.

#include "configuration_findings.h"

#include <unistd.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include "configuration_report.h"
#include "json_text.h"

namespace bulrushway {
namespace {

using std::chrono::milliseconds;

// A configuration without findings, which each test changes.
struct draft {
  std::vector<route> routes;
  std::vector<service_policy> services;
  std::vector<workspace> workspaces;
  caller_limits limits;
  uint64_t version = 0x1f;

  draft() {
    route first;
    first.name = "r1";
    first.host = "a.example";
    first.prefix = "/a/";
    first.split = {{"s1", 1}};
    route second = first;
    second.name = "r2";
    second.prefix = "/a/b/";
    routes = {first, second};
    services.resize(1);
    services[0].name = "s1";
    workspace runners;
    runners.name = "runners";
    runners.api_keys = {"secret-1", "secret-2"};
    runners.requests_per_second = 50;
    runners.burst = 20;
    workspaces = {runners};
  }

  route_table Table() const { return {version, routes, services, limits, workspaces}; }
};

std::vector<configuration_finding> FindingsOf(const draft& config) {
  return FindProblems(config.Table());
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

// Requires one finding of this kind about this entry, with a problem and a remedy in sentences.
std::string RequireOnly(const draft& config, finding_kind kind, const std::string& entry) {
  const auto findings = FindingsOf(config);
  BOOST_REQUIRE_EQUAL(findings.size(), 1U);
  BOOST_TEST(Name(findings[0].kind) == Name(kind));
  BOOST_TEST(findings[0].entry == entry);
  BOOST_TEST(findings[0].problem.ends_with('.'));
  BOOST_TEST(findings[0].remedy.ends_with('.'));
  return findings[0].problem;
}

std::vector<std::string> TextsOf(const draft& before, const draft& after) {
  std::vector<std::string> texts;
  for (const auto& difference : FindDifferences(before.Table(), after.Table())) {
    texts.push_back(difference.text);
  }
  return texts;
}

void RequireTexts(const draft& before, const draft& after,
                  const std::vector<std::string>& expected) {
  const auto texts = TextsOf(before, after);
  BOOST_TEST(texts == expected, boost::test_tools::per_element());
}

// Files in a directory of their own, removed at the end.
class file_directory {
 public:
  file_directory() {
    std::string name = (std::filesystem::temp_directory_path() / "bulrushway-XXXXXX").string();
    if (mkdtemp(name.data()) != nullptr) path_ = name;
    BOOST_REQUIRE(!path_.empty());
  }
  ~file_directory() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  file_directory(const file_directory&) = delete;
  file_directory& operator=(const file_directory&) = delete;

  std::string path() const { return path_; }
  std::string Write(const std::string& name, const std::string& text) const {
    std::ofstream(path_ + "/" + name, std::ios::binary) << text;
    return path_ + "/" + name;
  }

 private:
  std::string path_;
};

// The fields are added to the spec of the route and of the workspace.
std::string FileText(const std::string& route_fields, const std::string& workspace_fields,
                     const std::string& keys = R"(["secret-1"])") {
  return R"({"version":"1f","resources":[)"
         R"({"type":"services","metadata":{"name":"s1"},"spec":{}},)"
         R"({"type":"routes","metadata":{"name":"r1"},"spec":{"host":"a.example","prefix":"/a/",)"
         R"("kind":"safe","timeout_s":2,"service":"s1")" +
         route_fields +
         R"(}},{"type":"tenants","metadata":{"name":"runners"},"spec":{"api_keys":)" + keys +
         workspace_fields + "}}]}";
}

}  // namespace

BOOST_AUTO_TEST_SUITE(configuration_findings)

BOOST_AUTO_TEST_SUITE(findings)

BOOST_AUTO_TEST_CASE(are_absent_in_a_sound_configuration) {
  BOOST_TEST(FindingsOf(draft()).empty());
  BOOST_TEST(FindProblems(route_table()).empty());
}

// Values at the boundary must not be reported: an operator would learn to ignore the reports.
BOOST_AUTO_TEST_CASE(are_absent_where_limits_are_equal) {
  draft config;
  config.routes[0].timeout = config.routes[0].latency_target;
  config.limits.header_bytes = config.limits.body_bytes;
  config.limits.request_timeout = config.limits.idle_timeout;
  config.workspaces[0].burst = 0;
  config.workspaces[0].requests_per_second = 0;
  BOOST_TEST(FindingsOf(config).empty());
}

BOOST_AUTO_TEST_CASE(tell_of_a_route_that_an_earlier_one_hides) {
  draft config;
  config.routes[1].prefix = "/a/";
  const std::string problem = RequireOnly(config, finding_kind::kHiddenRoute, "route 'r2'");
  BOOST_TEST(Contains(problem, "route 'r1'"));
  // The report must agree with the route that is taken.
  BOOST_TEST(config.Table().Find("a.example", "/a/x")->name == "r1");
}

BOOST_AUTO_TEST_CASE(do_not_tell_of_the_same_prefix_at_another_host) {
  draft config;
  config.routes[1].prefix = "/a/";
  config.routes[1].host = "b.example";
  BOOST_TEST(FindingsOf(config).empty());
}

BOOST_AUTO_TEST_CASE(tell_of_a_host_or_prefix_that_no_request_has) {
  for (const char* host : {"A.example", "a.example:80"}) {
    draft config;
    config.routes[0].host = host;
    RequireOnly(config, finding_kind::kUnmatchableRoute, "route 'r1'");
  }
  draft config;
  config.routes[0].prefix = "/a?b=/";
  RequireOnly(config, finding_kind::kUnmatchableRoute, "route 'r1'");
}

BOOST_AUTO_TEST_CASE(tell_of_a_part_with_weight_0) {
  draft config;
  service_policy other;
  other.name = "s2";
  config.services.push_back(other);
  config.routes[0].split = {{"s1", 1}, {"s2", 0}};
  BOOST_TEST(
      Contains(RequireOnly(config, finding_kind::kZeroWeight, "route 'r1'"), "service 's2'"));
}

BOOST_AUTO_TEST_CASE(tell_once_of_a_service_that_is_missing) {
  draft config;
  config.routes[1].split = {{"s1", 1}, {"s3", 1}, {"s3", 2}};
  BOOST_TEST(
      Contains(RequireOnly(config, finding_kind::kUnknownService, "route 'r2'"), "service 's3'"));
}

BOOST_AUTO_TEST_CASE(tell_of_workspaces_without_a_region_in_common_with_a_route) {
  draft config;
  config.routes[0].home_regions = {"lima", "cusco"};
  workspace entry = config.workspaces[0];
  const auto add = [&](const char* name, const std::vector<std::string>& regions) {
    entry.name = name;
    entry.api_keys = {std::string("secret-of-") + name};
    entry.home_regions = regions;
    config.workspaces.push_back(entry);
  };
  add("marshals", {"cusco"});
  BOOST_TEST(FindingsOf(config).empty());
  add("photos", {"arequipa"});
  add("school", {"valleys", "arequipa"});
  const std::string problem = RequireOnly(config, finding_kind::kNoCommonRegion, "route 'r1'");
  BOOST_TEST(Contains(problem, "'photos' (arequipa), 'school' (arequipa, valleys)"));
  BOOST_TEST(!Contains(problem, "marshals"));
  BOOST_TEST(!Contains(problem, "runners"));
  config.routes[0].is_public = true;
  BOOST_TEST(FindingsOf(config).empty());
}

BOOST_AUTO_TEST_CASE(tell_of_a_timeout_below_the_latency_target) {
  draft config;
  config.routes[0].timeout = milliseconds(800);
  config.routes[0].latency_target = milliseconds(1500);
  const std::string problem = RequireOnly(config, finding_kind::kTimeoutBelowTarget, "route 'r1'");
  BOOST_TEST(Contains(problem, "0.8 s"));
  BOOST_TEST(Contains(problem, "1.5 s"));
}

BOOST_AUTO_TEST_CASE(tell_of_a_burst_without_a_rate) {
  draft config;
  config.workspaces[0].requests_per_second = 0;
  RequireOnly(config, finding_kind::kBurstWithoutRate, "workspace 'runners'");
}

BOOST_AUTO_TEST_CASE(tell_of_a_workspace_without_keys) {
  draft config;
  config.workspaces[0].api_keys.clear();
  RequireOnly(config, finding_kind::kWorkspaceWithoutKeys, "workspace 'runners'");
}

BOOST_AUTO_TEST_CASE(tell_of_limits_that_contradict_each_other) {
  draft sizes;
  sizes.limits.body_bytes = sizes.limits.header_bytes - 1;
  RequireOnly(sizes, finding_kind::kHeaderLimitAboveBodyLimit, "limits");
  draft times;
  times.limits.request_timeout = times.limits.idle_timeout + milliseconds(1);
  RequireOnly(times, finding_kind::kHeaderTimeoutAboveIdleTimeout, "limits");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(differences)

BOOST_AUTO_TEST_CASE(are_absent_between_equal_configurations) {
  draft before;
  before.routes[0].home_regions = {"lima", "cusco"};
  before.routes[0].split = {{"s1", 1}, {"s2", 2}};
  draft after = before;
  RequireTexts(before, after, {});
  std::reverse(after.routes[0].home_regions.begin(), after.routes[0].home_regions.end());
  std::reverse(after.workspaces[0].api_keys.begin(), after.workspaces[0].api_keys.end());
  RequireTexts(before, after, {});
}

BOOST_AUTO_TEST_CASE(tell_the_values_of_a_changed_entry) {
  draft after;
  after.version = 0x20;
  after.limits.idle_timeout = milliseconds(10'500);
  after.routes[0].timeout = milliseconds(1500);
  after.routes[1].home_regions = {"lima"};
  after.services[0].keyed = true;
  after.workspaces[0].requests_per_second = 0;
  after.workspaces[0].rank = 2;
  RequireTexts(draft(), after,
               {"The version changes from 0000001f to 00000020.",
                "The timeout of idle connections of the limits changes from 15 s to 10.5 s.",
                "The timeout of the route 'r1' changes from 1 s to 1.5 s.",
                "The list of allowed regions of the route 'r2' changes from all regions to lima.",
                "The exclusive ownership of keys of the service 's1' changes from no to yes.",
                "The priority of the workspace 'runners' changes from that of the route to 2.",
                "The rate of the workspace 'runners' changes from 50 per second to no limit."});
}

BOOST_AUTO_TEST_CASE(tell_of_added_and_removed_entries) {
  draft after;
  after.routes.erase(after.routes.begin());
  service_policy added;
  added.name = "s2";
  after.services.push_back(added);
  RequireTexts(draft(), after,
               {"The route 'r1' is removed.",
                "The service 's2' is added (health path: '', connections to a target: 64, warm-up "
                "time: 0 s, rate of a cold target: 0 per second, exclusive ownership of keys: "
                "no)."});
  RequireTexts(after, draft(),
               {"The route 'r1' is added (host: 'a.example', prefix: '/a/', permission to repeat "
                "requests: no, mark for large answers: no, timeout: 1 s, latency target: 1 s, "
                "number of attempts: 1, priority: 0, list of services: 's1' with weight 1, list of "
                "allowed regions: all regions, mark as public: no).",
                "The service 's2' is removed."});
}

// A parser accepts two routes of one name; a change of the second must not be lost.
BOOST_AUTO_TEST_CASE(tell_entries_of_the_same_name_apart) {
  draft before;
  before.routes[1].name = "r1";
  draft after = before;
  after.routes[1].max_attempts = 3;
  RequireTexts(before, after,
               {"The number of attempts of the route 'r1' (number 2 of this name) changes from 1 "
                "to 3."});
}

// Without this, a mere change of order would be reported as no difference.
BOOST_AUTO_TEST_CASE(tell_which_route_is_taken_after_a_change_of_order) {
  draft before;
  before.routes[1].prefix = "/a/";
  draft after = before;
  std::swap(after.routes[0], after.routes[1]);
  RequireTexts(before, after,
               {"Requests to the host 'a.example' and prefix '/a/' are matched by the route 'r2' "
                "in place of the route 'r1'."});
}

BOOST_AUTO_TEST_CASE(count_keys_and_do_not_print_them) {
  draft after;
  after.workspaces[0].api_keys = {"secret-2", "secret-3", "secret-4"};
  RequireTexts(draft(), after,
               {"The workspace 'runners' gains 2 API keys and loses 1 API key, and has 3 API keys "
                "in all."});
  workspace added = after.workspaces[0];
  added.name = "photos";
  added.api_keys = {"secret-5"};
  after.workspaces = {added};
  for (const std::string& text : TextsOf(draft(), after)) BOOST_TEST(!Contains(text, "secret"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(reports)

using platform::check_status;
using platform::CheckConfigurationFile;

BOOST_AUTO_TEST_CASE(give_the_status_of_the_findings) {
  const file_directory files;
  const std::string sound = files.Write("sound", FileText("", ""));
  const std::string faulty = files.Write("faulty", FileText("", R"(,"burst":3)"));
  BOOST_TEST(static_cast<int>(CheckConfigurationFile({sound, "", false}).status) == 0);
  BOOST_TEST(static_cast<int>(CheckConfigurationFile({faulty, "", false}).status) == 1);
  // The version in force may have findings, and differ, without harm to the new one.
  BOOST_TEST(static_cast<int>(CheckConfigurationFile({sound, faulty, false}).status) == 0);
}

BOOST_AUTO_TEST_CASE(refuse_files_that_cannot_be_read_or_parsed) {
  const file_directory files;
  const std::string sound = files.Write("sound", FileText("", ""));
  for (const std::string& bad : {files.Write("broken", "{"), files.Write("empty", ""),
                                 files.path() + "/missing", files.path()}) {
    const auto first = CheckConfigurationFile({bad, "", false});
    const auto second = CheckConfigurationFile({sound, bad, true});
    for (const auto& outcome : {first, second}) {
      BOOST_TEST(static_cast<int>(outcome.status) == 2);
      BOOST_TEST(outcome.output.empty());
      BOOST_TEST(Contains(outcome.errors, bad));
    }
  }
}

// The JSON library quotes the token at which it stops; that must not reach a terminal or a log.
BOOST_AUTO_TEST_CASE(never_print_a_key) {
  const file_directory files;
  const std::string sound = files.Write("sound", FileText("", ""));
  for (const char* keys : {"[\"secret-1\n\"]", "[\"secret\xff\"]", R"(["secret-1" "secret-2"])",
                           R"(["secret-1\q"])", R"("secret-1")", "[tsecret-1]", R"(["secret-1"])",
                           R"(["secret-2","secret-3"])", R"(["secret-1)"}) {
    for (const bool json : {false, true}) {
      const std::string file = files.Write("changed", FileText("", R"(,"burst":3)", keys));
      const auto outcome = CheckConfigurationFile({file, sound, json});
      BOOST_TEST(!Contains(outcome.output + outcome.errors, "secret"), "printed: " << keys);
      BOOST_TEST(!(outcome.output + outcome.errors).empty());
    }
  }
}

BOOST_AUTO_TEST_CASE(are_the_same_in_text_and_in_json) {
  const file_directory files;
  const std::string sound = files.Write("sound", FileText("", ""));
  const std::string faulty = files.Write("faulty", FileText(R"(,"latency_target_s":3)", ""));
  const auto text = CheckConfigurationFile({faulty, sound, false}).output;
  const auto report = ParseJson(CheckConfigurationFile({faulty, sound, true}).output);
  BOOST_REQUIRE_EQUAL(report["findings"].size(), 1U);
  BOOST_TEST(report["findings"][0]["kind"].get<std::string>() == "timeout-below-target");
  BOOST_TEST(Contains(text, report["findings"][0]["problem"].get<std::string>()));
  BOOST_TEST(Contains(text, report["findings"][0]["remedy"].get<std::string>()));
  BOOST_REQUIRE_EQUAL(report["differences"].size(), 1U);
  BOOST_TEST(Contains(text, report["differences"][0]["text"].get<std::string>()));
  const auto alone = ParseJson(CheckConfigurationFile({faulty, "", true}).output);
  BOOST_TEST(!alone.contains("differences"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
