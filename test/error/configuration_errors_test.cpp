// The parser reports all mistakes in inventory and rules at once, with file and line, and warns of
// valid settings that are dangerous.
#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "configuration_parser.h"

namespace bulrushway {
namespace {

constexpr std::chrono::sys_seconds kNow =
    std::chrono::sys_days(std::chrono::year(2027) / 3 / 14) + std::chrono::hours(6);

constexpr const char* kInventory =
    "[region lima]\ndata_centres = lima-a, lima-b\n"
    "[region cusco]\ndata_centres = cusco-a\n"
    "[service cronometraje]\nkind = keyed\n"
    "[upstream u1]\nservice = cronometraje\ndata_centre = lima-a\n";

checked<checked_configuration> Parse(const std::string& inventory, const std::string& rules) {
  configuration_texts texts;
  texts.inventory = inventory;
  texts.rules = rules;
  return ParseConfiguration(texts, kNow);
}

std::vector<std::string> Errors(const std::string& inventory, const std::string& rules) {
  const auto outcome = Parse(inventory, rules);
  std::vector<std::string> lines;
  if (outcome) return lines;
  for (const error& problem : outcome.error())
    lines.push_back(problem.peer + " " + problem.message);
  return lines;
}

std::vector<std::string> Warnings(const std::string& rules) {
  const auto outcome = Parse(kInventory, rules);
  BOOST_REQUIRE(outcome);
  std::vector<std::string> lines;
  for (const auto& warning : outcome->warnings)
    lines.push_back(warning.location + " " + warning.message);
  return lines;
}

bool HasMessage(const std::vector<std::string>& lines, const std::string& location,
                const std::string& text) {
  return std::any_of(lines.begin(), lines.end(), [&](const std::string& line) {
    return line.starts_with(location + " ") && line.find(text) != std::string::npos;
  });
}

}  // namespace

BOOST_AUTO_TEST_SUITE(configuration_mistakes)

BOOST_AUTO_TEST_CASE(a_whole_inventory_of_mistakes_is_reported_at_once) {
  const auto errors = Errors(
      "[region lima]\ndata_centres = lima-a\n[region Cusco]\ndata_centres = lima-a, lima-a\n"
      "[service s]\nkind = both\nslices = 1000\nslot = 3\n"
      "[upstream u]\nservice = ss\ndata_centre = lima-b\nslots = 0\n[upstreams v]\n",
      "");
  BOOST_TEST(HasMessage(errors, "inventory.ini:3", "'Cusco' is not a valid name"));
  BOOST_TEST(HasMessage(errors, "inventory.ini:4", "appears twice in the list"));
  BOOST_TEST(HasMessage(errors, "inventory.ini:3", "is also listed in region 'lima' (line 1)"));
  BOOST_TEST(HasMessage(errors, "inventory.ini:6", "write lookup or keyed"));
  BOOST_TEST(HasMessage(errors, "inventory.ini:7", "not a power of two"));
  BOOST_TEST(HasMessage(errors, "inventory.ini:8", "did you mean 'slots'?"));
  BOOST_TEST(HasMessage(errors, "inventory.ini:9", "did you mean 's'?"));
  BOOST_TEST(HasMessage(errors, "inventory.ini:9", "did you mean 'lima-a'?"));
  BOOST_TEST(HasMessage(errors, "inventory.ini:12", "from 1 to 10000"));
  BOOST_TEST(HasMessage(errors, "inventory.ini:13", "did you mean 'upstream '?"));
  BOOST_TEST(errors.size() == 10U);
}

BOOST_AUTO_TEST_CASE(rules_must_name_places_and_services_that_exist) {
  const auto errors =
      Errors(kInventory,
             "[data_centres]\nout = lima-c\n[home_regions a]\ntenant = t\nregions = lma\n"
             "[home_regions b]\nservice = cronometrage\nregions = lima\n");
  BOOST_TEST(HasMessage(errors, "rules.ini:2", "'lima-c' is not in the inventory; did you mean"));
  BOOST_TEST(HasMessage(errors, "rules.ini:3", "did you mean 'lima'?"));
  BOOST_TEST(HasMessage(errors, "rules.ini:6", "did you mean 'cronometraje'?"));
}

BOOST_AUTO_TEST_CASE(home_rules_that_contradict_each_other_are_refused) {
  const auto errors = Errors(kInventory,
                             "[home_regions a]\ntenant = t\nregions = lima\n"
                             "[home_regions b]\nroute = /pay\nregions = cusco\n"
                             "[home_regions c]\ntenant = u\nregions = cusco\n");
  BOOST_TEST(errors.size() == 1U);
  BOOST_TEST(HasMessage(errors, "rules.ini:4", "no region in common"));
}

BOOST_AUTO_TEST_CASE(a_rule_for_nothing_and_a_stop_that_ends_before_it_begins_are_refused) {
  const auto errors = Errors(kInventory,
                             "[home_regions a]\nregions = lima\n[planned_stop p]\nupstream = u1\n"
                             "from = 2027-03-14 07:00\nuntil = 2027-03-14 06:00\n"
                             "[planned_stop q]\nupstream = u1\nfrom = 2027-02-29 07:00\n"
                             "[freshness]\nmax_staleness = 5 s\n");
  BOOST_TEST(HasMessage(errors, "rules.ini:1", "has no condition"));
  BOOST_TEST(HasMessage(errors, "rules.ini:6", "is not after"));
  BOOST_TEST(HasMessage(errors, "rules.ini:9", "is not a valid time"));
  BOOST_TEST(HasMessage(errors, "rules.ini:11", "at least '90 s'"));
  BOOST_TEST(errors.size() == 4U);
}

BOOST_AUTO_TEST_SUITE(warnings)

BOOST_AUTO_TEST_CASE(the_last_data_centre_of_a_region_out) {
  BOOST_TEST(Warnings("[data_centres]\nout = lima-a\n").empty());
  const auto warnings = Warnings("[data_centres]\nout = lima-a, lima-b\n");
  BOOST_TEST(warnings.size() == 1U);
  BOOST_TEST(HasMessage(warnings, "rules.ini:2", "last data centre of region 'lima' is out"));
  BOOST_TEST(HasMessage(Warnings("[data_centres]\nout = lima-a, lima-b, cusco-a\n"), "rules.ini:2",
                        "All data centres are out"));
}

BOOST_AUTO_TEST_CASE(a_home_region_without_an_upstream) {
  const auto warnings = Warnings("[home_regions a]\ntenant = t\nregions = cusco\n");
  BOOST_TEST(warnings.size() == 1U);
  BOOST_TEST(HasMessage(warnings, "rules.ini:1", "'cusco' of rule 'a' has no upstream"));
}

BOOST_AUTO_TEST_CASE(a_planned_stop_in_the_past_or_of_an_unknown_upstream) {
  const auto warnings = Warnings(
      "[planned_stop p]\nupstream = u2\nfrom = 2027-03-14 04:00\nuntil = 2027-03-14 05:00\n");
  BOOST_TEST(warnings.size() == 2U);
  BOOST_TEST(HasMessage(warnings, "rules.ini:1", "in the past"));
  BOOST_TEST(HasMessage(warnings, "rules.ini:1", "did you mean 'u1'?"));
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
