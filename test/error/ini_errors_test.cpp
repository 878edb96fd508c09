// Malformed INI text: the parser reports every bad line with its number and still reads the others.
#include <boost/test/unit_test.hpp>

#include "ini_document.h"

namespace bulrushway {

BOOST_AUTO_TEST_SUITE(ini_text)

BOOST_AUTO_TEST_CASE(lines_and_continuations_are_kept) {
  std::vector<error> errors;
  const auto document =
      ParseIni("a.ini", "; note\n[one]\nlist = a,\n   b\nkey: c ; note\r\n", errors);
  BOOST_TEST(errors.empty());
  const ini_section* section = document.Find("one");
  BOOST_REQUIRE(section != nullptr);
  BOOST_REQUIRE(section->entries.size() == 2U);
  BOOST_TEST(section->line == 2);
  BOOST_TEST(section->entries[0].value == "a, b");
  BOOST_TEST(section->entries[1].value == "c");
  BOOST_TEST(section->entries[1].line == 5);
}

BOOST_AUTO_TEST_CASE(a_long_line_is_read_whole_up_to_the_limit) {
  std::vector<error> errors;
  const std::string value(3000, 'v');
  const auto document = ParseIni("a.ini", "[one]\nkey = " + value + "\n", errors);
  BOOST_TEST(errors.empty());
  BOOST_TEST(document.sections.at(0).entries.at(0).value == value);
  ParseIni("a.ini", "[one]\nkey = " + std::string(kMaxIniLineBytes, 'v'), errors);
  BOOST_REQUIRE(errors.size() == 1U);
  BOOST_TEST(errors[0].peer == "a.ini:2");
}

BOOST_AUTO_TEST_CASE(each_bad_line_is_reported_once) {
  std::vector<error> errors;
  const auto document =
      ParseIni("a.ini",
               std::string("[one]\nnonsense\n[two\n[]\n= 5\nk = 1\nk = 2\n[one]\n[") +
                   std::string(60, 's') + "]\nz = a" + '\0' + "b\n",
               errors);
  std::vector<std::string> peers;
  peers.reserve(errors.size());
  for (const error& problem : errors) peers.push_back(problem.peer);
  const std::vector<std::string> expected = {"a.ini:2", "a.ini:3", "a.ini:4",  "a.ini:5",
                                             "a.ini:7", "a.ini:9", "a.ini:10", "a.ini:8"};
  BOOST_TEST(peers == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
