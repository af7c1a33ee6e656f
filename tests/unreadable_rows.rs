//! Invalid rows of the control plane's own tables, which cannot be decoded or hold an impossible
//! value: each is a typed error, and a new leader finds all the others.

use assert_matches::assert_matches;
use ciborium::Value;
use currantgw::control::mirror::{Mirror, Table};
use currantgw::control::model::{self, Approval, Attempt, Born, JobId, JobSpec, JobState, Step};
use currantgw::control::ports::{
    Change, Changes, Commit, CommitError, Key, Page, ReadError, Row, Store, Txn,
};
use currantgw::control::queue_row::QueueRow;
use currantgw::control::rows::{self, BadRow, JobRow, LeaderRow, ProgressRow, StepRow, TaskRow};
use currantgw::control::store_health::StoreHealth;
use currantgw::kernel::clock::Clock;
use proptest::prelude::*;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};

/// A store with fixed rows that returns each change once.
#[derive(Default)]
struct FixedStore {
    rows: Vec<Row>,
    feed: Mutex<Vec<Change>>,
}

#[tide::utils::async_trait]
impl Store for FixedStore {
    async fn commit(&self, _: &Txn, _: u64) -> Result<Commit, CommitError> {
        Err(CommitError::NotDone("read-only store".into()))
    }

    async fn page(
        &self,
        table: &str,
        part: &str,
        from: &str,
        to: Option<&str>,
        _: usize,
    ) -> Result<Page, ReadError> {
        let within = |k: &Key| k.key.as_str() >= from && to.is_none_or(|t| k.key.as_str() < t);
        let matching = |r: &&Row| r.key.table == table && r.key.part == part && within(&r.key);
        Ok(Page {
            rows: self.rows.iter().filter(matching).cloned().collect(),
            has_more: false,
            version: 9,
        })
    }

    async fn changes(&self, table: &str, _: u64, _: u64) -> Result<Changes, ReadError> {
        let of_table = |c: &Change| matches!(c, Change::Put(r) if r.key.table == table);
        let mut feed = self.feed.lock().unwrap();
        let (rows, rest) = std::mem::take(&mut *feed).into_iter().partition(of_table);
        *feed = rest;
        Ok(Changes { rows, version: 12 })
    }
}

fn job() -> JobRow {
    let step = Step { count: 2, estimate: 900, ..Step::default() };
    let next = Step { count: 1, after: vec![0], ..Step::default() };
    let spec = JobSpec { payload: "s".into(), steps: vec![step, next], ..JobSpec::default() };
    let (team, at) = (Some("t".into()), 1_700_000_000_000);
    JobRow { queue: "q".into(), team, at, spec, definition: Some(definition()) }
}

fn definition() -> QueueRow {
    let approval = Approval { base_ms: 360.0, each_ms: 5.1, valid_ms: 1_500 };
    QueueRow {
        version: 7,
        service: "svc".into(),
        priority: 1,
        max_fails: 3,
        slack: 2.5,
        latency_ms: 1_000,
        approval: Some(approval),
    }
}

fn progress() -> ProgressRow {
    let task = TaskRow(Attempt(2), 1, false, "runner".into(), "c".into(), 1, Some(Born(7)));
    let done = TaskRow(Attempt(1), 0, true, String::new(), String::new(), 0, None);
    let unreported = BTreeSet::from([Attempt(1)]);
    let of_tasks = BTreeMap::from([(0, BTreeMap::from([(0, unreported.clone())]))]);
    let first = StepRow(0, Attempt(0), vec![task, done.clone()], unreported);
    let second = StepRow(0, Attempt(0), vec![done], BTreeSet::new());
    ProgressRow {
        state: JobState::Running,
        ended: 0,
        steps: vec![first, second],
        unreported: of_tasks,
        definition: Some(definition()),
    }
}

fn leader() -> LeaderRow {
    let links = Some("127.0.0.1:9000".parse().unwrap());
    LeaderRow { node: "n".into(), life: 7, links, size: 250, next: "m".into(), prior_ms: None }
}

/// A job id for `n`, each in a partition of its own.
fn id(n: u64) -> JobId {
    JobId(n << 58 | n)
}

fn row(key: Key, value: Vec<u8>, version: u64) -> Row {
    Row { key, value, version }
}

