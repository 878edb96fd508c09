#include "lease.h"

#include <boost/test/unit_test.hpp>

namespace bulrushway {
namespace {

using std::chrono::milliseconds;

constexpr instant kStart = instant{} + std::chrono::hours(1);
constexpr uint64_t kProcess = 7;

term_record Record() {
  term_record record;
  record.id = {"n0", 1};
  record.witnesses = {"w1", "w2", "w3"};
  return record;
}

renew_answer Acknowledge(uint64_t sequence, uint64_t process = kProcess) {
  return {{"n0", 1}, sequence, process, renew_status::kAcknowledged};
}

/// A lease whose witnesses have told their process and whose renewals were sent at the start.
/// Sequences 4, 5 and 6 are the renewals that w1, w2 and w3 may acknowledge.
lease Introduced() {
  lease made({}, Record());
  made.Renew(kStart, true);
  uint64_t sequence = 0;
  for (const char* witness : {"w1", "w2", "w3"}) {
    const renew_answer other{{"n0", 1}, ++sequence, kProcess, renew_status::kOtherProcess};
    made.OnAnswer(kStart, witness, other, true);
  }
  return made;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(the_lease_of_a_term)

BOOST_AUTO_TEST_SUITE(begins)

BOOST_AUTO_TEST_CASE(with_two_of_three_acknowledgements) {
  lease held = Introduced();
  held.OnAnswer(kStart + milliseconds(20), "w1", Acknowledge(4), true);
  BOOST_CHECK(!held.Good(kStart + milliseconds(20)));
  held.OnAnswer(kStart + milliseconds(30), "w2", Acknowledge(5), true);
  BOOST_CHECK(held.Good(kStart + milliseconds(30)));
}

BOOST_AUTO_TEST_CASE(counted_from_the_sending_of_the_renewal) {
  lease held = Introduced();
  held.OnAnswer(kStart + milliseconds(400), "w1", Acknowledge(4), true);
  held.OnAnswer(kStart + milliseconds(600), "w2", Acknowledge(5), true);
  BOOST_CHECK(held.Expiry() == kStart + milliseconds(1000));
}

BOOST_AUTO_TEST_CASE(not_with_the_word_of_another_process) {
  lease held = Introduced();
  held.OnAnswer(kStart, "w1", Acknowledge(4, kProcess + 1), true);
  held.OnAnswer(kStart, "w2", Acknowledge(5, kProcess + 1), true);
  BOOST_CHECK(!held.Good(kStart));
}

BOOST_AUTO_TEST_CASE(not_with_one_witness_counted_twice) {
  lease held = Introduced();
  held.OnAnswer(kStart, "w1", Acknowledge(4), true);
  held.OnAnswer(kStart, "w1", Acknowledge(4), true);
  BOOST_CHECK(!held.Good(kStart));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ends)

BOOST_AUTO_TEST_CASE(for_good_when_it_lapsed_once) {
  lease held = Introduced();
  held.OnAnswer(kStart, "w1", Acknowledge(4), true);
  held.OnAnswer(kStart, "w2", Acknowledge(5), true);
  const instant later = kStart + milliseconds(1000);
  BOOST_CHECK(!held.Good(later));
  held.Check(later);
  held.OnAnswer(later, "w3", Acknowledge(6), true);
  BOOST_CHECK(held.Lapsed());
  BOOST_CHECK(!held.Good(kStart));
  BOOST_CHECK(held.Renew(later, true).empty());
}

BOOST_AUTO_TEST_CASE(for_its_successor_with_two_witnesses_that_closed_it) {
  lease held = Introduced();
  held.OnAnswer(kStart, "w1", Acknowledge(4), true);
  held.OnAnswer(kStart, "w2", Acknowledge(5), true);
  term_record next = Record();
  next.id.number = 2;
  held.BeginSupersede(next);
  // w3 never acknowledged a renewal, so it is not asked.
  BOOST_CHECK_EQUAL(held.Supersede(kStart).size(), 2U);
  BOOST_CHECK(held.Renew(kStart + milliseconds(500), true).empty());
  held.OnSupersedeAnswer(kStart, "w1", {{"n0", 1}, 7, kProcess, renew_status::kAcknowledged});
  BOOST_CHECK(!held.Superseded());
  held.OnSupersedeAnswer(kStart, "w2", {{"n0", 1}, 8, kProcess, renew_status::kAcknowledged});
  BOOST_CHECK(held.Superseded());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
