// Workspaces and their keys, with real processes: a request without a valid key must not run, and a
// target must be told the workspace by the system and must not see the key.

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <string>
#include <utility>
#include <vector>

#include "http_parser.h"
#include "workspace_deployment.h"

namespace bulrushway::testing {
namespace {

using std::chrono::seconds;

const std::string kTwoWorkspaces =
    Workspace("acme", R"("acme-key","acme-spare")") + Workspace("zenith", R"("zenith-key")");

std::vector<std::string> ValuesOf(const header_list& headers, const std::string& name) {
  std::vector<std::string> values;
  for (const auto& [each, value] : headers) {
    if (EqualIgnoringCase(each, name)) values.push_back(value);
  }
  return values;
}

using values = std::vector<std::string>;

// The ways to reach a target: the process that takes the request, the path, and the key of the
// keyed service.
struct way {
  size_t entry;
  std::string path;
  int key;
};
const std::vector<way> kWays = {
    {0, "/look/x", -1}, {1, "/look/x", -1}, {0, "/pay/x", 7}, {1, "/pay/x", 7}};

}  // namespace

BOOST_AUTO_TEST_SUITE(workspaces)

BOOST_AUTO_TEST_CASE(are_told_to_targets_by_the_system_which_keeps_the_key) {
  workspace_deployment test;
  test.Configure(Configuration(1, kTwoWorkspaces));
  for (const way& each : kWays) {
    BOOST_TEST_CONTEXT(each.path << " at process " << each.entry) {
      BOOST_TEST(test.Status(each.entry, each.path, Bearer("acme-spare"), each.key) == 200);
      header_list received = test.ReceivedHeaders();
      BOOST_TEST(ValuesOf(received, "X-Bulrushway-Tenant") == values{"acme"});
      BOOST_TEST(ValuesOf(received, "Authorization").empty());

      BOOST_TEST_CONTEXT("the caller names another workspace") {
        header_list forged = Bearer("zenith-key");
        forged.emplace_back("X-Bulrushway-Tenant", "acme");
        forged.emplace_back("x-bulrushway-tenant", "forged");
        BOOST_TEST(test.Status(each.entry, each.path, forged, each.key) == 200);
        received = test.ReceivedHeaders();
        BOOST_TEST(ValuesOf(received, "X-Bulrushway-Tenant") == values{"zenith"});
        BOOST_TEST(ValuesOf(received, "Authorization").empty());
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(run_nothing_for_a_request_without_a_valid_key) {
  workspace_deployment test;
  test.Configure(Configuration(1, kTwoWorkspaces + Workspace("keyless", "")));
  const std::string name = "Authorization";
  const std::vector<header_list> invalid = {
      {},
      Bearer("unknown"),
      Bearer(""),
      Bearer("acme-ke"),
      Bearer("acme-key1"),
      Bearer("ACME-KEY"),
      Bearer("acme-key zenith-key"),
      {{name, ""}},
      {{name, "acme-key"}},
      {{name, "Basic acme-key"}},
      {{name, "Bearer"}},
      {{name, "Beareracme-key"}},
      {{name, "Bearer acme-key"}, {name, "Bearer acme-key"}},
      {{name, "Bearer unknown"}, {"authorization", "Bearer acme-key"}},
      {{"X-Bulrushway-Tenant", "acme"}},
  };
  for (const way& each : kWays) {
    for (size_t i = 0; i < invalid.size(); ++i) {
      BOOST_TEST_CONTEXT(each.path << " at process " << each.entry << ", headers " << i) {
        BOOST_TEST(test.Status(each.entry, each.path, invalid[i], each.key) == 401);
      }
    }
  }
  BOOST_TEST(test.CountExecutions() == 0U);
}

BOOST_AUTO_TEST_CASE(are_not_involved_in_public_routes) {
  workspace_deployment test;
  test.Configure(Configuration(1, kTwoWorkspaces));
  const std::vector<header_list> callers = {
      {}, {{"X-Bulrushway-Tenant", "acme"}}, Bearer("acme-key"), Bearer("unknown")};
  for (size_t entry = 0; entry < 2; ++entry) {
    for (const header_list& headers : callers) {
      BOOST_TEST(test.Status(entry, "/open/x", headers) == 200);
      const header_list received = test.ReceivedHeaders();
      BOOST_TEST(ValuesOf(received, "X-Bulrushway-Tenant").empty());
      BOOST_TEST(ValuesOf(received, "Authorization").empty());
    }
  }
}

BOOST_AUTO_TEST_CASE(that_are_not_configured_leave_all_headers_as_they_came) {
  workspace_deployment test;
  test.Configure(Configuration(1, ""));
  const std::vector<header_list> callers = {
      {},
      {{"Authorization", "Basic dXNlcg=="}, {"X-Bulrushway-Tenant", "mine"}},
      {{"Authorization", "Bearer a"},
       {"X-Bulrushway-Tenant", "first"},
       {"Authorization", "Bearer b"},
       {"X-Bulrushway-Tenant", "second"}}};
  for (const way& each : kWays) {
    for (const header_list& headers : callers) {
      BOOST_TEST_CONTEXT(each.path << " at process " << each.entry) {
        BOOST_TEST(test.Status(each.entry, each.path, headers, each.key) == 200);
        const header_list received = test.ReceivedHeaders();
        for (const std::string name : {"Authorization", "X-Bulrushway-Tenant"}) {
          BOOST_TEST(ValuesOf(received, name) == ValuesOf(headers, name));
        }
      }
    }
  }
}

// Whether a key is valid is not known before the first configuration: 401 would turn callers away.
BOOST_AUTO_TEST_CASE(are_unknown_to_a_process_without_a_configuration) {
  workspace_deployment test;
  const auto listening = [&] { return test.fleet.StatusOf(0, "/look/x", "probe") != 0; };
  BOOST_REQUIRE(test.fleet.Until(listening, kLimit));
  for (const header_list& headers : {header_list{}, Bearer("acme-key"), Bearer("unknown")}) {
    const auto result = test.fleet.Send(0, "/look/x", "early", -1, seconds(10), headers);
    BOOST_REQUIRE(test.fleet.Until([&] { return result->has_value(); }, kLimit));
    BOOST_REQUIRE((*result)->has_value());
    BOOST_TEST((**result)->status == 503);
  }
  BOOST_TEST(test.CountExecutions() == 0U);
}

BOOST_AUTO_TEST_CASE(have_the_keys_of_the_newest_version) {
  workspace_deployment test;
  test.Configure(Configuration(1, kTwoWorkspaces));
  for (size_t entry = 0; entry < 2; ++entry) {
    BOOST_TEST(test.Status(entry, "/look/x", Bearer("acme-key")) == 200);
    BOOST_TEST(test.Status(entry, "/look/x", Bearer("added")) == 401);
  }
  // The route shows that a process has taken the version over.
  test.fleet.store().Put(
      "op", "config",
      Configuration(2, Route("second", "safe", "plain", R"(,"public":true)") +
                           Workspace("acme", R"("acme-spare","added")") + Workspace("zenith", "")));
  for (size_t entry = 0; entry < 2; ++entry) {
    BOOST_REQUIRE(
        test.fleet.Until([&] { return test.Status(entry, "/second/x", {}) == 200; }, kLimit));
  }
  const size_t executions = test.CountExecutions();
  for (const way& each : kWays) {
    BOOST_TEST_CONTEXT(each.path << " at process " << each.entry) {
      BOOST_TEST(test.Status(each.entry, each.path, Bearer("acme-key"), each.key) == 401);
      BOOST_TEST(test.Status(each.entry, each.path, Bearer("zenith-key"), each.key) == 401);
    }
  }
  BOOST_TEST(test.CountExecutions() == executions);
  for (const way& each : kWays) {
    BOOST_TEST_CONTEXT(each.path << " at process " << each.entry) {
      BOOST_TEST(test.Status(each.entry, each.path, Bearer("added"), each.key) == 200);
      BOOST_TEST(ValuesOf(test.ReceivedHeaders(), "X-Bulrushway-Tenant") == values{"acme"});
    }
  }
}

BOOST_AUTO_TEST_CASE(run_their_requests_only_in_regions_that_the_route_allows_too) {
  workspace_deployment test(
      {{"plain", "a", "east"}, {"plain", "b", "west"}, {"keyed", "c", "west"}});
  test.Configure(Configuration(
      1, Route("home", "safe", "plain", R"(,"allowed_regions":["east","west"])") +
             Route("east", "safe", "plain", R"(,"allowed_regions":["east"])") +
             Workspace("western", R"("west-key")", R"(,"allowed_regions":["west","north"])") +
             Workspace("eastern", R"("east-key")", R"(,"allowed_regions":["east"])") +
             Workspace("anywhere", R"("any-key")")));
  const auto& in_east = test.fleet.machines()[0].target->Executions();
  const auto& in_west = test.fleet.machines()[1].target->Executions();
  constexpr size_t kRequests = 12;
  const auto send_all = [&](const std::string& path, const std::string& key) {
    for (size_t i = 0; i < kRequests; ++i) {
      BOOST_TEST(test.Status(i % 3, path, Bearer(key)) == 200);
    }
  };
  send_all("/home/x", "west-key");
  BOOST_TEST(in_west.size() == kRequests);
  send_all("/home/x", "east-key");
  BOOST_TEST(in_east.size() == kRequests);
  send_all("/east/x", "any-key");
  BOOST_TEST(in_east.size() == 2 * kRequests);
  BOOST_TEST(in_west.size() == kRequests);

  const size_t executions = test.CountExecutions();
  for (size_t entry = 0; entry < 3; ++entry) {
    BOOST_TEST_CONTEXT("no region is left, or the owner of the key is in none") {
      const auto none =
          test.fleet.Send(entry, "/east/x", "none", -1, seconds(5), Bearer("west-key"));
      const auto owner =
          test.fleet.Send(entry, "/pay/x", "owner", 7, seconds(5), Bearer("east-key"));
      for (const auto& result : {none, owner}) {
        BOOST_REQUIRE(test.fleet.Until([&] { return result->has_value(); }, kLimit));
        BOOST_REQUIRE((*result)->has_value());
        BOOST_TEST((**result)->status == 503);
      }
    }
  }
  BOOST_TEST_CONTEXT("the target in the only region is gone") {
    test.fleet.machines()[1].process->Signal(SIGKILL);
    for (size_t i = 0; i < kRequests; ++i) {
      const auto result = test.fleet.Send(0, "/home/x", "gone", -1, seconds(2), Bearer("west-key"));
      test.fleet.Until([&] { return result->has_value(); }, kLimit);
    }
  }
  BOOST_TEST(test.CountExecutions() == executions);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway::testing
