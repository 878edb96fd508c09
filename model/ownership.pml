/*
 * Core of docs/design/ownership.md: one slice, its owner N with term 1 and a successor term 2, the heirs
 * H1 and H2, a receiver M and the three witnesses of term 1.
 *
 * Term 1 is modelled in full. What the model proves of it (a term called gone is never used again) is
 * taken as given for the other terms: term 2, H1 and M lapse at any moment and are gone only after.
 *
 * Time is counted in ticks of half a lease. A message that stays in its slot is late; one that is
 * overwritten or never taken is lost; one may be taken and stay (duplicate). A paused process takes no
 * step while the clock goes on. Faults are bounded by the budgets below. After the faults have stopped
 * all new messages arrive and the slice must be served within RECOVERY ticks.
 *
 * Flags: -DHEIRS H1 is lost or changes its own term, -DSUCCESSOR term 2 exists, -DMOVE term 2 gives the
 * slice to M, -DRESTARTS=n restarts of witnesses, -DRECOVER checks service after the faults,
 * -DMUTANT_x breaks one rule.
 */

#ifndef RESTARTS
#define RESTARTS 0
#endif
#define HEIR_LOSSES 1

#define LEASE 2
#define LAPSE 2
#define QUIET 2
#define ROUND 2
#define RECOVERY 4
#define ALL(each) each : 0 .. 2

mtype = { none, renewal, ack };
mtype = { up, lapsed, gone, asking, superseded };

/* Owner N. */
bool n_up = true;
bool n_lapsed;            /* term 1 lapsed in N's own eyes: final */
byte granted[3] = LEASE;  /* remaining lease by witness, counted from the sending of the renewal */
byte known[3] = 1;        /* incarnation of the witness that N addresses */
bool acked[3] = true;     /* that incarnation has acknowledged a renewal of term 1 */
byte phase;               /* 0 term 1 alone, 1 term 2 is in the store, 2 asking to supersede, 3 active */
mtype term2 = none;      /* none, up, lapsed, gone */
bool released;
bool in_flight;           /* a request of the slice runs at N */

/* Messages: one exchange of renewal and acknowledgement, one question to supersede, by witness. */
mtype slot[3] = none;
byte slot_lease[3];
byte slot_incarnation[3];
bool question[3];
bool promise_sent[3];     /* an answer "superseded" exists: to N and to heirs, at any later time */

/* Witnesses of term 1. */
byte incarnation[3] = 1;
bool heard[3] = true;
byte silence[3] = LAPSE;  /* ticks until the term counts as lapsed */
byte quiet[3];
bool attested[3];
bool promised[3];

/* The heirs, as one asker that tells everything at once, and the receiver. */
byte round_left;
bool counted[3];
bool fresh_open;          /* read in this round: the record of term 1 is the newest */
bool fresh_closed;        /* read in this round: term 2 is written; its witnesses will grant it no lease */
bool gone1;
bool verdict;             /* the store says that term 1 is gone, as no witness can */
mtype h1 = up;
mtype m = up;
bool m_released;

/* Budgets. */
byte restarts;
byte heir_losses;
bool faults_stopped;
byte recovery;
byte highest_epoch;

#include "holders.pml"

/* At most one holder at any moment, and its epoch never goes back. */
inline check() {
  forget();
  assert(HOLDERS <= 1);
  assert(EPOCH >= highest_epoch);
  highest_epoch = EPOCH
}

/* Forgets what no step can use any more, so that equal states are stored once. */
inline forget() {
  for (ALL(v)) {
    if
    :: attested[v] || promised[v] || gone1 -> heard[v] = true; silence[v] = 0
    :: else
    fi;
    if
    :: !n_up || n_lapsed || phase == 3 ->
      granted[v] = 0;
      if :: slot[v] == ack -> slot[v] = none; slot_lease[v] = 0; slot_incarnation[v] = 0 :: else fi
    :: else
    fi
  }
}

inline lower(x) {
  if :: x > 0 -> x-- :: else fi
}

inline n_stops_if_lapsed() {
#ifndef MUTANT_resume_after_lapse
#ifndef MUTANT_no_clock_check
  if :: phase < 3 && GRANTS < 2 -> n_lapsed = true :: else fi;
#endif
#endif
  skip
}

inline tick() {
  for (ALL(w)) {
    lower(granted[w]);
    lower(silence[w]);
    lower(quiet[w]);
#ifdef MUTANT_lease_from_receipt
    if :: slot[w] == renewal -> lower(slot_lease[w]) :: else fi;
#else
    lower(slot_lease[w]);
#endif
    if :: !heard[w] -> silence[w] = 0 :: else fi
  }
  lower(round_left);
#ifndef MUTANT_answers_of_earlier_round
  if :: round_left == 0 -> counted[0] = 0; counted[1] = 0; counted[2] = 0; fresh_open = false; fresh_closed = false :: else fi;
#endif
  n_stops_if_lapsed()
}