/// Invalid values: empty, random, truncated, with trailing bytes, or the row of another table.
fn bad_values(whole: &[u8]) -> Vec<Vec<u8>> {
    let mut longer = whole.to_vec();
    longer.push(0);
    let deep = vec![0x81; 5_000];
    vec![
        Vec::new(),
        b"junk".to_vec(),
        vec![0xff; 40],
        whole[..whole.len() - 1].to_vec(),
        whole[..whole.len() / 2].to_vec(),
        longer,
        deep,
        rows::encode(&7),
        rows::encode(&leader()),
    ]
}

async fn loaded_mirror(store: FixedStore) -> Mirror {
    let clock = Clock::real();
    let mirror = Mirror::new(Arc::new(store), Arc::new(StoreHealth::new(clock.clone())), clock);
    for table in [Table::Jobs, Table::Progress] {
        mirror.poll(table, 0).await.unwrap();
    }
    mirror
}

/// Guards against a takeover that fails, or finds no job, because another program or another
/// version has written a row that cannot be decoded. An error for one row must not end the read of
/// the table.
#[async_std::test]
async fn a_new_leader_finds_every_valid_row_beside_invalid_ones() {
    let bad_jobs = bad_values(&rows::encode(&job()));
    let bad_progress = bad_values(&rows::encode(&progress()));
    let mut all = Vec::new();
    for n in 0..20 {
        all.push(row(rows::job_key(id(n)), rows::encode(&job()), n + 1));
        all.push(row(rows::progress_key(id(n)), rows::encode(&progress()), n + 1));
    }
    for (n, value) in (20..).zip(&bad_jobs) {
        all.push(row(rows::job_key(id(n)), value.clone(), n));
        all.push(row(rows::progress_key(id(n)), rows::encode(&progress()), n));
    }
    for (n, value) in (40..).zip(&bad_progress) {
        all.push(row(rows::job_key(id(n)), rows::encode(&job()), n));
        all.push(row(rows::progress_key(id(n)), value.clone(), n));
    }
    for (key, value) in [("", b"".to_vec()), ("x.cancel", b"1".to_vec()), ("\u{1}", vec![255])] {
        all.push(row(Key::new(rows::JOBS, "00", key), value.clone(), 3));
        all.push(row(Key::new(rows::PROGRESS, rows::ELECTION_PARTITION, key), value, 3));
    }
    let mirror = loaded_mirror(FixedStore { rows: all, ..FixedStore::default() }).await;
    let found = mirror.snapshot();
    let ids: BTreeSet<JobId> = found.iter().map(|f| f.id).collect();
    assert_eq!(ids, (0..20).map(id).collect());
    for f in &found {
        assert_eq!(f.progress.as_ref().map(|(_, p)| p), Some(&progress()), "{}", f.id);
        assert_eq!(*f.row, job());
    }
    let held: BTreeMap<JobId, Option<JobRow>> = mirror
        .unreadable_jobs()
        .into_iter()
        .map(|f| (f.id, f.row.map(|row| (*row).clone())))
        .collect();
    let without_row = (20..).take(bad_jobs.len()).map(|n| (id(n), None));
    let with_row = (40..).take(bad_progress.len()).map(|n| (id(n), Some(job())));
    assert_eq!(held, without_row.chain(with_row).collect());
}

/// On the change feed, a row that cannot be decoded neither stops the rows behind it nor discards
/// the known state of its job. A job whose newest progress is such a row is held until one that can
/// be decoded replaces it.
#[async_std::test]
async fn the_feed_continues_past_rows_that_cannot_be_decoded() {
    let known = vec![
        row(rows::job_key(id(1)), rows::encode(&job()), 1),
        row(rows::progress_key(id(1)), rows::encode(&progress()), 2),
    ];
    let put = |key, value, version| Change::Put(row(key, value, version));
    let feed = vec![
        put(rows::job_key(id(1)), b"junk".to_vec(), 10),
        put(rows::job_key(id(2)), rows::encode(&job()), 11),
        put(rows::progress_key(id(1)), b"junk".to_vec(), 11),
        put(rows::progress_key(id(2)), rows::encode(&progress()), 12),
    ];
    let mirror = loaded_mirror(FixedStore { rows: known, feed: Mutex::new(feed) }).await;
    for table in [Table::Jobs, Table::Progress] {
        assert_eq!(mirror.poll(table, 0).await, Ok(2));
        assert_eq!(mirror.cached_version(table), Some(12));
    }
    let versions = || -> Vec<(JobId, Option<u64>)> {
        let found = mirror.snapshot().into_iter();
        found.map(|f| (f.id, f.progress.map(|(version, _)| version))).collect()
    };
    let held =
        || mirror.unreadable_jobs().into_iter().map(|f| (f.id, f.row)).collect::<BTreeMap<_, _>>();
    assert_eq!(versions(), [(id(2), Some(12))]);
    assert_eq!(held(), BTreeMap::from([(id(1), Some(Arc::new(job())))]));
    assert_eq!(mirror.job_state(id(1)), Some(JobState::Running));
    mirror.put_progress(id(1), 10, JobState::Running, rows::encode(&progress()));
    mirror.put_state(id(1), 13, JobState::Running);
    assert_eq!(held().len(), 1);
    mirror.put_progress(id(1), 13, JobState::Running, rows::encode(&progress()));
    assert_eq!(versions(), [(id(1), Some(13)), (id(2), Some(12))]);
    assert!(held().is_empty());
}

