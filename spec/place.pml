/* One shard, one task, ENTRIES scheduler instances, two workers, the platform's table.
 *
 * What is modelled: the shard lease with its fencing epoch, which may expire at any moment (a
 * holder may be paused between any two of its steps, for any time); the fenced, conditional
 * commit of a placement, whose answer may be lost; start orders that travel in any order, are
 * lost or arrive late; the worker's check of the lease and of the placement; task leases that
 * the holder extends and that run out on a worker that is cut off; the takeover that reads the
 * rows anew and starts what was placed and does not run; and a refusal ("not run").
 *
 * Checked: no task runs in two places; no attempt starts twice; a refused task never starts; a
 * task that is done is not started again by its worker.
 *
 * NOEXPIRY:   a start order stays good for ever (spin found this one: a worker is cut off before it
 *             started a task, comes back just as it is given up for lost, and starts it on the old
 *             order while the task is placed anew).
 * NOFENCE:    workers start what they are told, without asking the table.
 * NOPATIENCE: a silent worker's tasks are placed anew at once, before their leases ran out.
 * NOVERSION:  commits are not conditional on the row's version or the lease.
 */
#ifndef ENTRIES
#define ENTRIES 2
#endif
#define WORKERS 2
#ifndef CUTS
#define CUTS 1
#endif
#define MAXATT  2
#define MAXEPOCH 3

mtype = { PENDING, PLACED, DONE, REFUSED };

/* The table: lease and rows. */
byte holder = 255, epoch = 0;
bool valid = false;
mtype state = PENDING;
byte version = 0, attempt = 0, at = 0, placed_epoch = 0;

/* Workers. */
byte running[WORKERS];      /* attempt that runs, 0 none */
byte seen[WORKERS];         /* highest attempt started */
bool cut[WORKERS];          /* cannot be reached, runs on */
byte ended[WORKERS];        /* attempt whose good end waits to be taken in, 0 none */
byte flying[WORKERS];       /* orders on their way that have not expired */

/* Oracles. */
byte starts[MAXATT + 1];
bool done_once = false, refused_once = false;

chan orders = [2] of { byte, byte, byte };  /* worker, epoch, attempt */

#define two_places (running[0] != 0 && running[1] != 0)

inline try_start(w, e, a) {
  if
#ifdef NOFENCE
  :: !cut[w] && running[w] == 0 && seen[w] < a ->
#else
  :: !cut[w] && running[w] == 0 && seen[w] < a && valid && epoch == e &&
     state == PLACED && at == w && placed_epoch == e && attempt == a ->
#endif
     running[w] = a;
     seen[w] = a;
     starts[a]++;
     assert(!two_places);
     assert(starts[a] <= 1);
     assert(!refused_once);
     assert(!done_once)
  :: else -> skip
  fi
}

proctype Entry(byte me) {
  byte mine = 0;            /* epoch held, 0 none */
  byte v, a, w;
  mtype st;
  bool ok;

  do
  :: /* Take the lease when free or expired; a holder that is still valid keeps its epoch. */
     atomic { !valid && epoch < MAXEPOCH -> valid = true; holder = me; epoch++; mine = epoch }

  :: mine != 0 ->
     atomic { st = state; v = version; a = attempt; w = at }       /* read the row */
     if
     :: st == PENDING && a < MAXATT ->
        if :: w = 0 :: w = 1 fi;
        atomic {                                                   /* commit a placement */
#ifdef NOVERSION
          if :: true ->
#else
          if :: valid && epoch == mine && version == v ->
#endif
               state = PLACED; at = w; attempt = a + 1; placed_epoch = mine;
               version++; ok = true
             :: else -> ok = false; mine = 0
          fi;
          w = at; a = attempt
        }
        if
        :: ok -> if :: atomic { orders!w, mine, a; flying[w]++ } :: skip fi                /* sent, or the answer lost */
        :: else
        fi
     :: st == PENDING && a == 0 ->
        atomic {                                                   /* refuse as not run */
          if :: valid && epoch == mine && version == v ->
               state = REFUSED; refused_once = true; version++
             :: else -> mine = 0
          fi
        }
     :: st == PLACED && running[w] != a && ended[w] != a && !cut[w] && placed_epoch != mine ->
        atomic {                                                   /* takeover: place it anew there */
          if :: valid && epoch == mine && version == v ->
               placed_epoch = mine; version++
             :: else -> mine = 0
          fi
        }
     :: atomic { st == PLACED && running[w] != a && ended[w] != a && !cut[w] &&
          placed_epoch == mine && nfull(orders) -> orders!w, mine, a; flying[w]++ }
     :: st == PLACED && ended[w] == a && !cut[w] ->
        atomic {                                                   /* take the end in */
          if :: valid && epoch == mine && version == v ->
               state = DONE; done_once = true; ended[w] = 0; version++
             :: else -> mine = 0
          fi
        }
#if defined(NOPATIENCE)
     :: st == PLACED && cut[w] ->
#elif defined(NOEXPIRY)
     :: st == PLACED && cut[w] && running[w] == 0 ->
#else
     /* Its task lease ran out, and so did every order that might still start it. */
     :: st == PLACED && cut[w] && running[w] == 0 && flying[w] == 0 ->
#endif
        atomic {                                                   /* give up for lost */
          if :: valid && epoch == mine && version == v ->
               state = PENDING; version++
             :: else -> mine = 0
          fi
        }
     :: else -> skip
     fi;
     d_step { v = 0; a = 0; w = 0; st = PENDING; ok = false }      /* keep the state small */
  :: state == DONE || state == REFUSED || epoch == MAXEPOCH -> break
  od
}

/* The network and the platform: leases expire, orders are lost or delivered in any order,
 * workers are cut off and come back, tasks end, task leases run out on a cut-off worker. */
proctype World() {
  byte w, e, a;
  byte n = 0;
  do
  :: valid -> valid = false                                        /* lease expires */
  :: atomic { nempty(orders) -> orders?w, e, a; flying[w]--; try_start(w, e, a) }
  :: atomic { nempty(orders) -> orders?w, e, a; flying[w]-- }      /* lost, or expired */
  :: atomic { len(orders) == 2 -> orders?w, e, a; orders!w, e, a } /* overtaken */
  :: atomic { running[0] != 0 -> ended[0] = running[0]; running[0] = 0 }
  :: atomic { running[1] != 0 -> ended[1] = running[1]; running[1] = 0 }
  :: atomic { n < CUTS && !cut[0] -> cut[0] = true; n++ }
  :: atomic { n < CUTS && !cut[1] -> cut[1] = true; n++ }
  :: atomic { cut[0] && running[0] != 0 -> running[0] = 0 }        /* task lease ran out */
  :: atomic { cut[1] && running[1] != 0 -> running[1] = 0 }
  :: atomic { cut[0] && running[0] == 0 -> cut[0] = false }
  :: atomic { cut[1] && running[1] == 0 -> cut[1] = false }
  :: (state == DONE || state == REFUSED || epoch == MAXEPOCH) && empty(orders) -> break
  od
}

init {
  byte i = 0;
  atomic {
    run World();
    do
    :: i < ENTRIES -> run Entry(i); i++
    :: else -> break
    od
  }
}