#define N_RENEWS (n_up && !n_lapsed && phase < 3 && !(phase == 2 && term2 != up))

inline send_renewal(w) {
  slot[w] = renewal;
  slot_lease[w] = LEASE;
  slot_incarnation[w] = known[w]
}

#ifdef MUTANT_no_incarnation
#define ADDRESSED(w, i) true
#else
#define ADDRESSED(w, i) (i == incarnation[w])
#endif
#ifdef MUTANT_acknowledge_after_restart
#define AWAKE(w) true
#else
#define AWAKE(w) (quiet[w] == 0)
#endif
#ifdef MUTANT_renew_attested
#define REFUSES(w) false
#else
#define REFUSES(w) attested[w]
#endif

/* The witness takes the renewal; `stays` leaves it in the slot as a late duplicate. */
inline take_renewal(w, stays) {
  if
  :: ADDRESSED(w, slot_incarnation[w]) && !REFUSES(w) ->
    heard[w] = true;
    silence[w] = LAPSE;
    if
    :: AWAKE(w) && !stays ->
      slot[w] = ack;
      slot_incarnation[w] = incarnation[w]
#ifdef MUTANT_lease_from_receipt
      ; slot_lease[w] = LEASE
#endif
    :: else -> if :: !stays -> slot[w] = none; slot_lease[w] = 0; slot_incarnation[w] = 0 :: else fi
    fi
  :: else -> slot[w] = none; slot_lease[w] = 0; slot_incarnation[w] = 0
  fi
}

inline take_ack(w) {
  if
  :: n_up && !n_lapsed ->
    if :: slot_lease[w] > granted[w] -> granted[w] = slot_lease[w] :: else fi;
    if :: slot_incarnation[w] == known[w] -> acked[w] = true :: else fi
  :: else
  fi;
  slot[w] = none; slot_lease[w] = 0; slot_incarnation[w] = 0
}

#define CALLS_LAPSED(w) (attested[w] || (!promised[w] && quiet[w] == 0 && \
                         ((heard[w] && silence[w] == 0) || \
                          (!heard[w] && (fresh_open || fresh_closed)))))

#ifdef MUTANT_one_attestation
#define NEEDED 1
#else
#define NEEDED 2
#endif

inline take_attestation(w) {
  attested[w] = true;
  counted[w] = true;
  if
  :: COUNT(counted) >= NEEDED ->
    gone1 = true;
    verdict = verdict || fresh_closed;
    fresh_closed = false;
    counted[0] = 0; counted[1] = 0; counted[2] = 0; round_left = 0; fresh_open = false
  :: else
  fi
}

inline restart(w) {
  incarnation[w]++;
  heard[w] = false; silence[w] = 0;
  attested[w] = false; promised[w] = false;
  quiet[w] = QUIET;
  restarts++
}

inline ask_to_supersede() {
  phase = 2;
  term2 = up;
#ifdef MUTANT_ask_unacknowledged
  for (ALL(w)) { question[w] = true }
#else
  for (ALL(w)) { question[w] = acked[w] }
#endif
}

#ifdef MUTANT_promise_after_restart
#define IS_ASKED(w) question[w]
#else
#define IS_ASKED(w) (question[w] && known[w] == incarnation[w])
#endif

inline take_question(w) {
  promised[w] = true;
  promise_sent[w] = true
}

#ifdef MUTANT_one_promise
#define PROMISES_NEEDED 1
#else
#define PROMISES_NEEDED 2
#endif
#define MAY_ACTIVATE (LEASE1 && phase == 2 && term2 == up)

#ifdef MUTANT_follow_restarted_witness
#define MAY_LEARN (N_RENEWS)
#else
#define MAY_LEARN (N_RENEWS && phase < 2)
#endif

#ifdef MUTANT_stale_record
#define RECORD_OPEN true
#else
#define RECORD_OPEN (phase == 0)
#endif

/* All members of both chains have been asked: none holds a proof, none will use one from now on. */
#ifdef MUTANT_verdict_while_term_2_lives
#define MAY_JUDGE (phase == 2 && !gone1 && !PROOF)
#elif defined(MUTANT_no_verdict)
#define MAY_JUDGE false
#else
#define MAY_JUDGE (phase == 2 && !gone1 && !PROOF && term2 == gone)
#endif

#define FAULTS (!faults_stopped)

/* What is in flight is lost with the last fault. */
inline stop_faults() {
  faults_stopped = true;
  for (ALL(v)) { slot[v] = none; slot_lease[v] = 0; slot_incarnation[v] = 0; counted[v] = false }
  round_left = 0;
  fresh_open = false;
  fresh_closed = false
}

