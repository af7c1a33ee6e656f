//! Storing what the scheduler decides: what goes into one transaction, and what a slow store holds up.

mod common {
    pub mod control;
    pub mod runner;
}

use common::control::{queue, step, Cell, StoreTimes, RULES};
use currantgw::control::leader::Duty;
use currantgw::control::model::{Approval, JobId, JobState};
use currantgw::control::parts::{Part, Scope};
use currantgw::kernel::res::Resources;

/// Time of a transaction of one part and way of a call on a store that is well, ms.
const WELL: StoreTimes = StoreTimes { txn: 3, way: 4 };

/// ... and on one that is sixty times too slow.
const SLOW: StoreTimes = StoreTimes { txn: 180, way: 240 };

/// A commit of a store that is well takes less, ms.
const QUICK_MS: u64 = 50;

/// Queue of lookups, whose questions take 30 ms.
const LOOKUPS: Approval = Approval { base_ms: 20.0, each_ms: 1.0, valid_ms: 2_000 };

fn part(n: usize) -> Part {
    Part::all().nth(n).unwrap()
}

/// Commits until no more may be sent at `now`.
fn send(duty: &mut Duty, wants: impl Fn(Part) -> bool, now: u64) -> Vec<Scope> {
    let mut out = Vec::new();
    while let Some(scope) = duty.next(&wants, now) {
        duty.commits(scope, now);
        out.push(scope);
    }
    out
}

#[test]
fn a_quick_store_takes_all_parts_in_one_transaction() {
    let mut duty = Duty::new(true, 0);
    assert!(duty.next(|_| false, 0).is_none());
    assert_eq!(send(&mut duty, |_| true, 0), [Scope::All; 3]);
    duty.committed(Scope::All, true, 0, QUICK_MS);
    assert_eq!(send(&mut duty, |p| p == part(3), QUICK_MS), [Scope::All]);
}

/// Symptom: on a store sixty times too slow placements wait for seconds.
/// Sequence: a commit takes 0.5 s; all that changes goes into one transaction after the other.
/// Cause: transactions of different parts need not wait for each other, and did.
#[test]
fn a_slow_store_takes_each_part_by_itself() {
    let mut duty = Duty::new(true, 0);
    duty.commits(Scope::All, 0);
    duty.committed(Scope::All, true, 0, QUICK_MS + 1);
    let now = 60;
    // One of each part, a second one a moment later, and no more: they would only wait there.
    let sent = send(&mut duty, |_| true, now);
    assert_eq!(sent, Part::all().map(Scope::One).collect::<Vec<_>>());
    assert_eq!(send(&mut duty, |_| true, now + 20).len(), sent.len());
    assert!(send(&mut duty, |_| true, now + 100).is_empty());
    // Quick again for a while, it takes all in one.
    for _ in 0..2 {
        Part::all().for_each(|p| duty.committed(Scope::One(p), true, now + 190, now + 200));
    }
    assert_eq!(send(&mut duty, |_| true, 2_060), [Scope::All; 3]);
}

/// A part that is away holds up only what is in it, and is tried again in a moment.
#[test]
fn a_part_that_is_away_holds_up_itself_alone() {
    let mut duty = Duty::new(true, 0);
    duty.commits(Scope::All, 0);
    duty.committed(Scope::All, false, 0, 900);
    assert_eq!(send(&mut duty, |_| true, 960).len(), Part::all().count());
    for p in Part::all() {
        duty.committed(Scope::One(p), p != part(0), 960, 970);
    }
    let sent = send(&mut duty, |_| true, 1_000);
    assert!(!sent.contains(&Scope::One(part(0))) && sent.len() == Part::all().count() - 1);
    assert!(send(&mut duty, |p| p == part(0), 1_030).contains(&Scope::One(part(0))));
}

/// Where the store takes no transaction over several parts none is sent.
#[test]
fn parts_are_written_apart_where_the_store_asks_for_it() {
    let mut duty = Duty::new(false, 0);
    assert_eq!(send(&mut duty, |p| p.index() < 2, 0), [Scope::One(part(0)), Scope::One(part(1))]);
}

/// Only answers prolong the term.
#[test]
fn a_term_is_over_without_answers_of_the_store() {
    let mut duty = Duty::new(true, 0);
    duty.commits(Scope::All, 0);
    duty.committed(Scope::All, false, 0, 1_000);
    assert!(!duty.over(10_000) && duty.over(10_001));
    duty.acknowledged(5_000);
    assert!(!duty.over(15_000) && duty.over(15_001));
}