fn refused<T: DeserializeOwned + std::fmt::Debug>(value: &impl Serialize, expected: &str) {
    match rows::decode::<T>(&rows::encode(value)) {
        Err(BadRow::Unreadable(why)) => assert!(why.contains(expected), "{why}"),
        other => panic!("{expected}: {other:?}"),
    }
}

/// Guards against schedulers that crash one after the other at each takeover because of a row whose
/// step has 2^32 - 1 tasks, or depends on a step that does not exist. Rows are checked like
/// submissions when they are read.
#[test]
fn a_stored_job_is_checked_like_a_submission() {
    let changed = |change: fn(&mut JobRow)| {
        let mut row = job();
        change(&mut row);
        row
    };
    refused::<JobRow>(&changed(|r| r.spec.steps[0].count = u32::MAX), "count");
    refused::<JobRow>(&changed(|r| r.spec.steps[0].count = 0), "count");
    refused::<JobRow>(&changed(|r| r.spec.steps[1].after = vec![9]), "after");
    refused::<JobRow>(&changed(|r| r.spec.steps[0].need.cpu = u64::MAX), "cpu");
    refused::<JobRow>(&changed(|r| r.spec.steps[0].estimate = u64::MAX), "times");
    refused::<JobRow>(&changed(|r| r.spec.steps[0].tail_ms = u64::MAX), "times");
    refused::<JobRow>(&changed(|r| r.spec.first_ms = u64::MAX), "first_run_ms");
    refused::<JobRow>(&changed(|r| r.spec.every_ms = u64::MAX), "interval_ms");
    refused::<JobRow>(&changed(|r| r.spec.times = u32::MAX), "tasks");
    refused::<JobRow>(&changed(|r| r.spec.steps.clear()), "phases");
    refused::<JobRow>(&changed(|r| r.at = u64::MAX), "moment");
}

/// Guards against a scheduler that stops, or starts a task with an attempt number that it had
/// before, because of a row with the highest attempt number, whose successor overflows; likewise
/// for failures, and for the time until an ended job is removed.
#[test]
fn progress_out_of_bounds_is_refused() {
    let changed = |change: fn(&mut ProgressRow)| {
        let mut row = progress();
        change(&mut row);
        row
    };
    let beyond = Attempt(Attempt::LAST + 1);
    assert_eq!(beyond.0 - 1, Attempt::try_from(Attempt::LAST).unwrap().0);
    refused::<ProgressRow>(&changed(|r| r.steps[0].2[0].0 = Attempt(u32::MAX)), "attempt");
    refused::<ProgressRow>(&changed(|r| r.steps[0].1 = Attempt(u32::MAX)), "attempt");
    refused::<ProgressRow>(&changed(|r| r.steps[0].3.extend([Attempt(u32::MAX)])), "attempt");
    let late = |r: &mut ProgressRow| {
        r.unreported.get_mut(&0).unwrap().get_mut(&0).unwrap().insert(Attempt(u32::MAX));
    };
    refused::<ProgressRow>(&changed(late), "attempt");
    refused::<ProgressRow>(&changed(|r| r.steps[0].2[0].1 = u32::MAX), "failures");
    refused::<ProgressRow>(&changed(|r| r.steps[0].0 = u32::MAX), "failures");
    refused::<ProgressRow>(&changed(|r| r.ended = u64::MAX), "moment");
    refused::<LeaderRow>(&LeaderRow { size: u64::MAX, ..leader() }, "size");
}

