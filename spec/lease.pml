/* How long the leases last that leaders send to runners, and when a successor takes them as over.
 * One task that the first of three leaders in sequence has placed on runner X. Time passes in steps,
 * and everybody may do any number of things, or nothing, between two of them: a leader that is frozen
 * does nothing.
 *
 * What is modelled: the row of the leader and its heartbeats, which are stored late or not at all and
 * whose answers are late or lost; the write that wins an election, of which the same holds; the fence
 * after it, which ends the commits of the leader before; stepping down; the start and extensions of
 * the lease, which carry its end and arrive late or never; the runner, which keeps the highest token
 * that it has seen and ends its run with the lease. A message that may get lost stands for every link
 * that is cut off. Times are what is left of them, 0 is over; all clocks run at one rate.
 *
 * A leader extends leases to L after it sent the last heartbeat that the store has acknowledged. One
 * of an older version extends them by L from now, until D after the last heartbeat or commit that the
 * store has acknowledged, and its row does not carry the time that earlier leases have left: then the
 * successor counts D + L from the fence.
 *
 * Checked: a leader that takes the lease as over, and may start the task elsewhere, does so when X does
 * not run the task and no start is on its way that X would accept. The model ends there, and where the
 * run ends with its lease, or a leader learns from X that it does not run.
 *
 * -DVERSIONS=n gives the versions of the first two leaders: 1 if the first is older, 2 if the second
 * is, 3 if both are.
 *
 * Variants that must fail:
 *   -DNORENEW   leases are extended by L from now, whichever the version of the leader
 *   -DACKTIME   they count from the arrival of the answer to the heartbeat
 *   -DPASTEND   an order is sent after that time, too, with an end that the runner's clock, which is only
 *               estimated, has not reached yet
 *   -DEARLY     the successor counts from a heartbeat before the last
 *   -DNOCOND    the election does not fail if a heartbeat was stored that the successor has not seen
 *   -DNOPRIOR   the successor ignores what the row says about the leaders before; with VERSIONS=1 only:
 *               leases of the newer version end before those of its successor
 *   -DNOINHERIT a runner that answers has no lease of an earlier leader
 *   -DOLDROW    (with VERSIONS=1, as the two below) D + L of an older version counts from the row of
 *               the leader, and only L from its last heartbeat; also with -DNOCOMMITS
 *   -DOLDBEAT   D + L counts from its last heartbeat, although commits count as well; holds with
 *               -DNOCOMMITS, where only heartbeats count
 *   -DDEAF      a leader of an older version goes on with commits until it is fenced: it is not told
 *               of its successor by the answers to its heartbeats. The model assumes that it is
 */

#ifndef L
#define L 2
#endif
#ifndef D
#define D 3
#endif
#ifndef VERSIONS
#define VERSIONS 0
#endif
#define NONE 15

#define max(a, b) ((a) > (b) -> (a) : (b))
#define down(x)   x = ((x) > 0 -> (x) - 1 : 0)

/* The store. */
byte office = 0, fence = 0;   /* leader that the row names; leader that may commit */
bool vacant = false;
byte row_prior = 0;           /* NONE in rows of the older version */

/* Runner X. */
bool running = false;
byte lease = 0, token = 0;
bool end = false;             /* of the model */

/* Leaders. */
bool over[3];                 /* has stepped down, or does not matter any more */
byte held[2];                 /* time left in which it extends leases */
byte beat[2], beat_left[2];   /* 1: heartbeat on its way, 2: its answer; what that makes of `held` */
byte order[2];                /* time left of the lease in an order on its way to X; 0 for none */
bool looked[3];               /* X has answered it */
byte wait = 0;                /* time left of the leases on X, as the leader that may commit counts it */
byte prior = 0;               /* time left of the leases before those of the leader in the row */
bool unknown = false;         /* the row before did not carry it */

/* The candidate for the next term, and its write. */
bool seen = false, fresh = false, sent = false, sent_fresh = false, sent_unknown = false;
byte earlier = 0, since = 0, sent_row = 0, sent_prior = 0, sent_left = 0;

#define old(i) (i < 2 && (VERSIONS & (1 << (i))))
#ifdef NORENEW
#define from_now(i) true
#else
#define from_now(i) old(i)
#endif
#define full(i)  (from_now(i) -> D : L)
#ifdef PASTEND
#define offer(i) (from_now(i) -> L : max(held[i], 1))
#define may_extend(i) true
#else
#define offer(i) (from_now(i) -> L : held[i])
#define may_extend(i) (held[i] > 0)
#endif
#define on(i)    (fence >= i && !over[i])
#ifdef DEAF
#define commits(i) (fence == i)
#else
#define commits(i) (office == i && fence == i)
#endif

/* What the leases of the leader in the row have left when a heartbeat is seen. */
#ifdef OLDROW
#define LEFT L
#else
#define LEFT (row_prior == NONE -> D + L : L)
#endif

