// Configuration documents: the shipped examples are valid, and rules, edits and differences have
// the effects that operators expect of them.
#include <boost/test/unit_test.hpp>

#include "configuration.h"
#include "configuration_check.h"
#include "configuration_diff.h"
#include "configuration_parser.h"
#include "daemon_settings.h"
#include "rules_edit.h"

namespace bulrushway {
namespace {

using std::chrono::hours;
using std::chrono::sys_days;
using std::chrono::sys_seconds;

constexpr sys_seconds kNow = sys_days(std::chrono::year(2027) / 3 / 14) + std::chrono::hours(6);

std::string Example(const std::string& file) {
  return *ReadTextFile(std::string(BULRUSHWAY_SOURCE) + "/examples/" + file);
}

checked_configuration LoadExample(const std::string& folder) {
  configuration_texts texts;
  texts.inventory = Example(folder + "/inventory.ini");
  texts.rules = Example(folder + "/rules.ini");
  const auto outcome = ParseConfiguration(texts, kNow);
  if (!outcome) BOOST_FAIL(ToString(outcome.error().front()));
  return *outcome;
}

rule_set Rules(const std::string& text) {
  std::vector<error> errors;
  const ini_document document = ParseIni("rules.ini", text, errors);
  rule_set rules = ParseRules(document, errors);
  BOOST_REQUIRE(errors.empty());
  return rules;
}

std::vector<std::string> Names(std::vector<std::string> names) { return names; }

}  // namespace

BOOST_AUTO_TEST_SUITE(configuration_documents)

BOOST_AUTO_TEST_SUITE(examples)

BOOST_AUTO_TEST_CASE(both_deployments_are_valid_and_without_warnings) {
  for (const std::string folder : {"association", "federal_office"}) {
    const checked_configuration example = LoadExample(folder);
    BOOST_TEST(example.warnings.empty());
    BOOST_TEST(example.value.inventory.regions.size() == 3U);
    BOOST_TEST(example.value.inventory.upstreams.size() == 15U);
    BOOST_TEST(SlotsOf(example.value.inventory, "a-node-not-listed", "druck") == 12U);
    BOOST_TEST(ParseDaemonSettings("node.ini", Example(folder + "/node.ini")).has_value());
  }
}

BOOST_AUTO_TEST_CASE(services_have_the_kinds_and_upstreams_of_the_association) {
  const configuration association = LoadExample("association").value;
  BOOST_TEST((association.inventory.FindService("corredores")->kind == service_kind::kLookup));
  BOOST_TEST((association.inventory.FindService("cronometraje")->kind == service_kind::kKeyed));
  BOOST_TEST(association.inventory.RegionOf("cusco-b")->name == "cusco");
  BOOST_TEST(association.inventory.FindUpstream("corredores-lima-a-2")->connections == 130U);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE(rules)

BOOST_AUTO_TEST_CASE(home_regions_are_those_that_all_rules_for_the_request_allow) {
  const rule_set rules = Rules(
      "[home_regions one]\ntenant = t\nregions = lima, cusco\n"
      "[home_regions two]\nservice = s\nroute = /pay\nregions = cusco, arequipa\n");
  BOOST_TEST(HomeRegions(rules, "s", "t", "/pay/7?x=1") == Names({"cusco"}),
             boost::test_tools::per_element());
  BOOST_TEST(HomeRegions(rules, "s", "t", "/payments") == Names({"lima", "cusco"}),
             boost::test_tools::per_element());
  BOOST_TEST(HomeRegions(rules, "other", "u", "/pay").empty());
}

BOOST_AUTO_TEST_CASE(contradicting_rules_serve_a_request_nowhere) {
  const rule_set rules = Rules(
      "[home_regions one]\ntenant = t\nregions = lima\n"
      "[home_regions two]\nservice = s\nregions = cusco\n");
  BOOST_TEST(HomeRegions(rules, "s", "t", "/") == Names({std::string(kNoRegion)}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_planned_stop_holds_from_its_begin_to_before_its_end) {
  const rule_set rules = Rules(
      "[planned_stop a]\nupstream = u\nfrom = 2027-03-14 06:00\nuntil = 2027-03-14T07:00:00Z\n"
      "[planned_stop b]\nupstream = v\nfrom = 2027-03-14 06:00\n");
  BOOST_TEST(FindActiveStop(rules, "u", kNow - std::chrono::seconds(1)) == nullptr);
  BOOST_TEST(FindActiveStop(rules, "u", kNow) != nullptr);
  BOOST_TEST(FindActiveStop(rules, "u", kNow + hours(1)) == nullptr);
  BOOST_TEST(FindActiveStop(rules, "v", kNow + hours(10'000)) != nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE(edits)

BOOST_AUTO_TEST_CASE(a_data_centre_goes_out_and_back_and_comments_stay) {
  const std::string before = Example("association/rules.ini");
  const std::string out = TakeDataCentreOut(before, "cusco-a").value();
  BOOST_TEST(Rules(out).IsDataCentreOut("cusco-a"));
  const std::string both = TakeDataCentreOut(out, "cusco-b").value();
  BOOST_TEST(Rules(both).data_centres_out.size() == 2U);
  const std::string back =
      BringDataCentreBack(BringDataCentreBack(both, "cusco-a").value(), "cusco-b").value();
  BOOST_TEST(back == before);
  BOOST_TEST(!TakeDataCentreOut(out, "cusco-a").has_value());
  BOOST_TEST(!BringDataCentreBack(before, "cusco-a").has_value());
}

BOOST_AUTO_TEST_CASE(an_edit_works_on_empty_rules_and_on_continued_lists) {
  BOOST_TEST(Rules(TakeDataCentreOut("", "a").value()).IsDataCentreOut("a"));
  const std::string continued = "[data_centres]\nout = a,\n  b\n; end\n";
  const std::string edited = BringDataCentreBack(continued, "a").value();
  BOOST_TEST(edited == "[data_centres]\nout = b\n; end\n");
}

BOOST_AUTO_TEST_CASE(a_drain_is_a_stop_without_an_end_and_can_be_undone) {
  const std::string before = Example("association/rules.ini");
  const std::string with_drain = AddPlannedStop(before, "u", kNow, std::nullopt).value();
  const std::string with_two_stops =
      AddPlannedStop(with_drain, "u", kNow + hours(1), kNow + hours(2)).value();
  BOOST_TEST(Rules(with_two_stops).planned_stops.size() == 2U);
  BOOST_TEST(FindActiveStop(Rules(with_two_stops), "u", kNow + hours(50)) != nullptr);
  BOOST_TEST(Rules(RemovePlannedStops(with_two_stops, "u").value()).planned_stops.empty());
  BOOST_TEST(!RemovePlannedStops(before, "u").has_value());
}

BOOST_AUTO_TEST_CASE(rules_that_do_not_parse_are_not_edited) {
  BOOST_TEST(!TakeDataCentreOut("[data_centers]\nout = a\n", "b").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE(difference)

BOOST_AUTO_TEST_CASE(sections_and_keys_that_differ_are_told_in_text_and_json) {
  const configuration before = LoadExample("association").value;
  configuration after = before;
  after.inventory.upstreams.pop_back();
  after.inventory.services[0].slots = 24;
  after.rules.data_centres_out = {"cusco-a"};
  const configuration_diff diff = Diff(before, after);
  BOOST_REQUIRE(diff.inventory.size() == 2U);
  BOOST_TEST(ToText(diff) ==
             "inventory:\n  changed [service corredores]\n    slots: 12 -> 24\n"
             "  removed [upstream cronometraje-cusco-b-1]\n"
             "rules:\n  added [data_centres]\n    out: cusco-a\n");
  BOOST_TEST(ToJson(diff).find(R"({"after":"24","before":"12","key":"slots"})") !=
             std::string::npos);
  BOOST_TEST(Diff(before, before).empty());
}

BOOST_AUTO_TEST_CASE(slices_and_kind_of_a_service_cannot_change) {
  const configuration before = LoadExample("association").value;
  configuration after = before;
  after.inventory.services[1].slices = 2048;
  after.inventory.services[0].kind = service_kind::kKeyed;
  const std::vector<error> errors = CheckChange(before, after, "inventory.ini");
  BOOST_TEST(errors.size() == 2U);
  BOOST_TEST(CheckChange(before, before, "inventory.ini").empty());
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
