/* Progress in several parts of the store, each with a fence row of its own.
 *
 * Two schedulers, a task in each of two parts, and two runners. A scheduler takes the office, fences
 * part after part, reads what is placed, raises its token at the runner that it reaches, and places each
 * task that its reading does not show placed. A predecessor may go on all the while, on a runner that
 * its successor does not reach; what it stores in a part succeeds until that part is fenced. A start is sent
 * once its placement is stored, maybe long after.
 *
 * Checked: no task is started on two runners.
 *
 * Variants that must fail:
 *   -DNOFENCE    transactions of a part check no fence
 *   -DREADFIRST  the parts are read before they are fenced
 */

#define PARTS 2

/* The store. */
byte office = 0;             /* token of the holder */
byte fence[PARTS];           /* token that may write in each part */
byte placed[PARTS];          /* runner on which the part's task is placed, counted from 1; 0 for none */

/* Runners. */
byte seen[2];                /* highest token */
byte on[PARTS];              /* runner on which the part's task was started, counted from 1 */

inline read_parts() {
  known[0] = placed[0];
  known[1] = placed[1]
}

inline place(p) {
  d_step {
#ifdef NOFENCE
    known[p] == 0 ->
#else
    known[p] == 0 && fence[p] == me ->
#endif
       known[p] = mine + 1; placed[p] = mine + 1; due[p] = true
  }
}

inline start(p) {
  d_step {
    due[p] ->
       due[p] = false;
       if
       :: me >= seen[mine] ->
          seen[mine] = me;
          assert(on[p] == 0 || on[p] == mine + 1);
          on[p] = mine + 1
       :: else -> skip
       fi
  }
}

proctype Scheduler(byte me; byte mine) {
  byte known[PARTS];         /* placements as far as this scheduler knows */
  bool due[PARTS];           /* starts that have to go out */

  d_step { if :: office < me -> office = me :: else -> skip fi };
#ifdef READFIRST
  read_parts();
#endif
  d_step { if :: fence[0] < me -> fence[0] = me :: else -> skip fi };
  d_step { if :: fence[1] < me -> fence[1] = me :: else -> skip fi };
#ifndef READFIRST
  read_parts();
#endif
  d_step { if :: seen[mine] < me -> seen[mine] = me :: else -> skip fi };
  do
  :: place(0)
  :: place(1)
  :: start(0)
  :: start(1)
  :: break
  od
}

init {
  atomic { run Scheduler(1, 0); run Scheduler(2, 1) }
}