inline leader(i) {
  if
  :: d_step { on(i) && office == i && beat[i] == 0 && held[i] < full(i) ->
       beat[i] = 1; beat_left[i] = full(i) }
  :: d_step { beat[i] == 1 && office == i && !vacant ->
       beat[i] = 2; fresh = false; sent_fresh = false }
  :: d_step { beat[i] == 2 ->
#ifdef ACKTIME
       held[i] = full(i);
#else
       held[i] = max(held[i], beat_left[i]);
#endif
       beat[i] = 0; beat_left[i] = 0 }
  :: d_step { beat[i] != 0 -> beat[i] = 0; beat_left[i] = 0 }

  /* An order: the start, or an extension by a leader that X has answered. It may take effect,
     answered or not. */
  :: d_step { on(i) && order[i] == 0 && looked[i] && may_extend(i) ->
       order[i] = offer(i);
       if :: fence == i -> wait = max(wait, order[i]) :: else -> skip fi }
  :: d_step { order[i] != 0 && token <= i ->
       token = i; lease = max(lease, order[i]); order[i] = 0;
       if :: i == 0 -> running = true :: else -> skip fi }
  :: d_step { order[i] != 0 -> order[i] = 0 }

  :: d_step { on(i) && office == i && !vacant ->
       vacant = true; over[i] = true; row_prior = (old(i) -> NONE : prior);
       looked[i] = false; wait = 0; prior = 0; held[i] = 0; beat[i] = 0; beat_left[i] = 0;
       seen = false; fresh = false; earlier = 0; since = 0; sent_fresh = false }
#ifndef NOCOMMITS
  /* A commit. */
  :: d_step { on(i) && old(i) && commits(i) && held[i] > 0 && held[i] < D -> held[i] = D }
#endif
  fi
}

inline look(i) {
  if
  /* X answers a first poll. Orders of earlier leaders are refused from then on. */
  :: d_step { on(i) && token <= i && !looked[i] ->
       token = i; looked[i] = true;
       if :: !running -> end = true :: else -> skip fi;
#ifdef NOINHERIT
       if :: fence == i -> wait = 0 :: else -> skip fi
#else
       if :: fence == i -> wait = L :: else -> skip fi
#endif
     }
  /* X is out of reach, and its lease over. */
  :: d_step { on(i) && fence == i && wait == 0 ->
       assert(!running && !(order[0] != 0 && token == 0)); end = true }
  fi
}

#ifdef NOCOND
#define sent_ok (seen)
#else
#define sent_ok (sent_fresh)
#endif

inline forget_write() {
  sent = false; sent_fresh = false; sent_unknown = false;
  sent_row = 0; sent_prior = 0; sent_left = 0
}

inline pass(i) {
  down(held[i]); down(beat_left[i]); down(order[i]);
  if :: beat[i] == 2 && beat_left[i] == 0 -> beat[i] = 0 :: else -> skip fi;
  /* What does not matter any more. */
  if :: office > i && beat[i] == 1 -> beat[i] = 0; beat_left[i] = 0 :: else -> skip fi;
  if
  :: office > i && fence > i && held[i] == 0 && beat[i] == 0 -> over[i] = true; looked[i] = false
  :: else -> skip
  fi
}

active proctype World() {
  d_step {
    held[0] = full(0); looked[0] = true;
    if :: old(0) -> row_prior = NONE :: else -> skip fi
  };
  do
  :: end -> break
  :: leader(0)
  :: leader(1)
  :: look(1)
  :: look(2)

  /* The candidate sees the rows. */
  :: d_step { office < 2 && !seen ->
       seen = true; fresh = true; since = LEFT;
#ifndef NOPRIOR
       earlier = (row_prior == NONE -> D + L : row_prior)
#endif
     }
  :: d_step { seen && !fresh -> fresh = true;
#ifndef EARLY
       since = LEFT
#endif
     }
  :: d_step { seen && fresh && !sent ->
       sent = true; sent_fresh = true; sent_left = L;
       sent_prior = max(earlier, since);
       sent_row = sent_prior;
#if !defined(OLDBEAT) && !defined(OLDROW)
       if :: row_prior == NONE -> sent_unknown = true; sent_row = D + L :: else -> skip fi
#endif
     }
  :: d_step { sent && sent_ok ->
       office++; vacant = false; prior = sent_prior; unknown = sent_unknown;
       row_prior = (old(office) -> NONE : sent_row);
       if
       :: office == 1 ->
          beat[1] = 2; beat_left[1] = (from_now(1) -> sent_left + D - L : sent_left)
       :: else -> skip
       fi;
       seen = false; fresh = false; earlier = 0; since = 0;
       forget_write() }
  :: d_step { sent -> forget_write() }
  /* The fence; then the leader reads what is stored. */
  :: d_step { !vacant && fence < office ->
       fence = office;
       if :: old(office) || unknown -> prior = D + L; unknown = false :: else -> skip fi;
       wait = prior }

  :: d_step { true ->
       pass(0); pass(1);
       down(wait); down(prior);
       down(earlier); down(since); down(sent_prior); down(sent_left); down(lease);
       if :: lease == 0 && running -> running = false; end = true :: else -> skip fi }
  od
}
