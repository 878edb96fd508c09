// API keys of workspaces: a request without a valid key must not reach a target, the key itself
// must not leave the process, and a caller must not choose its own workspace.

#include "workspace_keys.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "home_regions.h"
#include "operator_config.h"

namespace bulrushway {
namespace {

std::vector<workspace> Workspaces(size_t count) {
  std::vector<workspace> list;
  for (size_t i = 0; i < count; ++i) {
    workspace entry;
    entry.name = "w" + std::to_string(i);
    entry.api_keys = {"key-" + std::to_string(i), "other-" + std::to_string(i)};
    list.push_back(std::move(entry));
  }
  return list;
}

std::string Tenants(const std::string& specs) {
  return R"({"version":"1","resources":[)" + specs + "]}";
}

std::string Tenant(const std::string& name, const std::string& spec) {
  return R"({"type":"tenants","metadata":{"name":")" + name + R"("},"spec":)" + spec + "}";
}

}  // namespace

BOOST_AUTO_TEST_SUITE(a_workspace)

BOOST_AUTO_TEST_CASE(is_found_by_each_of_its_keys_among_thousands) {
  const std::vector<workspace> list = Workspaces(5000);
  const workspace_keys keys(list);
  for (size_t i = 0; i < list.size(); ++i) {
    BOOST_TEST((keys.Find(list, list[i].api_keys[0]) == i));
    BOOST_TEST((keys.Find(list, list[i].api_keys[1]) == i));
  }
  for (const std::string wrong : {"", "key-", "key-5000", "key-17 ", "KEY-17"}) {
    BOOST_TEST(!keys.Find(list, wrong).has_value(), wrong);
  }
}

BOOST_AUTO_TEST_CASE(may_have_a_key_with_any_bytes) {
  std::vector<workspace> list = Workspaces(1);
  list[0].api_keys = {std::string("\0\xff\r\n", 4)};
  BOOST_TEST(workspace_keys(list).Find(list, list[0].api_keys[0]).has_value());
}

BOOST_AUTO_TEST_CASE(without_keys_matches_no_caller) {
  std::vector<workspace> list = Workspaces(1);
  list[0].api_keys.clear();
  BOOST_TEST(CheckWorkspaceKeys(list).has_value());
  BOOST_TEST(!workspace_keys(list).Find(list, "").has_value());
}

BOOST_AUTO_TEST_CASE(that_has_a_key_of_another_is_an_error_with_both_names) {
  std::vector<workspace> list = Workspaces(3);
  list[2].api_keys.push_back(list[0].api_keys[1]);
  const auto checked = CheckWorkspaceKeys(list);
  BOOST_REQUIRE(!checked.has_value());
  BOOST_TEST(checked.error().message.find("'w0' and 'w2'") != std::string::npos);
  BOOST_TEST(checked.error().message.find(list[0].api_keys[1]) == std::string::npos);
}

BOOST_AUTO_TEST_CASE(that_has_an_empty_key_is_an_error) {
  std::vector<workspace> list = Workspaces(1);
  list[0].api_keys.emplace_back();
  BOOST_TEST(!CheckWorkspaceKeys(list).has_value());
}

BOOST_AUTO_TEST_CASE(and_its_route_both_restrict_the_regions) {
  using regions = std::vector<std::string>;
  BOOST_TEST((CommonHomeRegions({}, {"a"}) == regions{"a"}));
  BOOST_TEST((CommonHomeRegions({"a", "b"}, {}) == regions{"a", "b"}));
  BOOST_TEST((CommonHomeRegions({"a", "b"}, {"b", "c"}) == regions{"b"}));
  BOOST_TEST((CommonHomeRegions({"a"}, {"b"}) == regions{std::string(kNoRegion)}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_key_in_a_request)

BOOST_AUTO_TEST_CASE(is_read_from_one_authorization_header_of_the_bearer_scheme) {
  BOOST_TEST(BearerKey({{"authorization", "bearer  abc "}}) == "abc");
  BOOST_TEST(BearerKey({{"Authorization", "Bearer a b"}}) == "a b");
}

BOOST_AUTO_TEST_CASE(is_empty_when_it_is_missing_malformed_or_ambiguous) {
  for (const std::string value : {"", "Bearer", "Bearer ", "Bearer    ", "Basic abc", "abc"}) {
    BOOST_TEST(BearerKey({{"Authorization", value}}).empty(), value);
  }
  BOOST_TEST(BearerKey({}).empty());
  BOOST_TEST(BearerKey({{"Authorization", "Bearer abc"}, {"AUTHORIZATION", "Bearer abd"}}).empty());
}

BOOST_AUTO_TEST_CASE(is_removed_with_all_credentials) {
  header_list headers{{"Authorization", "Bearer a"}, {"Host", "h"}, {"AUTHORIZATION", "x"}};
  RemoveCredentials(headers);
  BOOST_TEST(headers.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_configuration_with_workspaces)

BOOST_AUTO_TEST_CASE(gives_each_key_its_workspace_with_quota_priority_and_regions) {
  const auto table = platform::ParseConfiguration(
      Tenants(Tenant("w1", R"({"api_keys":["a","b"],"priority":1,"rate_per_s":201,"burst":20.5,)"
                           R"("allowed_regions":["lima"]})") +
              "," + Tenant("w0", R"({"api_keys":[]})")));
  BOOST_REQUIRE(table.has_value());
  const workspace* found = (*table)->FindWorkspaceByKey("b");
  BOOST_REQUIRE(found != nullptr);
  BOOST_TEST(found->name == "w1");
  BOOST_TEST((found->rank == 1U));
  BOOST_TEST(found->requests_per_second == 201);
  BOOST_TEST(found->burst == 20.5);
  BOOST_TEST((found->home_regions == std::vector<std::string>{"lima"}));
  BOOST_TEST(!(*table)->FindWorkspace("w0")->HasQuota());
  BOOST_TEST((*table)->FindWorkspaceByKey("c") == nullptr);
}

BOOST_AUTO_TEST_CASE(that_cannot_be_read_is_rejected) {
  for (const char* spec :
       {"{}", R"({"api_keys":"a"})", R"({"api_keys":[1]})", R"({"api_keys":[""]})",
        R"({"api_keys":["a"],"rate_per_s":-1})", R"({"api_keys":["a"],"burst":"1"})",
        R"({"api_keys":["a"],"priority":-1})", R"({"api_keys":["a"],"allowed_regions":1})"}) {
    BOOST_TEST(!platform::ParseConfiguration(Tenants(Tenant("w", spec))).has_value(), spec);
  }
  const std::string same = R"({"api_keys":["a"]})";
  BOOST_TEST(!platform::ParseConfiguration(Tenants(Tenant("w", same) + "," + Tenant("v", same)))
                  .has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
