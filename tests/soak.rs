//! Seeded runs of whole processes with faults from outside, checked against the rules on runs of
//! tasks. `runs_by_hand` is configured by environment variables that begin with `SOAK_`.

mod common {
    pub mod ports;
    pub mod soak;
    pub mod users;
}

use async_std::task;
use common::soak::faults::Fault;
use common::soak::{self, judge, Gaps, Outcome, Plan};
use std::collections::BTreeSet;

/// Value of an environment variable of a run by hand.
fn setting<T: std::str::FromStr>(name: &str, default: T) -> T {
    let value = std::env::var(format!("SOAK_{name}")).ok();
    value.map_or(default, |v| v.parse().unwrap_or_else(|_| panic!("SOAK_{name}={v}")))
}

/// A range, written as `0..300`.
fn range(name: &str, default: (u64, u64)) -> (u64, u64) {
    let text = setting(name, format!("{}..{}", default.0, default.1));
    let (least, most) = text.split_once("..").expect("a range such as 0..300");
    (least.parse().unwrap(), most.parse().unwrap())
}

fn faults(names: &str) -> BTreeSet<Fault> {
    match names {
        "all" => Fault::ALL.iter().map(|(_, fault)| *fault).collect(),
        names => names.split(',').filter(|n| !n.is_empty()).map(|n| n.parse().unwrap()).collect(),
    }
}

fn report(plan: &Plan, outcome: &Outcome) {
    println!(
        "seed {}: {:?} in {} starts, {}, {:?}, {}",
        plan.seed,
        outcome.counts(),
        outcome.starts,
        outcome.served,
        outcome.messages,
        outcome.dir.display()
    );
    outcome.violations.iter().take(5).for_each(|v| println!("  {:?} {}", v.rule, v.text));
}

/// The faults of the short tests: their seeds were selected with these.
const SHORT_FAULTS: &str = "kill,freeze,term,kill-all,store-down,store-slow,store-lost,store-cut,\
    runner-cut,runner-crash,late,lost";

fn short(seed: u64, gaps: Gaps) -> Plan {
    Plan {
        seed,
        instances: 3,
        runners: 8,
        traffic_s: 14,
        tail_s: 4,
        gaps,
        gangs: true,
        faults: faults(SHORT_FAULTS),
        script: &[],
        calm_ms: judge::CALM_MS,
    }
}

fn check(plan: &Plan) {
    let outcome = task::block_on(soak::run(plan));
    report(plan, &outcome);
    assert!(outcome.violations.is_empty(), "rules broken: {:?}", outcome.counts());
}

#[test]
fn no_rule_is_broken_by_faults_of_processes() {
    check(&short(1, Gaps::NONE));
}

const SLOW_LISTS: Gaps =
    Gaps { list_ms: (0, 300), end_ms: (0, 400), stamp_ms: (0, 20), ..Gaps::NONE };

/// Guards against tasks that run again because an answer of their runner lists their run neither as
/// active nor as completed.
#[test]
fn no_rule_is_broken_with_runners_that_take_time_to_list_runs() {
    check(&short(3, SLOW_LISTS));
}

/// Guards against tasks that run again because a new leader finds runs in neither list.
#[test]
fn no_rule_is_broken_by_takeovers_with_runners_that_take_time_to_list_runs() {
    let gaps = Gaps { early_number: true, ..SLOW_LISTS };
    check(&Plan { traffic_s: 9, tail_s: 3, faults: faults("kill"), ..short(2, gaps) });
}

/// Guards against tasks that run again because their completion does not fit into an answer.
#[test]
fn no_rule_is_broken_with_runners_that_list_few_completions_at_once() {
    check(&short(2, Gaps { page: 5, ..SLOW_LISTS }));
}

/// Guards against tasks that run again because a new leader finds more completions than one answer
/// lists, so that it receives some of them late.
#[test]
fn no_rule_is_broken_by_takeovers_with_completions_that_wait_to_be_listed() {
    let gaps = Gaps { page: 2, ..Gaps::NONE };
    check(&Plan { traffic_s: 9, tail_s: 3, faults: faults("kill"), ..short(2, gaps) });
}

/// Guards against jobs that have nothing running because each new leader in a series waits anew for
/// the runs on lost runners.
#[test]
fn no_job_stands_still_after_lost_runners_and_a_series_of_leaders() {
    let script = &[(3_000, Fault::RunnerLost), (3_000, Fault::LeaderSeries)];
    let short = short(4, Gaps::NONE);
    check(&Plan { runners: 16, traffic_s: 6, tail_s: 16, faults: faults(""), script, ..short });
}

#[test]
#[ignore = "run by hand"]
fn runs_by_hand() {
    let (first, last) = range("SEEDS", (1, 1));
    let mut failed = Vec::new();
    for seed in first..=last {
        let plan = Plan {
            seed,
            instances: setting("INSTANCES", 3),
            runners: setting("RUNNERS", 12),
            traffic_s: setting("TRAFFIC_S", 60),
            tail_s: setting("TAIL_S", 14),
            gaps: Gaps {
                list_ms: range("LIST_MS", (0, 0)),
                end_ms: range("END_MS", (0, 0)),
                early_number: setting("EARLY_NUMBER", false),
                stamp_ms: range("STAMP_MS", (0, 0)),
                page: setting("PAGE", 500),
                answer_ms: range("ANSWER_MS", (0, 0)),
            },
            gangs: setting("GANGS", true),
            faults: faults(&setting("FAULTS", "all".to_string())),
            script: &[],
            calm_ms: setting("CALM_MS", judge::CALM_MS),
        };
        let outcome = task::block_on(soak::run(&plan));
        report(&plan, &outcome);
        if !outcome.violations.is_empty() {
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "rules broken with seeds {failed:?}");
}
