/*
 * Two nodes close one record in the store when every member of its chain is gone. Answers of the store
 * are lost before or after the write took effect, requests arrive late and twice, the store may be
 * down at any time (it takes no step then), and a holder may be lost after its write.
 *
 * Checked: one holder at most; the epoch never goes back; what was acknowledged stays in the record
 * until the holder is gone; when nothing is left to happen a live node holds the slice and the record
 * says so.
 */

#define LOST_ANSWERS 2
#define LOSSES 1
#define OPERATIONS 4

mtype = { idle, waiting, holding, gave_up };
mtype = { nothing, committed, conflict };

/* The record, and the outcomes that the store remembers by operation id. */
byte version = 1;
byte owner;              /* 0 nobody, else 1 + node */
byte epoch = 1;
mtype outcome[8] = nothing;

/* By node: the transaction in the network and the answer to it. */
mtype state[2] = idle;
byte operation[2];
bool requested[2];
byte condition[2];       /* version that the record must have; 0 any */
byte new_epoch[2];
mtype answer[2] = nothing;
byte held_epoch[2];
bool lapsed[2];
bool gone[2];

byte lost_answers;
byte losses;
byte highest_epoch;

#define HOLDS(i) (state[i] == holding && !lapsed[i])
#define ID(i) (i * OPERATIONS + operation[i])

inline check() {
  assert(!(HOLDS(0) && HOLDS(1)));
  assert(!HOLDS(0) || owner == 1);
  assert(!HOLDS(1) || owner == 2);
  assert(epoch >= highest_epoch);
  highest_epoch = epoch
}

inline hold(i) {
  state[i] = holding;
  held_epoch[i] = new_epoch[i]
}

/* Reads the record and decides: it is mine, it is free, or its owner is gone. */
inline read_record(i) {
  if
  :: owner == 1 + i -> new_epoch[i] = epoch; hold(i)
  :: owner == 0 || (owner == 2 - i && gone[1 - i]) ->
    condition[i] = version;
    new_epoch[i] = epoch + 1;
    requested[i] = true;
    answer[i] = nothing;
    state[i] = waiting
  :: else
  fi
}

/* The store runs the transaction once for each operation id; the request may stay as a duplicate. */
inline commit(i) {
  if
  :: outcome[ID(i)] != nothing
  :: outcome[ID(i)] == nothing && (condition[i] == 0 || condition[i] == version) ->
    owner = 1 + i;
    epoch = new_epoch[i];
    version++;
    outcome[ID(i)] = committed
  :: else -> outcome[ID(i)] = conflict
  fi;
  answer[i] = outcome[ID(i)]
}

inline take_answer(i) {
  if
  :: answer[i] == committed -> hold(i)
  :: else ->
#ifdef MUTANT_conflict_without_reading_back
    state[i] = gave_up
#else
    state[i] = idle;
    operation[i]++
#endif
  fi;
  answer[i] = nothing;
  requested[i] = false
}

inline repeat(i) {
#ifdef MUTANT_conflict_without_reading_back
  operation[i]++;
#endif
#ifdef MUTANT_repeat_without_condition
  operation[i]++;
  condition[i] = 0;
#endif
  requested[i] = true
}

#define MAY_USE(i) (operation[i] < OPERATIONS - 1)

active proctype system() {
  do
  :: d_step { state[0] == idle && !lapsed[0] && MAY_USE(0) && (owner != 2 || gone[1]) -> read_record(0); check() }
  :: d_step { state[1] == idle && !lapsed[1] && MAY_USE(1) && (owner != 1 || gone[0]) -> read_record(1); check() }
  :: d_step { requested[0] && answer[0] == nothing -> commit(0); check() }
  :: d_step { requested[1] && answer[1] == nothing -> commit(1); check() }
  :: d_step { answer[0] != nothing && lost_answers < LOST_ANSWERS -> answer[0] = nothing; requested[0] = false; lost_answers++; check() }
  :: d_step { answer[1] != nothing && lost_answers < LOST_ANSWERS -> answer[1] = nothing; requested[1] = false; lost_answers++; check() }
  :: d_step { state[0] == waiting && !requested[0] && !lapsed[0] && MAY_USE(0) -> repeat(0); check() }
  :: d_step { state[1] == waiting && !requested[1] && !lapsed[1] && MAY_USE(1) -> repeat(1); check() }
  :: d_step { state[0] == waiting && !lapsed[0] && answer[0] != nothing -> take_answer(0); check() }
  :: d_step { state[1] == waiting && !lapsed[1] && answer[1] != nothing -> take_answer(1); check() }
  :: d_step { !lapsed[0] && losses < LOSSES -> lapsed[0] = true; losses++; check() }
  :: d_step { !lapsed[1] && losses < LOSSES -> lapsed[1] = true; losses++; check() }
  :: d_step { lapsed[0] && !gone[0] -> gone[0] = true; check() }
  :: d_step { lapsed[1] && !gone[1] -> gone[1] = true; check() }
  :: atomic { timeout -> assert(HOLDS(0) || HOLDS(1)); break }
  od
}
