// Runs bulrushctl against the platform stand-in: racing operators, lost answers and outages.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "child_process.h"
#include "test_fleet.h"

namespace bulrushway::testing {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kCommandTimeout{20'000};
constexpr const char* kInventory =
    "[region lima]\ndata_centres = lima-a, lima-b\n[service cronometraje]\nkind = keyed\n";

struct operators {
  operators() : fleet("operators"), folder(std::filesystem::temp_directory_path().string()) {
    folder += "/bulrushway-operators-" + std::to_string(getpid());
    std::filesystem::create_directories(folder);
    Write("inventory.ini", kInventory);
    Write("rules.ini", Rules(1));
  }
  ~operators() { std::filesystem::remove_all(folder); }

  static std::string Rules(int share) {
    return "[tenant t]\nshare = " + std::to_string(share) + "\n";
  }

  void Write(const std::string& file, const std::string& text) const {
    std::ofstream(folder + "/" + file) << text;
  }

  std::string Read(const std::string& file) const {
    std::ifstream stream(folder + "/" + file);
    return {std::istreambuf_iterator<char>(stream), {}};
  }

  // Starts a process in which `author` applies rules with this share on top of version `base`.
  child_process Start(const std::string& author, int base, int share) const {
    Write(author + ".ini", Rules(share));
    Write(author + ".log", "");
    return {std::string(BULRUSHWAY_PROGRAMS) + "/bulrushctl",
            {"apply", "--inventory=" + folder + "/inventory.ini",
             "--rules=" + folder + "/" + author + ".ini", "--base=" + std::to_string(base),
             "--author=" + author, "--platform=" + ToString(fleet.Platform())},
            folder + "/" + author + ".log"};
  }

  std::pair<int, std::string> Apply(int base, int share) const {
    child_process command = Start("ana", base, share);
    command.WaitForEnd(kCommandTimeout);
    return {command.ExitStatus(), Read("ana.log")};
  }

  // Number of versions in the history.
  long Versions() const {
    const std::string history = fleet.Ctl({"history", "--limit=50"}).second;
    return std::count(history.begin(), history.end(), '\n');
  }

  test_fleet fleet;
  std::string folder;
};

bool Contains(const std::string& text, const std::string& words) {
  return text.find(words) != std::string::npos;
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(operators_command, operators)

BOOST_AUTO_TEST_CASE(of_two_racing_operators_exactly_one_is_accepted_each_round) {
  for (int base = 0; base < 15; ++base) {
    child_process ana = Start("ana", base, 100 + base);
    child_process ben = Start("ben", base, 200 + base);
    BOOST_REQUIRE(ana.WaitForEnd(kCommandTimeout));
    BOOST_REQUIRE(ben.WaitForEnd(kCommandTimeout));
    BOOST_REQUIRE(ana.ExitStatus() + ben.ExitStatus() == 2);
    BOOST_REQUIRE(ana.ExitStatus() != ben.ExitStatus());
    const bool ana_won = ana.ExitStatus() == 0;
    const std::string loser = Read(ana_won ? "ben.log" : "ana.log");
    BOOST_TEST(Contains(loser, ana_won ? "by ana" : "by ben"));
    BOOST_TEST(Contains(loser, "Changed meanwhile"));
  }
  BOOST_TEST(Versions() == 15);
}

BOOST_AUTO_TEST_CASE(a_few_lost_answers_are_settled) {
  BOOST_TEST(Apply(0, 1).first == 0);
  for (int lost = 1; lost <= 5; ++lost) {
    fleet.PlatformFaults("{\"lose_next\":" + std::to_string(lost) + "}");
    BOOST_TEST(Apply(lost, lost + 1).first == 0);
  }
  BOOST_TEST(Versions() == 6);
}

BOOST_AUTO_TEST_CASE(what_is_told_is_true_when_every_second_answer_is_lost) {
  BOOST_TEST(Apply(0, 1).first == 0);
  fleet.PlatformFaults(R"({"lose_answers":0.5})");
  int base = 1;
  int accepted = 0;
  for (int round = 0; round < 8; ++round) {
    const auto [status, output] = Apply(base, 100 + round);
    const int newest = static_cast<int>(Versions());
    if (status == 0) {
      BOOST_TEST(newest == base + 1);
      ++accepted;
    } else {
      BOOST_TEST(status == 3);
      BOOST_TEST(
          (Contains(output, "unknown") || (Contains(output, "not in force") && newest == base)));
    }
    base = newest;
  }
  BOOST_TEST(accepted >= 5);
}

BOOST_AUTO_TEST_CASE(an_outage_is_told_apart_from_a_refusal) {
  BOOST_TEST(Apply(0, 1).first == 0);
  fleet.PlatformFaults(R"({"outage":"unavailable"})");
  const auto [status, output] = fleet.Ctl({"out", "lima-a"});
  BOOST_TEST(status == 3);
  fleet.PlatformFaults(R"({"outage":"none"})");
  BOOST_TEST(fleet.Ctl({"out", "lima-a"}).first == 0);
  BOOST_TEST(fleet.Ctl({"out", "lima-a"}).first == 1);
  BOOST_TEST(fleet.Ctl({"back", "lima-a"}).first == 0);
}

BOOST_AUTO_TEST_CASE(files_with_mistakes_are_refused_with_their_lines_and_nothing_changes) {
  Write("rules.ini", "[data_centres]\nout = lima-z\n");
  const auto [status, output] = fleet.Ctl({"apply", folder});
  BOOST_TEST(status == 1);
  BOOST_TEST(Contains(output, "rules.ini:2"));
  BOOST_TEST(Contains(fleet.Ctl({"history"}).second, "There is no version yet"));
}

BOOST_AUTO_TEST_CASE(a_version_is_exported_edited_applied_and_rolled_back) {
  BOOST_TEST(fleet.Ctl({"apply", folder}).first == 0);
  const std::string copy = folder + "/copy";
  BOOST_TEST(fleet.Ctl({"export", copy}).first == 0);
  std::ofstream(copy + "/rules.ini") << Rules(9);
  BOOST_TEST(Contains(fleet.Ctl({"diff", copy}).second, "share: 1 -> 9"));
  BOOST_TEST(fleet.Ctl({"apply", copy}).first == 0);
  BOOST_TEST(Read("copy/VERSION") == "2\n");
  BOOST_TEST(fleet.Ctl({"rollback", "1"}).first == 0);
  BOOST_TEST(fleet.Ctl({"rollback", "77"}).first == 1);
  BOOST_TEST(Contains(fleet.Ctl({"diff", "1", "3"}).second, "no difference"));
  BOOST_TEST(Contains(fleet.Ctl({"apply", folder, "--base=3"}).second, "already"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway::testing