/* Steps of a witness and of N with it. After the faults one renewal is sent in each tick. */
#define WITNESS_STEPS(w) \
  :: d_step { N_RENEWS && slot[w] != ack && (FAULTS || granted[w] < LEASE) && \
              slot_lease[w] < LEASE -> send_renewal(w); check() } \
  :: d_step { slot[w] == renewal -> take_renewal(w, false); check() } \
  :: d_step { slot[w] == renewal && FAULTS && ADDRESSED(w, slot_incarnation[w]) -> \
              take_renewal(w, true); check() } \
  :: d_step { slot[w] == ack -> take_ack(w); check() } \
  :: d_step { round_left > 0 && !counted[w] && CALLS_LAPSED(w) -> take_attestation(w); check() }

#define TAKE_QUESTION(w) \
  :: d_step { IS_ASKED(w) && !promised[w] && !attested[w] -> take_question(w); check() }

active proctype system() {
  byte w, v;
  do
  WITNESS_STEPS(0)
  WITNESS_STEPS(1)
  WITNESS_STEPS(2)

  /* Attestation. */
  :: d_step { !gone1 && round_left == 0 && (FAULTS || !N_RENEWS) -> round_left = ROUND; fresh_open = false; fresh_closed = false; check() }
  :: d_step { round_left > 0 && !fresh_open && RECORD_OPEN && restarts > 0 -> fresh_open = true; check() }

  /* Faults. Witnesses are alike, so only the first ones restart. */
  :: d_step { FAULTS && restarts < RESTARTS -> restart(0); check() }
  :: d_step { FAULTS && restarts > 0 && restarts < RESTARTS && incarnation[1] == 1 -> restart(1); check() }
  :: d_step { FAULTS && n_up -> n_up = false; if :: term2 == up -> term2 = lapsed :: else fi; check() }
#ifdef HEIRS
  :: d_step { FAULTS && heir_losses < HEIR_LOSSES && h1 == up -> h1 = lapsed; heir_losses++; check() }
  :: d_step { h1 == lapsed -> h1 = gone; check() }
  /* H1 changes its own term to one that does not list the slice: not once it has taken it over. */
#ifdef MUTANT_heir_serves_unlisted
  :: d_step { FAULTS && h1 == up -> h1 = asking; check() }
#else
  :: d_step { FAULTS && h1 == up && !gone1 -> h1 = asking; check() }
#endif
  :: d_step { h1 == asking -> h1 = superseded; check() }
#endif
#if RESTARTS > 0
  :: d_step { MAY_LEARN && known[0] != incarnation[0] -> known[0] = incarnation[0]; acked[0] = false; check() }
  :: d_step { MAY_LEARN && known[1] != incarnation[1] -> known[1] = incarnation[1]; acked[1] = false; check() }
#endif

#ifdef SUCCESSOR
  :: d_step { FAULTS && phase == 0 && LEASE1 -> phase = 1; check() }
  :: d_step { FAULTS && phase == 1 && term2 == none && LEASE1 && COUNT(acked) >= 2 -> ask_to_supersede(); check() }
  TAKE_QUESTION(0)
  TAKE_QUESTION(1)
  TAKE_QUESTION(2)
  :: d_step { MAY_ACTIVATE && COUNT(promise_sent) >= PROMISES_NEEDED -> phase = 3; check() }
  :: d_step { FAULTS && term2 == up -> term2 = lapsed; check() }
  :: d_step { n_lapsed && phase == 2 && term2 == up -> term2 = lapsed; check() }
  :: d_step { term2 == lapsed -> term2 = gone; check() }
#endif

#if RESTARTS > 0 && defined(SUCCESSOR)
  :: d_step { round_left > 0 && !fresh_closed && !fresh_open && phase == 1 && restarts > 0 -> fresh_closed = true; term2 = gone; check() }
  :: d_step { restarts > 0 && MAY_JUDGE -> verdict = true; gone1 = true; check() }
#endif

#ifdef MOVE
  :: d_step { FAULTS && phase == 3 && LEASE2 && !released && !in_flight -> in_flight = true; check() }
  :: d_step { in_flight -> in_flight = false; check() }
#ifdef MUTANT_release_before_drained
  :: d_step { phase == 3 && LEASE2 && !released -> released = true; check() }
#else
  :: d_step { phase == 3 && LEASE2 && !released && !in_flight -> released = true; check() }
#endif
  :: d_step { released && !m_released && m == up -> m_released = true; check() }
  :: d_step { FAULTS && heir_losses < HEIR_LOSSES && m == up -> m = lapsed; heir_losses++; check() }
  :: d_step { m == lapsed -> m = gone; check() }
#endif

  /* Time passes: between any two steps as long as there are faults, else when nothing is left to do. */
  :: d_step { FAULTS -> tick(); check() }
#ifdef RECOVER
  :: d_step { FAULTS -> stop_faults(); check() }
  :: atomic { timeout && faults_stopped && recovery < RECOVERY -> d_step { tick(); recovery++; check() } }
  :: atomic { timeout && recovery == RECOVERY -> assert(HOLDERS == 1); break }
#endif
  od
}
