//! Answers of runners that are handled late, overtake each other, or list a run twice.

mod common {
    pub mod control;
    pub mod runner;
}

use common::control::{step, Cell, Faults};
use currantgw::control::model::Step;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Number of seeds for mixed faults.
const SEEDS: u64 = 40;

/// Longest additional delay of an answer, ms.
const ANSWER_MS: u64 = 500;

/// Guards against runs that are lost or started twice because answers on different connections
/// overtake each other and the clocks of runners run at different rates.
#[test]
fn answers_that_overtake_each_other_violate_no_invariant() {
    for seed in 0..SEEDS {
        let mut cell = Cell::new(6, seed);
        let mut rng = StdRng::seed_from_u64(seed ^ 0x0e47);
        for r in &mut cell.runners {
            r.clock_rate = rng.gen_range(980..=1_020);
            (r.start_lag, r.end_lag) = (rng.gen_range(0..100), rng.gen_range(0..150));
        }
        let mut jobs = Vec::new();
        for n in 0..60_u64 {
            cell.faults = Faults {
                late: if rng.gen_bool(0.3) { 0.1 } else { 0.0 },
                unanswered: if rng.gen_bool(0.3) { 0.1 } else { 0.0 },
                commits: if rng.gen_bool(0.3) { 0.3 } else { 0.0 },
                answer_ms: ANSWER_MS,
                ..Faults::default()
            };
            let gang = rng.gen_bool(0.3);
            let work = Step { gang, ..step(rng.gen_range(1..6), 2_500, rng.gen_range(20..4_000)) };
            let queue = ["urgent", "patient", "asked"][rng.gen_range(0..3)];
            jobs.push(cell.submit(n + 1, queue, vec![work]));
            if rng.gen_bool(0.1) {
                cell.poison(jobs[jobs.len() - 1]);
            }
            cell.run(rng.gen_range(10..600));
            let i = rng.gen_range(0..6);
            match rng.gen_range(0..8) {
                0 => cell.change_leader(),
                1 | 2 => cell.runners[i].unreachable_until = cell.now + rng.gen_range(500..12_000),
                3 => cell.starve(rng.gen_range(100..9_900)),
                _ => {}
            }
        }
        cell.faults = Faults { answer_ms: ANSWER_MS, ..Faults::default() };
        cell.run(60_000);
        cell.check();
        for id in jobs {
            assert!(cell.stored(id).ended(), "seed {seed}: {id} is {:?}", cell.stored(id));
        }
        assert_eq!(cell.running(), 0, "seed {seed}");
    }
}