/// The fields of a row as CBOR.
fn fields(value: &impl Serialize) -> Vec<(Value, Value)> {
    match ciborium::from_reader(rows::encode(value).as_slice()).unwrap() {
        Value::Map(fields) => fields,
        other => panic!("not a map: {other:?}"),
    }
}

/// Decodes `whole` with each field in turn missing, null or of another type; `accepts` lists the
/// cases that are decoded in spite of it.
fn check_fields<T: Serialize + DeserializeOwned>(whole: &T, accepts: &[(&str, Option<Value>)]) {
    let values = [
        None,
        Some(Value::Null),
        Some(Value::Bool(true)),
        Some(Value::Integer((-1).into())),
        Some(Value::Float(1e30)),
        Some(Value::Text("READY".into())),
        Some(Value::Bytes(vec![255])),
        Some(Value::Array(vec![Value::Null])),
        Some(Value::Map(Vec::new())),
    ];
    for at in 0..fields(whole).len() {
        for value in &values {
            let mut changed = fields(whole);
            let name = changed[at].0.as_text().unwrap().to_string();
            match value {
                Some(v) => changed[at].1 = v.clone(),
                None => drop(changed.remove(at)),
            }
            let decoded = rows::decode::<T>(&rows::encode(&Value::Map(changed)));
            let accepted = accepts.iter().any(|(n, v)| *n == name && v == value);
            assert_eq!(decoded.is_ok(), accepted, "{name} {value:?}");
        }
    }
}

#[test]
fn every_field_of_a_row_must_have_its_type() {
    let text = |name| (name, Some(Value::Text("READY".into())));
    // Older versions knew no teams.
    let team = [text("team"), ("team", None), ("team", Some(Value::Null))];
    // Older versions wrote no definition of the queue, and progress has one only for removed queues.
    let definition = [("definition", None), ("definition", Some(Value::Null))];
    check_fields(&job(), &[&[text("queue")], &team[..], &definition[..]].concat());
    // Older versions wrote no attempts of single tasks whose completion was not reported.
    let unreported = [("unreported", None), ("unreported", Some(Value::Map(Vec::new())))];
    check_fields(&progress(), &[&unreported[..], &definition[..]].concat());
    let links = [("links", None), ("links", Some(Value::Null))];
    let next = [text("next"), ("next", None)];
    let others = [text("node"), links[0].clone(), links[1].clone(), ("size", None)];
    check_fields(&leader(), &[&others[..], &next[..]].concat());
    // Older versions wrote a step without the attempts whose completion was not reported.
    let older = (0u32, 0u32, Vec::<TaskRow>::new());
    let step = rows::decode::<StepRow>(&rows::encode(&older)).unwrap();
    assert_eq!(step.3, BTreeSet::new());
}

#[test]
fn bytes_that_are_not_a_row_are_typed_errors() {
    let whole = rows::encode(&progress());
    for value in bad_values(&whole) {
        assert!(rows::decode::<ProgressRow>(&value).is_err(), "{value:02x?}");
    }
    let mut longer = whole;
    longer.extend([1, 2]);
    assert_matches!(rows::decode::<ProgressRow>(&longer), Err(BadRow::Trailing(2)));
}

fn within_bounds(p: &ProgressRow) -> bool {
    let attempt = |a: &Attempt| a.0 <= Attempt::LAST;
    let task = |t: &TaskRow| attempt(&t.0) && t.1 <= Attempt::LAST;
    let step = |s: &StepRow| attempt(&s.1) && s.2.iter().all(task) && s.3.iter().all(attempt);
    let mut unreported = p.unreported.values().flat_map(|tasks| tasks.values().flatten());
    p.ended <= model::MAX_MOMENT && p.steps.iter().all(step) && unreported.all(attempt)
}

