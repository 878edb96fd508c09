// The documentation lists every event and every refusal reason.
#include "event_catalogue.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <iterator>
#include <set>

#include "refusal.h"

namespace bulrushway {
namespace {

std::string ReadDocument(const std::string& name) {
  std::ifstream file(std::string(BULRUSHWAY_SOURCE) + "/docs/" + name);
  return {std::istreambuf_iterator<char>(file), {}};
}

BOOST_AUTO_TEST_SUITE(the_documentation)

BOOST_AUTO_TEST_CASE(lists_every_event_with_its_number_and_meaning) {
  const std::string page = ReadDocument("EVENTS.md");
  std::set<event_id> ids;
  for (const event_entry& entry : EventCatalogue()) {
    const std::string number = "BW-0" + std::to_string(static_cast<unsigned>(entry.id));
    BOOST_TEST_CONTEXT(number) {
      BOOST_TEST(page.find("| " + number + " | " + std::string(entry.name) + " |") !=
                 std::string::npos);
      BOOST_TEST(ids.insert(entry.id).second);
    }
  }
}

BOOST_AUTO_TEST_CASE(lists_every_refusal_reason) {
  const std::string page = ReadDocument("CALLERS.md");
  for (int code = 1; code < static_cast<int>(refusal_reason::kCount); ++code) {
    const std::string name(Name(static_cast<refusal_reason>(code)));
    BOOST_TEST_CONTEXT(name) { BOOST_TEST(page.find("`" + name + "`") != std::string::npos); }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bulrushway
