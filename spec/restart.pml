/* A runner that starts again under its id: nothing that it held or knew is left, and the numbers of
 * its completions start anew. One leader, one task, runner X, which may start again twice, and a
 * place Y elsewhere, which never fails.
 *
 * What is modelled: starts, stops and polls that are sent while X is down and reach its next
 * incarnation; starts that are not answered; polls, one at a time, that bring the list of runs and
 * completions with the incarnation; completions that are forgotten up to an acknowledged number. A
 * poll that acknowledges uses the connection of the last answer, so that it is not sent while X is
 * down.
 *
 * Checked: the task never runs in two places, and never starts after a completion of it was
 * acknowledged.
 *
 * Variants that must fail:
 *   -DBYID        completion numbers are kept across incarnations
 *   -DREPEATACK   each poll repeats the last acknowledgement
 *   -DNOSTOP      a run that the next incarnation does not list is over at once
 */

#define MAX_ATTEMPT 3
#define MAX_LIFE    2

/* X: incarnation, attempt that runs, attempt whose completion is listed, its number, number of
 * completions, highest attempt that ended or was stopped. */
bool up = true;
byte life = 0, runs = 0, ended = 0, number = 0, count = 1, closed = 0;
byte executed = 0;        /* attempt of the last start that was carried out */
byte elsewhere = 0;       /* attempt that runs on Y */
bool acked = false;       /* a completion of the task was acknowledged */

/* On their way: a start, a stop, a poll, an answer to a poll. */
byte start = 0, stop = 0;
bool polled = false, answer = false;
byte poll_ack;
byte a_life, a_runs, a_ended, a_number, a_executed;

/* The leader: incarnation that answered last, highest completion processed, whether the last answer
 * listed a completion, the task's run. Another task's completion, number 1, is acknowledged. */
byte known = 0, last = 1;
bool lists = false;
mtype = { NONE, SENT, LISTED, STOPPING, STOPPED };
mtype stage = NONE;
byte attempt = 0;
bool answered = false;    /* the start was answered */
bool listed = false;      /* X has listed the run */
bool after_stop = false;  /* the poll on its way was sent after the stop was acknowledged */
bool done = false;

proctype Runner() {
  do
  :: d_step { up && start != 0 ->
       if
       :: start > closed && runs == 0 ->
          assert(!acked);
          assert(elsewhere == 0);
          runs = start; executed = start
       :: else -> skip
       fi;
       if :: start == attempt -> answered = true :: else -> skip fi;
       start = 0 }
  /* Carried out, and not answered. */
  :: d_step { up && start != 0 && start > closed && runs == 0 ->
       assert(!acked);
       assert(elsewhere == 0);
       runs = start; executed = start; start = 0 }
  :: d_step { up && stop != 0 ->
       if :: stop > closed -> closed = stop :: else -> skip fi;
       if :: runs != 0 && runs <= stop -> runs = 0 :: else -> skip fi;
       if :: stage == STOPPING && stop == attempt -> stage = STOPPED :: else -> skip fi;
       stop = 0 }
  :: d_step { up && polled ->
       if
       :: ended != 0 && number <= poll_ack -> acked = true; ended = 0
       :: else -> skip
       fi;
       polled = false; answer = true;
       a_life = life; a_runs = runs; a_ended = ended; a_number = number; a_executed = executed }
  :: d_step { runs != 0 && ended == 0 ->
       count++; number = count; ended = runs; closed = runs; runs = 0 }
  /* What is on its way to X when it crashes is lost; what is sent while it is down may arrive. */
  :: d_step { up && life < MAX_LIFE ->
       up = false;
       runs = 0; ended = 0; number = 0; count = 0; closed = 0;
       start = 0; stop = 0; polled = false }
  :: d_step { !up -> up = true; life++ }
  :: acked -> break
  od
}

inline take_answer() {
  d_step {
    answer = false;
#ifndef BYID
    if
    :: a_life != known ->
       known = a_life; last = 0;
       if
       :: stage == NONE || a_runs == attempt || a_ended == attempt -> skip
#ifdef NOSTOP
       :: else -> stage = NONE
#else
       :: stage != NONE && a_runs != attempt && a_ended != attempt && listed && answered ->
          stage = NONE
       :: else -> stage = STOPPING; stop = attempt; after_stop = false
#endif
       fi
    :: else -> skip
    fi;
#endif
    if
    :: a_ended != 0 && a_number > last ->
       last = a_number;
       if :: stage != NONE && a_ended == attempt -> done = true; stage = NONE :: else -> skip fi
    :: else -> skip
    fi;
    if
    :: stage == SENT && a_runs == attempt -> stage = LISTED; listed = true
    :: stage == LISTED && a_runs != attempt && a_ended != attempt -> stage = NONE
    :: stage == STOPPED && after_stop && a_runs != attempt -> stage = NONE
    /* The clock of the answer is past that of the start. */
    :: stage == SENT && answered && a_executed == attempt && a_runs != attempt &&
       a_ended != attempt -> stage = NONE
    :: else -> skip
    fi;
    lists = (a_ended != 0)
  }
}

proctype Leader() {
  do
  :: acked -> break
  :: d_step { stage == NONE && !done && elsewhere == 0 && attempt < MAX_ATTEMPT && start == 0 ->
       attempt++; start = attempt; stage = SENT; answered = false; listed = false }
  :: d_step { stage == NONE && !done && attempt < MAX_ATTEMPT && elsewhere == 0 ->
       attempt++;
       assert(!acked);
       assert(runs == 0);
       elsewhere = attempt }
  :: d_step { elsewhere != 0 -> elsewhere = 0; done = true }
  :: d_step { !polled && !answer ->
       after_stop = (stage == STOPPED);
#ifdef REPEATACK
       poll_ack = last;
       polled = true
#else
       poll_ack = (lists -> last : 0);
       polled = (up || poll_ack == 0);
       lists = lists && polled
#endif
     }
  /* No answer: the poll is given up. */
  :: d_step { polled -> polled = false; lists = false }
  :: answer -> take_answer()
  :: d_step { stage == STOPPING && stop == 0 -> stop = attempt }
  od
}

init { atomic { run Runner(); run Leader() } }
