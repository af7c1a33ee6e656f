/* The cap of a team across a change of leader. Two leaders, two tasks of one team, each with a runner
 * of its own, and a cap of one task. What a leader counts against the cap is what it knows to be placed: a
 * run counts from its placement until it is over.
 *
 * What is modelled: starts that are lost, repeated, or carried out late, also after their leader was
 * replaced; stops that take time; polls, which raise the runner's fencing token; a leader that does not
 * know that it was replaced.
 *
 * Checked: no start brings the team over its cap.
 *
 * Variants that must fail:
 *   -DNOINHERIT    a new leader does not count what earlier leaders placed
 *   -DREADFIRST    a new leader reads the placements before it fences the store
 *   -DNOUNANSWERED a run whose start was not answered does not count
 *   -DNOSTOPPING   a run does not count from the stop order on
 */

#define TASKS       2
#define CAP         1
#define MAX_ATTEMPT 2

/* The store: token that may write, whether a task may run, and its last attempt. */
byte fence = 0;
bool placed[TASKS];
byte attempt[TASKS];

/* Runners: highest token, attempt that runs, whether it is being stopped, highest attempt that ended or
 * was stopped. */
byte seen[TASKS], runs[TASKS], closed[TASKS];
bool stopping[TASKS];

/* A start on its way: attempt and token; 0 for none. Two of them, so that a late one and a new one may
 * overtake each other. */
byte order[TASKS], order_token[TASKS];
byte late[TASKS], late_token[TASKS];

inline carry_out(i, a, token) {
  if
  :: token >= seen[i] && a > closed[i] && runs[i] == 0 ->
     seen[i] = token;
     assert((runs[0] != 0) + (runs[1] != 0) < CAP);
     runs[i] = a
  :: else -> skip
  fi
}

proctype Runner(byte i) {
  do
  :: d_step { order[i] != 0 -> carry_out(i, order[i], order_token[i]); order[i] = 0 }
  :: d_step { order[i] != 0 && late[i] == 0 ->
       late[i] = order[i]; late_token[i] = order_token[i]; order[i] = 0 }
  :: d_step { order[i] != 0 -> order[i] = 0 }
  :: d_step { late[i] != 0 -> carry_out(i, late[i], late_token[i]); late[i] = 0 }
  /* A run ends by itself, or because it was stopped. */
  :: d_step { runs[i] != 0 -> closed[i] = runs[i]; runs[i] = 0; stopping[i] = false }
  :: timeout -> break
  od
}

/* What the leader counts. */
#define COUNT ((known[0] != 0) + (known[1] != 0))

inline release(i) {
  if
  :: fence == me -> known[i] = false; sent[i] = false; stopped[i] = false; placed[i] = false
  :: else -> skip
  fi
}

inline act(i) {
  if
  :: d_step { fence == me && !known[i] && COUNT < CAP && attempt[i] < MAX_ATTEMPT ->
       attempt[i]++; known[i] = true; placed[i] = true; mine[i] = attempt[i]; sent[i] = false }
  /* The start is sent once the placement is stored, and may be repeated. */
  :: d_step { known[i] && mine[i] != 0 && !stopped[i] && order[i] == 0 ->
       order[i] = mine[i]; order_token[i] = me; sent[i] = true }
#ifdef NOUNANSWERED
  :: d_step { known[i] && sent[i] && runs[i] == 0 -> release(i) }
#endif
  /* A stop is acknowledged; the run ends later. A start of its attempt is refused from then on. */
  :: d_step { known[i] && !stopped[i] && me >= seen[i] ->
       seen[i] = me;
       if :: attempt[i] > closed[i] -> closed[i] = attempt[i] :: else -> skip fi;
       stopping[i] = (runs[i] != 0);
       stopped[i] = true
#ifdef NOSTOPPING
       ; release(i)
#endif
     }
  /* A poll: it lists no run, and none can start any more. */
  :: d_step { known[i] && me >= seen[i] && runs[i] == 0 &&
       (stopped[i] || mine[i] == 0 || closed[i] >= attempt[i]) ->
       seen[i] = me; release(i) }
  :: d_step { me >= seen[i] -> seen[i] = me }
  :: skip
  fi
}

proctype Leader(byte me) {
  bool known[TASKS];         /* counts against the cap */
  bool sent[TASKS], stopped[TASKS];
  byte mine[TASKS];          /* attempt that this leader placed */
  byte rounds = 0;

#ifdef READFIRST
  d_step { known[0] = placed[0]; known[1] = placed[1] };
#endif
  if
  :: d_step { fence < me -> fence = me
#if !defined(READFIRST) && !defined(NOINHERIT)
       ; known[0] = placed[0]; known[1] = placed[1]
#endif
     }
  :: fence > me -> goto over
  fi;
  do
  :: rounds < 6 -> rounds++; if :: act(0) :: act(1) fi
  :: break
  od;
over:
  skip
}

init { atomic { run Runner(0); run Runner(1); run Leader(1); run Leader(2) } }
