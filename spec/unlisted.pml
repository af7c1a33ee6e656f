/* A run that an answer of its runner lists neither as active nor as ended. One task, runner X, which
 * lists a start and an end some time after them and a limited number of completions at a time, and a
 * place Y elsewhere. The leader may change once.
 *
 * What is modelled: completions of other tasks on X, which are numbered in one sequence with those of
 * the task; polls, one at a time, that may get no answer; starts and stops that are executed late. The
 * time that a stop and the listing take at most is one step, which is possible once the end of a
 * stopped run is in the list of X.
 *
 * Checked: the task never runs in two places, and never starts after it has ended as done.
 *
 * Variants that must fail:
 *   -DONEANSWER   a run that one answer does not list is over
 *   -DNOSETTLE    so is one whose stop was acknowledged before the answer
 *   -DCUTLIST     a list that was cut short counts as complete
 *   -DSLOW -DNOLATE  X lists an end later than that, and late completions have no effect
 * With -DSLOW alone the task may start after it has ended, but not after the end was acknowledged.
 */

#define MAX_ATTEMPT 2
#define MAX_COUNT   4
#define PAGE        2

/* X: state of its run, attempt, whether it has ended as done, number of its completion, number of
 * completions, those up to `forgotten` are not listed any more, highest attempt that cannot start. */
mtype = { IDLE, BEGUN, ACTIVE, OVER, COMPLETED };
mtype state = IDLE;
byte runs = 0, number = 0, count = 0, forgotten = 0, closed = 0;
bool done_there = false;
byte elsewhere = 0;

/* On their way: a start, a stop, a poll with its acknowledgement, an answer. */
byte start = 0, stop = 0, poll_ack = 0;
bool polled = false, answer = false;
byte a_first, a_last;     /* numbers listed: those above a_first up to a_last */
bool a_active, a_settled;

/* The leader. */
mtype = { NONE, SENT, RUNNING, INHERITED, STOPPING, STOPPED, SETTLED };
mtype stage = NONE;
byte attempt = 0, last = 0, longest = 0;
bool done = false, changed = false, fenced = false;

#define at_work (state == BEGUN || state == ACTIVE)
#define listed  (number > a_first && number <= a_last)

inline check_start() {
  assert(!at_work && elsewhere == 0);
#ifdef SLOW
  assert(!(done_there && number != 0 && number <= forgotten))
#else
  assert(!done_there)
#endif
}

proctype Runner() {
  do
  :: d_step { start != 0 ->
       if
       :: start > closed && state == IDLE ->
          check_start();
          state = BEGUN; runs = start; closed = start;
          if :: stage == SENT && start == attempt -> stage = RUNNING :: else -> skip fi
       :: else -> skip
       fi;
       start = 0 }
  /* Executed and not answered. */
  :: d_step { start != 0 && start > closed && state == IDLE ->
       check_start();
       state = BEGUN; runs = start; closed = start; start = 0 }
  :: d_step { stop != 0 ->
       if :: stop > closed -> closed = stop :: else -> skip fi;
       if :: stage == STOPPING && stop == attempt -> stage = STOPPED :: else -> skip fi;
       stop = 0 }
  :: d_step { state == BEGUN -> state = ACTIVE }
  :: d_step { at_work -> state = OVER; done_there = true }
  :: d_step { at_work && (stage == STOPPED || stage == SETTLED) && runs == attempt -> state = OVER }
  :: d_step { state == OVER && count < MAX_COUNT -> count++; number = count; state = COMPLETED }
  /* Another task ends; the last number is left for this one. */
  :: d_step { count + 1 < MAX_COUNT || (number != 0 && count < MAX_COUNT) -> count++ }
  :: d_step { polled && !answer ->
       if :: poll_ack > forgotten -> forgotten = poll_ack :: else -> skip fi;
       if :: changed && !fenced -> start = 0; fenced = true :: else -> skip fi;
       polled = false; answer = true;
       a_first = forgotten;
       a_last = (count - forgotten > PAGE -> forgotten + PAGE : count);
       a_active = (state == ACTIVE && runs == attempt);
       a_settled = (stage == SETTLED) }
  od
}

inline take_answer() {
  d_step {
    answer = false;
    if :: a_last - a_first > longest -> longest = a_last - a_first :: else -> skip fi;
    if
    :: number > last && listed ->
       if
       :: stage != NONE && runs == attempt ->
          stage = NONE;
          if :: done_there -> done = true :: else -> skip fi
#ifdef NOLATE
       :: else -> skip
#else
       :: else -> if :: done_there -> done = true :: else -> skip fi
#endif
       fi
    :: else ->
       if
       :: a_active && (stage == SENT || stage == INHERITED) -> stage = RUNNING
       :: a_active -> skip
#ifndef CUTLIST
       :: !a_active && a_last != a_first && a_last - a_first >= longest -> skip
#endif
#ifdef ONEANSWER
       :: !a_active && (stage == RUNNING || stage == INHERITED) -> stage = NONE
#else
       :: !a_active && (stage == RUNNING || stage == INHERITED) -> stage = STOPPING; stop = attempt
#endif
#ifdef NOSETTLE
       :: !a_active && stage == STOPPED -> stage = NONE
#endif
       :: !a_active && stage == SETTLED && a_settled -> stage = NONE
       :: else -> skip
       fi
    fi;
    if :: a_last > last -> last = a_last :: else -> skip fi
  }
}

proctype Leader() {
  do
  :: d_step { stage == NONE && !done && elsewhere == 0 && attempt < MAX_ATTEMPT && start == 0 ->
       attempt++; start = attempt; stage = SENT }
  :: d_step { stage == NONE && !done && elsewhere == 0 && attempt < MAX_ATTEMPT ->
       attempt++; check_start(); elsewhere = attempt }
  :: d_step { elsewhere != 0 -> elsewhere = 0; done = true }
  :: d_step { stage == SENT -> stage = STOPPING; stop = attempt }
  :: d_step { stage == STOPPING && stop == 0 -> stop = attempt }
#ifdef SLOW
  :: d_step { stage == STOPPED && !(runs == attempt && at_work) -> stage = SETTLED }
#else
  :: d_step { stage == STOPPED && !(runs == attempt && (at_work || state == OVER)) -> stage = SETTLED }
#endif
  :: d_step { !polled && !answer -> polled = true; poll_ack = last }
  :: d_step { polled -> polled = false }
  :: answer -> take_answer()
  /* A new leader knows the placement and what was stored before an acknowledgement. */
  :: d_step { !changed && elsewhere == 0 ->
       changed = true; last = 0; longest = 0; answer = false; polled = false;
       if :: stage != NONE -> stage = INHERITED :: else -> skip fi }
  od
}

init { atomic { run Runner(); run Leader() } }
