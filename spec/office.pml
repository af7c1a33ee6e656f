/* The control plane's protocol: an office named by one row of the store, commits fenced by it,
 * runners that keep the highest fencing token they have seen, leases, orders that may be carried
 * out late, and ends that are stored before they are acknowledged.
 *
 * Two schedulers, two runners, one task. A scheduler may lose its office at any moment without
 * knowing (frozen, cut off) and go on with what it believed. It may end its term, once, and begin
 * another without a successor in between; then it knows only what is stored. A runner may be cut
 * off; then its lease runs out, which kills what runs there and expires the orders on their way to
 * it.
 *
 * Checked: the task never runs in two places, and never starts after its end was acknowledged.
 *
 * Variants that must fail:
 *   -DNOFENCE   runners take orders of any token
 *   -DNOSTORE   a start is sent before its placement is stored
 *   -DEARLYACK  an end is acknowledged before it is stored
 *   -DNOLOOK    a successor takes over without raising its token at the task's runner
 *   -DNOWAIT    a runner out of reach is written off before its lease is over
 *   -DSAMETOKEN the next term of a scheduler has the token of its last one
 */

#define MAX_ATTEMPT 3

/* The store. */
byte office = 0;          /* fencing token of the holder */
byte row_attempt = 0;     /* attempt placed and not known to be over; 0 for none */
byte row_runner = 0;
byte last = 0;            /* highest attempt ever given out */
bool row_done = false;

/* Runners. */
byte seen[2];             /* highest fencing token */
byte runs[2];              /* attempt that runs; 0 for none */
byte closed[2];           /* highest attempt that ended there */
byte ended[2];            /* attempt whose end is listed; 0 for none */
bool cut[2];
bool lapsed[2];           /* its lease ran out while it was cut off */
bool acked = false;       /* an end was acknowledged */

/* A start on its way to each runner. */
bool sent[2];
byte fence[2];
byte attempt[2];

proctype Runner(byte r) {
  do
  /* A start arrives, now or late. */
  :: d_step { sent[r] && !cut[r] ->
       sent[r] = false;
       if
#ifdef NOFENCE
       :: attempt[r] > closed[r] && runs[r] == 0 ->
#else
       :: attempt[r] > closed[r] && runs[r] == 0 && fence[r] >= seen[r] ->
#endif
          if :: fence[r] > seen[r] -> seen[r] = fence[r] :: else -> skip fi;
          assert(!acked);
          assert(runs[1 - r] == 0);
          runs[r] = attempt[r]
       :: else -> skip
       fi
     }
  :: d_step { runs[r] != 0 -> closed[r] = runs[r]; ended[r] = runs[r]; runs[r] = 0 }
  :: d_step { !cut[r] && !lapsed[r] -> cut[r] = true }
  :: d_step { cut[r] && !lapsed[r] ->
       if :: runs[r] != 0 -> closed[r] = runs[r] :: else -> skip fi;
       runs[r] = 0; ended[r] = 0; sent[r] = false; lapsed[r] = true }
  :: d_step { cut[r] -> cut[r] = false }
  :: acked -> break
  od
}

/* A look: raises the token, brings the end, and shows what does not run. An end is acknowledged
 * only by a later look, once it is stored. */
inline look(r) {
  d_step {
    if
    :: !cut[r] && me >= seen[r] ->
       seen[r] = me;
       looked[r] = true;
       if
       :: ended[r] != 0 && ended[r] == row_attempt && row_runner == r && !row_done ->
#ifdef EARLYACK
          acked = true; ended[r] = 0;
#endif
          if
          :: office == me -> row_done = true; row_attempt = 0
          :: else -> skip
          fi
       :: ended[r] != 0 && row_done -> acked = true; ended[r] = 0
       :: else ->
          /* Placed there, not listed, token raised, and no start of this scheduler's own under
             way: it never starts. */
          if
          :: (office == me && row_attempt != 0 && row_runner == r && runs[r] == 0 &&
              ended[r] == 0 && mine != row_attempt && !(sent[r] && fence[r] == me && own[r])) ->
             row_attempt = 0
          :: else -> skip
          fi
       fi
    :: else -> skip
    fi
  }
}

/* A placement: stored under the office's condition. */
inline place(r) {
  d_step {
    if
#ifdef NOSTORE
    :: mine == 0 && !row_done && row_attempt == 0 && last < MAX_ATTEMPT && looked[r] ->
       last++; mine = last; at = r;
       if
       :: office == me -> row_attempt = last; row_runner = r
       :: else -> skip
       fi
#else
    :: (office == me && mine == 0 && !row_done && row_attempt == 0 &&
        last < MAX_ATTEMPT && looked[r]) ->
       last++; mine = last; at = r; row_attempt = last; row_runner = r
#endif
    :: else -> skip
    fi
  }
}

proctype Scheduler(byte me) {
  byte mine = 0;          /* attempt to start, once its placement is stored */
  byte at = 0;
  bool looked[2];
  bool own[2];            /* the last start to each runner was sent in this term */
  bool again = false;     /* this is the second term */

  d_step {
    if
    :: office < me -> office = me
    :: else -> skip
    fi
  };
#ifdef NOLOOK
  d_step {
    looked[0] = true;
    looked[1] = true;
    if
    :: office == me && !row_done -> row_attempt = 0
    :: else -> skip
    fi
  };
#endif
  do
  :: acked -> break
  :: look(0)
  :: look(1)
  :: place(0)
  :: place(1)

  /* A runner out of reach is written off once its lease is over. */
#ifdef NOWAIT
  :: d_step { office == me && row_attempt != 0 && !row_done && cut[row_runner] ->
       row_attempt = 0 }
#else
  :: d_step { office == me && row_attempt != 0 && !row_done && lapsed[row_runner] ->
       row_attempt = 0 }
#endif

  /* The start goes out, maybe long after: its lease is that of the last look. */
  :: d_step { mine != 0 && !sent[at] && !lapsed[at] ->
       sent[at] = true; fence[at] = me; attempt[at] = mine; own[at] = true; mine = 0 }
  :: d_step { mine != 0 && lapsed[at] -> mine = 0 }

  /* The next term of the same scheduler. */
  :: d_step { office == me && !again ->
       again = true;
#ifndef SAMETOKEN
       me++;
       office = me;
#endif
       mine = 0; looked[0] = false; looked[1] = false; own[0] = false; own[1] = false }
  od
}

init {
  atomic { run Runner(0); run Runner(1); run Scheduler(1); run Scheduler(3) }
}
