// The parser reports all mistakes in a settings file at once, each with its line and a remedy.
#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "daemon_settings.h"

namespace bulrushway {

namespace {

constexpr const char* kValidSettings =
    "[node]\nname = lima-a-01\nservice = corredores\nregion = lima\ndata_centre = lima-a\n"
    "rack = r1\n[listen]\nhttp = 10.1.2.3:8080\npeer = 10.1.2.3:8081\n[target]\n"
    "address = 127.0.0.1:9000\n[platform]\naddresses = 10.1.2.4:7000\n";

std::vector<error> ParseErrors(const std::string& text) {
  const checked<daemon_settings> settings = ParseDaemonSettings("node.ini", text);
  return settings ? std::vector<error>{} : settings.error();
}

bool HasMessage(const std::vector<error>& errors, const std::string& location,
                const std::string& text) {
  return std::any_of(errors.begin(), errors.end(), [&](const error& problem) {
    return problem.kind == error_kind::kUser && problem.peer == location &&
           problem.message.find(text) != std::string::npos;
  });
}

}  // namespace

BOOST_AUTO_TEST_SUITE(settings)

BOOST_AUTO_TEST_CASE(a_complete_file_is_read_with_defaults) {
  const checked<daemon_settings> settings = ParseDaemonSettings("node.ini", kValidSettings);
  BOOST_REQUIRE(settings);
  BOOST_TEST(settings->node.name == "lima-a-01");
  BOOST_TEST(ToString(settings->listen.peer) == "10.1.2.3:8081");
  BOOST_TEST(settings->limits.max_body == 1024U * 1024U);
  BOOST_TEST(settings->limits.default_deadline.count() == 2000);
  BOOST_TEST(settings->target.slots.has_value() == false);
}

BOOST_AUTO_TEST_SUITE(mistakes)

BOOST_AUTO_TEST_CASE(an_unknown_key_names_the_nearest_one) {
  const auto errors = ParseErrors(std::string(kValidSettings) + "[limits]\nmax_bdy = 1 MiB\n");
  BOOST_TEST(errors.size() == 1U);
  BOOST_TEST(HasMessage(errors, "node.ini:15", "did you mean 'max_body'?"));
}

BOOST_AUTO_TEST_CASE(an_unknown_section_names_the_nearest_one) {
  BOOST_TEST(HasMessage(ParseErrors(std::string(kValidSettings) + "[limit]\n"), "node.ini:14",
                        "'limits'"));
}

BOOST_AUTO_TEST_CASE(a_missing_unit_is_told_with_an_example) {
  const auto errors =
      ParseErrors(std::string(kValidSettings) + "[limits]\ndefault_deadline = 250\n");
  BOOST_TEST(HasMessage(errors, "node.ini:15", "'250' has no unit"));
  BOOST_TEST(HasMessage(errors, "node.ini:15", "'250 ms'"));
}

BOOST_AUTO_TEST_CASE(an_empty_file_asks_for_every_required_key) {
  const auto errors = ParseErrors("");
  BOOST_TEST(errors.size() == 9U);
  BOOST_TEST(HasMessage(errors, "node.ini:1", "'addresses = 10.1.2.3:7000, 10.1.2.4:7000'"));
}

BOOST_AUTO_TEST_CASE(all_mistakes_are_reported_at_once) {
  const auto errors = ParseErrors(
      "[node]\nname = Lima A\nservice = corredores\nregion = lima\ndata_centre = lima-a\n"
      "rack = r1\nweight = 0\nweight = 5\n[listen]\nhttp = 10.1.2.3:8080\npeer = 10.1.2.3:8080\n"
      "[target]\naddress = localhost:9000\nchecks_grants = true\n[platform]\n"
      "addresses = 10.1.2.4:7000, 10.1.2.4:7000,\nnonsense\n[limits]\nmax_body = 1 MB\n"
      "default_deadline = 40 s\n[log]\nlevel = loud\n");
  BOOST_TEST(errors.size() == 12U);
  BOOST_TEST(HasMessage(errors, "node.ini:2", "'Lima A' is not a valid name"));
  BOOST_TEST(HasMessage(errors, "node.ini:7", "from 1 to 1000"));
  BOOST_TEST(HasMessage(errors, "node.ini:8", "appears twice in section [node], first on line 7"));
  BOOST_TEST(HasMessage(errors, "node.ini:11", "also the address for http"));
  BOOST_TEST(HasMessage(errors, "node.ini:13", "\"localhost:9000\" is not an IPv4 number"));
  BOOST_TEST(HasMessage(errors, "node.ini:14", "'true' is neither 'yes' nor 'no'"));
  BOOST_TEST(HasMessage(errors, "node.ini:16", "appears twice in the list"));
  BOOST_TEST(HasMessage(errors, "node.ini:16", "\"\" has no port"));
  BOOST_TEST(HasMessage(errors, "node.ini:17", "neither '[section]'"));
  BOOST_TEST(HasMessage(errors, "node.ini:19", "unknown unit 'MB'"));
  BOOST_TEST(HasMessage(errors, "node.ini:20", "longer than max_deadline"));
  BOOST_TEST(HasMessage(errors, "node.ini:22", "'loud' is no level"));
}

BOOST_AUTO_TEST_CASE(a_file_that_is_not_there_is_a_user_error) {
  const auto settings = ReadDaemonSettings("/nonexistent/node.ini");
  BOOST_REQUIRE(!settings);
  BOOST_TEST(HasMessage(settings.error(), "/nonexistent/node.ini", "cannot be opened"));
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