/// `whole` with one byte changed, or truncated at that byte.
fn corrupted(whole: Vec<u8>) -> impl Strategy<Value = Vec<u8>> {
    let len = whole.len();
    (0..len, any::<u8>(), any::<bool>()).prop_map(move |(at, b, cut)| {
        let mut out = whole.clone();
        out[at] = b;
        out.truncate(if cut { at } else { len });
        out
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, ..ProptestConfig::default() })]

    #[test]
    fn corrupted_jobs_are_errors_or_valid_jobs(
        value in corrupted(rows::encode(&job()))
    ) {
        if let Ok(row) = rows::decode::<JobRow>(&value) {
            prop_assert_eq!(row.spec.check(), Ok(()));
            prop_assert!(row.at <= model::MAX_MOMENT);
        }
    }

    #[test]
    fn corrupted_progress_is_an_error_or_within_bounds(
        value in corrupted(rows::encode(&progress()))
    ) {
        prop_assert!(rows::decode::<ProgressRow>(&value).map_or(true, |p| within_bounds(&p)));
    }

    #[test]
    fn any_bytes_are_decoded_or_refused(value in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = rows::decode::<JobRow>(&value);
        let _ = rows::decode::<ProgressRow>(&value);
        let _ = rows::decode::<LeaderRow>(&value);
        let _ = rows::parse_job_key(&String::from_utf8_lossy(&value));
    }

    #[test]
    fn rows_round_trip(
        at in 0..=model::MAX_MOMENT,
        attempt in 0..=Attempt::LAST,
        payload in ".{0,40}",
    ) {
        let mut row = job();
        (row.at, row.spec.payload) = (at, payload);
        prop_assert_eq!(&rows::decode::<JobRow>(&rows::encode(&row)).unwrap(), &row);
        let mut p = progress();
        p.steps[0].2[0].0 = Attempt(attempt);
        prop_assert_eq!(&rows::decode::<ProgressRow>(&rows::encode(&p)).unwrap(), &p);
    }
}

/// Guards against an error for rows that an earlier version wrote without a task's losses.
#[test]
fn progress_without_losses_is_decoded() {
    let earlier = (Attempt(2), 1_u32, false, "runner", "c");
    let read: TaskRow = rows::decode(&rows::encode(&earlier)).unwrap();
    assert_eq!(read, TaskRow(Attempt(2), 1, false, "runner".into(), "c".into(), 0, None));
}

/// Guards against an error for rows that an earlier version wrote without the incarnation of the
/// runner.
#[test]
fn progress_without_incarnations_is_decoded() {
    let earlier = (Attempt(2), 1_u32, false, "runner", "c", 3_u32);
    let read: TaskRow = rows::decode(&rows::encode(&earlier)).unwrap();
    assert_eq!(read, TaskRow(Attempt(2), 1, false, "runner".into(), "c".into(), 3, None));
}

/// Rows of progress as version 091395e reads and writes them.
mod landed {
    use currantgw::control::model::{Attempt, JobSpec, JobState};
    use currantgw::control::rows::TaskRow;
    use serde::{Deserialize, Serialize};
    use std::collections::BTreeSet;

    #[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
    pub struct StepRow(
        pub u32,
        pub Attempt,
        pub Vec<TaskRow>,
        #[serde(default)] pub BTreeSet<Attempt>,
    );

    #[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
    pub struct ProgressRow {
        pub state: JobState,
        pub ended: u64,
        pub steps: Vec<StepRow>,
    }

    /// A job's row before it held the definition of the queue.
    #[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
    pub struct JobRow {
        pub queue: String,
        pub team: Option<String>,
        pub at: u64,
        pub spec: JobSpec,
    }
}

fn landed_progress() -> landed::ProgressRow {
    let ProgressRow { state, ended, steps, .. } = progress();
    let step = |StepRow(fails, attempt, tasks, unreported)| {
        landed::StepRow(fails, attempt, tasks, unreported)
    };
    landed::ProgressRow { state, ended, steps: steps.into_iter().map(step).collect() }
}

/// Guards against a rolling update in which a leader of the landed version cannot read the progress
/// that this version has stored, and starts all tasks of the job again.
#[test]
fn progress_is_readable_for_the_landed_version_and_the_other_way_round() {
    let landed = landed_progress();
    let mut read: ProgressRow = rows::decode(&rows::encode(&landed)).unwrap();
    assert_eq!(rows::encode(&read), rows::encode(&landed));
    read.unreported = progress().unreported;
    read.definition = progress().definition;
    assert_eq!(read, progress());
    assert_eq!(rows::decode(&rows::encode(&read)), Ok(landed));
}

/// Guards against a rolling update in which an instance cannot read the jobs that the other version has
/// accepted.
#[test]
fn jobs_are_readable_for_the_version_without_definitions_and_the_other_way_round() {
    let JobRow { queue, team, at, spec, .. } = job();
    let landed = landed::JobRow { queue, team, at, spec };
    assert_eq!(rows::decode(&rows::encode(&job())), Ok(landed.clone()));
    let read: JobRow = rows::decode(&rows::encode(&landed)).unwrap();
    assert_eq!(read, JobRow { definition: None, ..job() });
    assert_eq!(rows::encode(&read), rows::encode(&landed));
}
