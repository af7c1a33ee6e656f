/* One non-idempotent write, two entry instances that both get it (the caller repeats it), two
 * runners, the ledger row in the table.
 *
 * What is modelled: the record made before the write is sent, conditional on the row's version;
 * answers of runners that are lost; frames that arrive late; refusals ("busy") that hold for
 * good; queries by whoever finds the record of another; runners that restart and forget; and a
 * commit to the table whose answer is lost, asked for again under the same idempotency key.
 *
 * Checked: the write executes at most once in the whole cell; whoever is told "not run" is told
 * the truth.
 *
 * NOLEDGER:      the write is sent without a record.
 * NOINCARNATION: a restarted runner is taken for the one that was recorded.
 * NOFATE:        a refusal does not hold: the runner may take the same write later.
 * NOVERSION:     records overwrite each other.
 * NOIDEM:        a commit whose answer was lost is simply tried again as new. This one holds: the
 *                entry then meets its own record and asks the runner, which costs a query and a
 *                move, not a second run.
 */
#define RUNNERS 2

mtype = { NONE, TAKEN, RAN, REFUSED };

mtype fate[RUNNERS];
byte life[RUNNERS];
byte executions = 0, told_not_run = 0;

/* The ledger row. */
byte version = 0, runner = 0, recorded_life = 0;
byte idem[2];                /* last idempotency key of each entry that took effect */

/* A runner's first contact with the write decides. */
inline deliver(r, l, answer) {
  if
  :: life[r] != l -> answer = NONE                 /* that life is gone */
  :: life[r] == l && fate[r] == NONE ->
     if
     :: fate[r] = RAN; executions++; assert(executions <= 1); answer = RAN
     :: fate[r] = REFUSED; answer = REFUSED        /* busy */
     fi
#ifdef NOFATE
  :: life[r] == l && fate[r] == REFUSED ->
     fate[r] = RAN; executions++; assert(executions <= 1); answer = RAN
#else
  :: life[r] == l && fate[r] == REFUSED -> answer = REFUSED
#endif
  :: life[r] == l && fate[r] == RAN -> executions++; assert(executions <= 1); answer = RAN
  fi
}

inline query(r, l, answer) {
  if
#ifdef NOINCARNATION
  :: fate[r] == NONE -> fate[r] = REFUSED; answer = REFUSED
  :: fate[r] != NONE -> answer = fate[r]
#else
  :: life[r] != l -> answer = NONE
  :: life[r] == l && fate[r] == NONE -> fate[r] = REFUSED; answer = REFUSED
  :: life[r] == l && fate[r] != NONE -> answer = fate[r]
#endif
  fi
}

proctype Entry(byte me) {
  byte expect = 0, r, l, key = 1, tries = 0;
  bool mine, lost;
  mtype answer;
  if :: r = 0 :: r = 1 fi;
  do
  :: tries < 3 ->
     tries++;
     l = life[r];
#ifdef NOLEDGER
     mine = true;
#else
     lost = false;
     do
     :: atomic {                                   /* record, conditional on the version */
#ifndef NOIDEM
          if
          :: idem[me] == key -> mine = true        /* replayed: the first outcome */
          :: else ->
#endif
             if
#ifdef NOVERSION
             :: true ->
#else
             :: version == expect ->
#endif
                version = expect + 1; runner = r; recorded_life = l; idem[me] = key; mine = true
             :: else -> mine = false
             fi
#ifndef NOIDEM
          fi
#endif
        }
        if
        :: !lost -> lost = true                    /* the answer is lost: ask again */
        :: break
        fi
     od;
     key++;
#endif
     if
     :: mine ->
        atomic { deliver(r, l, answer) };
        expect = expect + 1
     :: else ->
        atomic { r = runner; l = recorded_life; expect = version };
        atomic { query(r, l, answer) }
     fi;
     if
     :: answer == RAN -> break
     :: answer == RAN -> answer = NONE; break      /* the runner's answer is lost: unknown */
     :: answer == NONE -> break                    /* unknown */
     :: answer == REFUSED -> r = 1 - r             /* not run there, for good: move */
     :: answer == REFUSED -> break                 /* not run: told so */
     fi
  :: else -> break
  od
}

proctype World() {
  if
  :: atomic { life[0]++; fate[0] = NONE }          /* runner 0 restarts and forgets */
  :: atomic { life[1]++; fate[1] = NONE }
  :: skip
  fi
}

init {
  fate[0] = NONE; fate[1] = NONE;
  atomic { run Entry(0); run Entry(1); run World() }
}