/// A cell of 40 runners whose lookups need approval.
fn cell() -> Cell {
    let room = Resources { cpu: 16_000, mem: 64_000, acc: 0 };
    let queues = vec![queue("lookups", 0, 3, Some(LOOKUPS))];
    let mut cell = Cell::with(RULES, 40, room, queues, 3);
    cell.lines = vec![0.0; 8];
    cell.engine.lines = 8;
    cell.times = Some(WELL);
    cell.run(300);
    cell
}

/// Which part of the store progress goes to.
#[derive(Clone, Copy)]
enum Ids {
    /// All of them in turn.
    Spread,
    /// One.
    Alone,
}

/// What lookups met that came in one second after the other.
struct Second {
    /// Median time to the first start, ms.
    wait: u64,
    /// Questions asked.
    questions: usize,
}

/// Plays `seconds` of lookups, `per_s` of them in each.
fn play(cell: &mut Cell, ids: Ids, from: u64, seconds: u64, per_s: u64) -> Vec<Second> {
    let mut jobs: Vec<Vec<(JobId, u64)>> = Vec::new();
    let mut asked = Vec::new();
    for s in 0..seconds {
        let before = cell.asked.len();
        let mut mine = Vec::new();
        for n in 0..per_s {
            let number = (from + s) * 1_000 + n + 1;
            let id = match ids {
                Ids::Spread => number << 48 | number | (number % 8) << 61,
                Ids::Alone => number,
            };
            mine.push((cell.submit(id, "lookups", vec![step(1, 1_000, 600)]), cell.now));
            cell.run(1_000 / per_s);
        }
        asked.push(cell.asked.len() - before);
        jobs.push(mine);
    }
    cell.run(4_000);
    let second = |(mine, questions): (Vec<(JobId, u64)>, usize)| {
        let waited = |(id, at): &(JobId, u64)| cell.began.get(id).map_or(u64::MAX, |b| b - at);
        let mut waits: Vec<u64> = mine.iter().map(waited).collect();
        waits.sort_unstable();
        Second { wait: waits[waits.len() / 2], questions }
    };
    jobs.into_iter().zip(asked).map(second).collect()
}

/// Symptom: in a burst of lookups on a slow store they start after 2.4 s instead of 0.05 s.
/// Sequence: a store sixty times too slow carries out five transactions a second in a part, some
/// 240 rows; twice as many change.
/// Cause: all progress was in one part.
#[test]
fn a_burst_on_a_slow_store_is_stored_in_several_parts() {
    let mut cell = cell();
    cell.times = Some(SLOW);
    let seconds = play(&mut cell, Ids::Spread, 0, 6, 200);
    let waits: Vec<u64> = seconds.iter().map(|s| s.wait).collect();
    assert!(waits[1..].iter().all(|w| *w <= 1_000), "{waits:?}");
    cell.check();
}

/// Symptom: ten times the questions to the approval service, and starts seconds late for
/// twelve seconds after the store is well again.
/// Sequence: more is placed than the store takes; tickets run out before the start; each is asked for
/// again, and what it approves is placed and waits in turn.
/// Cause: nothing bounded what was decided by what was stored.
#[test]
fn no_more_is_decided_than_the_store_takes() {
    let mut cell = cell();
    let calm = play(&mut cell, Ids::Alone, 0, 2, 200);
    cell.times = Some(SLOW);
    let slow = play(&mut cell, Ids::Alone, 10, 6, 200);
    let most = slow.iter().map(|s| s.questions).max().unwrap();
    assert!(most <= 2 * calm[0].questions, "{most} questions, {} when calm", calm[0].questions);
    cell.times = Some(WELL);
    let after = play(&mut cell, Ids::Alone, 30, 3, 200);
    assert!(after[2].wait <= 2 * calm[0].wait, "{} ms, {} when calm", after[2].wait, calm[0].wait);
    cell.check();
}

/// A part that is away holds up its own jobs, and they start once it is back.
#[test]
fn jobs_of_a_part_that_is_away_start_when_it_is_back() {
    let mut cell = cell();
    cell.away = Some(part(0));
    let lost = cell.submit(1, "lookups", vec![step(1, 1_000, 600)]);
    let other = cell.submit(u64::MAX, "lookups", vec![step(1, 1_000, 600)]);
    cell.run(3_000);
    assert_eq!((cell.stored(lost), cell.stored(other)), (JobState::Queued, JobState::Completed));
    cell.away = None;
    cell.run(2_500);
    assert_eq!(cell.stored(lost), JobState::Completed);
    cell.check();
}
