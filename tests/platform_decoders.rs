//! Decoders of the platform adapter on invalid input: every field missing, null, of another type,
//! negative, too large or in other letters, and bytes that are truncated or random. Each case
//! states the expected result: a typed error, or the part that can be decoded.

use assert_matches::assert_matches;
use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpListener;
use currantgw::control::model::{self, Attempt, Born, Catalogue, EndKind, Invalid, JobSpec};
use currantgw::control::ports::{AdviceError, PollRequest, Refusal, RunnerCall, Runners};
use currantgw::control::teams::{self, ApiKey, BadTeam};
use currantgw::http::ConnPool;
use currantgw::kernel::clock::Clock;
use currantgw::kernel::res::Resources;
use currantgw::platform::advice::{self, BadApproval};
use currantgw::platform::callers;
use currantgw::platform::catalogue::{self, BadCatalogue, BadRoute};
use currantgw::platform::reports::{self, BadItem, BadReport};
use currantgw::platform::runners::RunnerCalls;
use proptest::prelude::*;
use serde_json::{json, Value};
use std::time::{Duration, Instant};

const TASK: &str = "5c0e7a21d94b36f8.0.1.17";
const ENDED: &str = "5c0e7a21d94b36f8.0.1.9";
const BORN: u64 = 1_790_283_924_575;

/// Inputs that are not a JSON object of the expected form.
const NOISE: [&[u8]; 7] = [b"", b"\xff\xfe", b"{", b"7", b"null", b"{\"version\":", &[0; 64]];

/// Ways to corrupt a field: its value is replaced by one of these.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Case {
    Missing,
    Null,
    Bool,
    Empty,
    Word,
    List,
    Object,
    Negative,
    Fraction,
    Beyond64Bits,
    MaxU64,
}

const CASES: [Case; 11] = [
    Case::Missing,
    Case::Null,
    Case::Bool,
    Case::Empty,
    Case::Word,
    Case::List,
    Case::Object,
    Case::Negative,
    Case::Fraction,
    Case::Beyond64Bits,
    Case::MaxU64,
];

impl Case {
    fn value(self) -> Option<Value> {
        Some(match self {
            Self::Missing => return None,
            Self::Null => Value::Null,
            Self::Bool => json!(true),
            Self::Empty => json!(""),
            Self::Word => json!("READY"),
            Self::List => json!([[]]),
            Self::Object => json!({"a": 1}),
            Self::Negative => json!(-1),
            Self::Fraction => json!(0.5),
            Self::Beyond64Bits => json!(1e30),
            Self::MaxU64 => json!(u64::MAX),
        })
    }

    /// `whole` with the field at `path` corrupted.
    fn apply(self, whole: &Value, path: &str) -> Vec<u8> {
        let mut v = whole.clone();
        let (parent, field) = path.rsplit_once('/').unwrap();
        let inside = v.pointer_mut(parent).unwrap();
        match (self.value(), inside) {
            (Some(new), Value::Object(o)) => drop(o.insert(field.to_string(), new)),
            (None, Value::Object(o)) => drop(o.remove(field)),
            (Some(new), Value::Array(a)) => a[field.parse::<usize>().unwrap()] = new,
            (None, Value::Array(a)) => a.truncate(field.parse().unwrap()),
            (_, other) => panic!("{other} has no fields"),
        }
        v.to_string().into_bytes()
    }
}

/// Calls `check` with every corruption of each of the fields.
fn corrupt_each(whole: &Value, paths: &[&str], check: impl Fn(&str, Case, &[u8])) {
    for path in paths {
        assert!(whole.pointer(path).is_some(), "{path}");
        for case in CASES {
            check(path, case, &case.apply(whole, path));
        }
    }
}

fn bytes(v: &Value) -> Vec<u8> {
    v.to_string().into_bytes()
}

/// `whole` with one byte changed, or truncated at that byte.
fn corrupted(whole: &Value) -> impl Strategy<Value = Vec<u8>> {
    let whole = bytes(whole);
    let len = whole.len();
    (0..len, any::<u8>(), any::<bool>()).prop_map(move |(at, b, cut)| {
        let mut out = whole.clone();
        out[at] = b;
        out.truncate(if cut { at } else { len });
        out
    })
}

/// JSON of any shape with the field names that the decoders use.
fn any_json() -> impl Strategy<Value = Value> {
    let names = [
        "version",
        "routes",
        "name",
        "clock_ms",
        "born",
        "active",
        "finished",
        "approved",
        "phases",
        "count",
        "after",
        "spec",
        "reason",
        "validity_ms",
        "cpu",
        "estimate_ms",
        "slack_factor",
        "tenants",
        "api_keys",
        "weight",
        "cap",
    ];
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<u64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        "[ -~]{0,20}".prop_map(Value::from),
        Just(json!(TASK)),
        Just(json!("done")),
    ];
    leaf.prop_recursive(4, 48, 6, move |inner| {
        let field = (prop::sample::select(names.to_vec()), inner.clone());
        let fields = prop::collection::vec(field, 0..6);
        let named = |(name, v): (&str, Value)| (name.to_string(), v);
        prop_oneof![
            prop::collection::vec(inner, 0..6).prop_map(Value::from),
            fields.prop_map(move |f| Value::Object(f.into_iter().map(named).collect())),
        ]
    })
}

mod the_catalogue {
    use super::*;

    fn good() -> Value {
        json!({"version": 7, "routes": [
            {"name": "a", "host": "h.example", "path_prefix": "/x/", "service": "s",
             "priority": 0, "max_attempts": 3, "slack_factor": 2.2, "target_latency_ms": 250,
             "timeout_ms": 3000,
             "recommendation": {"decision_ms": 6.5, "per_item_ms": 0.1, "validity_ms": 2000}},
            {"name": "b", "host": "h.example", "path_prefix": "/y/", "service": "s"},
        ], "tenants": [
            {"name": "t", "api_keys": ["secret-1", "secret-2"], "weight": 1.5,
             "cap": {"cpu": 4000, "mem_mb": 100, "gpu": 1}},
            {"name": "u", "api_keys": ["secret-3"]},
        ]})
    }

    fn key(text: &str) -> ApiKey {
        ApiKey::try_from(text.to_string()).unwrap()
    }

    /// Name of the team of a key.
    fn team_of(cat: &Catalogue, text: &str) -> Option<String> {
        cat.teams.of_key(&key(text)).map(|t| t.name.clone())
    }

    fn bounded(cat: &Catalogue) -> bool {
        let span = |ms: f64| (0.0..=model::MAX_MS as f64).contains(&ms);
        let teams_bounded = cat.teams.iter().all(|t| {
            let cap = t.cap.cpu.max(t.cap.mem).max(t.cap.acc);
            !t.name.is_empty()
                && (0.0..=teams::MAX_WEIGHT).contains(&t.weight)
                && cap <= teams::MAX_CAP
        });
        teams_bounded
            && cat.queues.iter().all(|(name, q)| {
                let approval = q.approval.is_none_or(|a| span(a.base_ms) && span(a.each_ms));
                let times = q.latency_ms.max(q.timeout_ms) <= model::MAX_MS;
                let sound = (0.0..=1_000.0).contains(&q.slack) && q.max_fails > 0;
                *name == q.name && !q.prefix.is_empty() && approval && times && sound
            })
    }

    /// Guards against one invalid route that keeps all queues from being updated, or whose queue is
    /// ordered before all others. Another program may write a route with a field missing, of
    /// another type or out of bounds, so that routes are decoded one by one and durations and
    /// factors have bounds.
    #[test]
    fn an_invalid_route_does_not_affect_the_others() {
        let texts =
            ["/routes/0/name", "/routes/0/host", "/routes/0/path_prefix", "/routes/0/service"];
        corrupt_each(&good(), &texts, |path, case, body| {
            let read = catalogue::read(body).unwrap();
            let names: Vec<&str> = read.catalogue.queues.keys().map(String::as_str).collect();
            match case {
                Case::Word if path.ends_with("name") => assert_eq!(names, ["READY", "b"]),
                Case::Word => assert_eq!(names, ["a", "b"], "{path}"),
                Case::Empty => assert_matches!(read.bad[..], [BadRoute::Empty(_)]),
                _ => assert_matches!(read.bad[..], [BadRoute::Unreadable(_)], "{path} {case:?}"),
            }
            assert!(names.contains(&"b") && bounded(&read.catalogue));
        });
        let numbers = ["/routes/0/priority", "/routes/0/max_attempts"];
        let factors = [
            "/routes/0/slack_factor",
            "/routes/0/target_latency_ms",
            "/routes/0/timeout_ms",
            "/routes/0/recommendation/decision_ms",
            "/routes/0/recommendation/per_item_ms",
            "/routes/0/recommendation/validity_ms",
        ];
        for (paths, fraction) in [(&numbers[..], false), (&factors[..], true)] {
            corrupt_each(&good(), paths, |path, case, body| {
                let read = catalogue::read(body).unwrap();
                let valid = case == Case::Missing || (fraction && case == Case::Fraction);
                assert_eq!(read.bad.is_empty(), valid, "{path} {case:?}");
                assert_eq!(read.catalogue.queues.len(), if valid { 2 } else { 1 });
                assert!(bounded(&read.catalogue), "{path} {case:?}");
            });
        }
        corrupt_each(&good(), &["/routes/0/recommendation"], |_, case, body| {
            let queues = catalogue::read(body).unwrap().catalogue.queues;
            match case {
                Case::Missing | Case::Null => assert_eq!(queues["a"].approval, None),
                // A policy without costs.
                Case::Object => assert_eq!(queues["a"].approval.map(|a| a.valid_ms), Some(0)),
                _ => assert!(!queues.contains_key("a"), "{case:?}"),
            }
        });
        corrupt_each(&good(), &["/routes/0"], |_, case, body| {
            let read = catalogue::read(body).unwrap();
            // Truncating the list at the first route leaves none, which is a valid configuration.
            let counts = if case == Case::Missing { (0, 0) } else { (1, 1) };
            assert_eq!((read.catalogue.queues.len(), read.bad.len()), counts, "{case:?}");
        });
    }

    /// Guards against one invalid team that locks out the others, or that runs without a cap because
    /// its cap could not be decoded.
    #[test]
    fn an_invalid_team_does_not_affect_the_others() {
        let paths = [
            "/tenants/0/name",
            "/tenants/0/api_keys",
            "/tenants/0/weight",
            "/tenants/0/cap",
            "/tenants/0/cap/cpu",
            "/tenants/0/cap/mem_mb",
            "/tenants/0/cap/gpu",
        ];
        corrupt_each(&good(), &paths, |path, case, body| {
            let read = catalogue::read(body).unwrap();
            let cat = &read.catalogue;
            assert_eq!(team_of(cat, "secret-3").as_deref(), Some("u"), "{path} {case:?}");
            assert!(cat.queues.len() == 2 && bounded(cat), "{path} {case:?}");
            let valid = match (path, case) {
                ("/tenants/0/name", Case::Word) => true,
                ("/tenants/0/name", _) => false,
                (_, Case::Missing) => true,
                ("/tenants/0/weight", Case::Fraction) => true,
                ("/tenants/0/cap", Case::Object) => true,
                _ => false,
            };
            assert_eq!(read.bad_teams.is_empty(), valid, "{path} {case:?} {:?}", read.bad_teams);
            let expected = if valid { 2 } else { 1 };
            assert_eq!(cat.teams.len(), expected, "{path} {case:?}");
            let shown = format!("{:?}", read.bad_teams);
            assert!(!shown.contains("secret"), "{shown}");
        });
        let good = catalogue::read(&bytes(&good())).unwrap().catalogue;
        let team = good.teams.get("t").unwrap();
        assert_eq!((team.weight, team.cap.cpu, team.cap.mem, team.cap.acc), (1.5, 4_000, 100, 1));
        assert_eq!(good.teams.get("u").unwrap().cap, Resources::ZERO);
        assert_eq!(good.teams.key_count(), 3);
    }

    /// Of two teams with one name the first holds; a key of two teams is the first one's; an empty
    /// or endless key is no key, and the team keeps its others.
    #[test]
    fn keys_and_names_are_unique() {
        let mut v = good();
        let long = "x".repeat(teams::MAX_KEY + 1);
        v["tenants"][1]["api_keys"] = json!(["", long, "secret-1", "secret-3", "secret-3"]);
        let read = catalogue::read(&bytes(&v)).unwrap();
        let bad = [
            BadTeam::Key("u".into()),
            BadTeam::Key("u".into()),
            BadTeam::SharedKey("u".into(), "t".into()),
        ];
        assert_eq!(read.bad_teams, bad);
        assert_eq!(team_of(&read.catalogue, "secret-1").as_deref(), Some("t"));
        assert_eq!(team_of(&read.catalogue, "secret-3").as_deref(), Some("u"));
        v["tenants"][1]["name"] = json!("t");
        let read = catalogue::read(&bytes(&v)).unwrap();
        assert_eq!(read.bad_teams, [BadTeam::Duplicate("t".into())]);
        assert_eq!(team_of(&read.catalogue, "secret-3"), None);
        v["tenants"] = json!([{"name": "t", "cap": {"cpu": teams::MAX_CAP + 1}}, {"name": "u"}]);
        let read = catalogue::read(&bytes(&v)).unwrap();
        assert_eq!(read.bad_teams, [BadTeam::Cap("t".into())]);
        assert_eq!(read.catalogue.teams.len(), 1);
    }

    /// Tens of thousands of teams and keys are decoded, and looked up, in a fraction of the time in
    /// which a configuration must be in force.
    #[test]
    fn tens_of_thousands_of_teams_are_decoded() {
        let tenant = |n: u64| {
            json!({"name": format!("team-{n}"), "weight": 1,
            "api_keys": [format!("a-{n}"), format!("b-{n}")], "cap": {"cpu": n, "mem_mb": n}})
        };
        let mut v = good();
        v["tenants"] = (0..20_000).map(tenant).collect();
        let body = bytes(&v);
        let began = Instant::now();
        let read = catalogue::read(&body).unwrap();
        assert!(began.elapsed() < Duration::from_secs(2), "{:?}", began.elapsed());
        assert_eq!((read.catalogue.teams.len(), read.bad_teams.len()), (20_000, 0));
        assert_eq!(team_of(&read.catalogue, "b-19999").as_deref(), Some("team-19999"));
    }

    #[test]
    fn the_first_of_two_routes_with_one_name_holds() {
        let mut two = good();
        two["routes"][1]["name"] = json!("a");
        let read = catalogue::read(&bytes(&two)).unwrap();
        assert_eq!(read.bad, [BadRoute::Duplicate("a".into())]);
        assert_eq!(read.catalogue.queues["a"].prefix, "/x/");
    }

    /// Guards against an invalid configuration that replaces the current one: a row that is not a
    /// configuration, after which no request finds its queue, or a version so high that no later
    /// configuration comes into force. An empty configuration differs from one that cannot be
    /// decoded.
    #[test]
    fn an_invalid_configuration_is_rejected() {
        corrupt_each(&good(), &["/version"], |_, case, body| match case {
            Case::MaxU64 => assert_matches!(catalogue::read(body), Err(BadCatalogue::Version(_))),
            _ => {
                assert_matches!(catalogue::read(body), Err(BadCatalogue::Unreadable(_)), "{case:?}")
            }
        });
        corrupt_each(&good(), &["/routes"], |_, case, body| match case {
            Case::Missing => assert!(catalogue::read(body).unwrap().catalogue.queues.is_empty()),
            Case::List => {
                assert_matches!(catalogue::read(body), Err(BadCatalogue::Routes { count: 1, .. }));
            }
            _ => {
                assert_matches!(catalogue::read(body), Err(BadCatalogue::Unreadable(_)), "{case:?}")
            }
        });
        for body in NOISE {
            assert_matches!(catalogue::decode(body), Err(BadCatalogue::Unreadable(_)));
        }
        let other = good().to_string().replace("version", "Version").into_bytes();
        assert_matches!(catalogue::read(&other), Err(BadCatalogue::Unreadable(_)));
    }

    proptest! {
        #[test]
        fn corrupted_bytes_yield_an_error_or_queues_within_bounds(body in corrupted(&good())) {
            if let Ok(read) = catalogue::read(&body) {
                prop_assert!(bounded(&read.catalogue));
            }
            let _ = catalogue::decode(&body);
        }

        #[test]
        fn any_json_yields_an_error_or_queues_within_bounds(v in any_json()) {
            let teams = json!({"version": 1, "tenants": [v.clone()]});
            for body in [v.clone(), json!({"version": 1, "routes": [v]}), teams] {
                if let Ok(read) = catalogue::read(&bytes(&body)) {
                    prop_assert!(bounded(&read.catalogue));
                }
            }
        }
    }
}

mod a_submission {
    use super::*;

    fn good() -> Value {
        json!({"spec": "s", "first_run_ms": 1_700_000_000_000u64, "interval_ms": 500,
            "repeat_count": 2, "phases": [
            {"count": 2, "cpu": 500, "mem_mb": 256, "gpu": 1, "estimate_ms": 900},
            {"count": 1, "cpu": 1, "mem_mb": 1, "gpu": 0, "estimate_ms": 9.5, "after": [0],
             "checkpointing": true, "gang": true, "rack_local": true, "requires": "a",
             "data_locality": "r1-3", "anti_affinity": 1, "speculative": true,
             "long_running": true, "image": "i", "target_ms": 80, "fill_count": true,
             "max_unavailable": 1},
        ]})
    }

    fn bounded(job: &JobSpec) -> bool {
        let need = |s: &model::Step| s.need.cpu.max(s.need.mem).max(s.need.acc);
        let step = |s: &model::Step| {
            need(s) <= model::MAX_NEED && s.estimate.max(s.tail_ms) <= model::MAX_MS
        };
        let last = job.due(job.occurrences()).is_none_or(|due| due < 1 << 60);
        job.check().is_ok() && job.steps.iter().all(step) && last
    }

    /// Guards against a job that stops the scheduler or distorts the order of all others: one that
    /// requests 2^64 - 1 thousandths of a core, or is estimated at 10^30 ms or at -1 ms. Sums over
    /// the waiting jobs would overflow.
    #[test]
    fn every_invalid_field_is_refused_or_within_bounds() {
        let good = good();
        let texts = ["/spec", "/phases/1/requires", "/phases/1/data_locality", "/phases/1/image"];
        let flags =
            ["checkpointing", "gang", "rack_local", "speculative", "long_running", "fill_count"];
        let flags = flags.map(|f| format!("/phases/1/{f}"));
        let flags: Vec<&str> = flags.iter().map(String::as_str).collect();
        let counts = [
            "/first_run_ms",
            "/interval_ms",
            "/repeat_count",
            "/phases/1/anti_affinity",
            "/phases/1/max_unavailable",
            "/phases/1/cpu",
            "/phases/1/mem_mb",
            "/phases/1/gpu",
        ];
        let times = ["/phases/1/estimate_ms", "/phases/1/target_ms"];
        let kinds: [(&[&str], &[Case]); 4] = [
            (&texts, &[Case::Missing, Case::Empty, Case::Word]),
            (&flags, &[Case::Missing, Case::Bool]),
            (&counts, &[Case::Missing]),
            (&times, &[Case::Missing, Case::Fraction]),
        ];
        for (paths, accepted) in kinds {
            corrupt_each(&good, paths, |path, case, body| {
                let got = callers::job(body);
                assert_eq!(got.is_ok(), accepted.contains(&case), "{path} {case:?} {got:?}");
                assert!(got.is_ok_and(|job| bounded(&job)) || !accepted.contains(&case));
            });
        }
        corrupt_each(&good, &["/phases/1/after"], |_, case, body| {
            assert_eq!(callers::job(body).is_ok(), case == Case::Missing, "{case:?}");
        });
        corrupt_each(&good, &["/phases/1/count", "/phases/1", "/phases"], |path, case, body| {
            let accepted = path == "/phases/1" && case == Case::Missing;
            assert_eq!(callers::job(body).is_ok(), accepted, "{path} {case:?}");
        });
    }

    #[test]
    fn errors_name_the_invalid_field() {
        let with = |path: &str, v: Value| {
            let mut body = good();
            *body.pointer_mut(path).unwrap() = v;
            callers::job(&bytes(&body))
        };
        let need = model::MAX_NEED;
        assert_matches!(with("/phases/1/cpu", json!(need)), Ok(_));
        assert_matches!(with("/phases/1/cpu", json!(need + 1)), Err(Invalid::Need(1)));
        assert_matches!(with("/phases/0/gpu", json!(u64::MAX)), Err(Invalid::Need(0)));
        assert_matches!(with("/first_run_ms", json!(u64::MAX)), Err(Invalid::Schedule));
        assert_matches!(with("/interval_ms", json!(model::MAX_MS + 1)), Err(Invalid::Schedule));
        assert_matches!(with("/phases/1/after", json!([1])), Err(Invalid::After(1)));
        assert_matches!(with("/phases/1/after", json!([u32::MAX])), Err(Invalid::After(1)));
        assert_matches!(with("/phases/0/count", json!(1_001)), Err(Invalid::Count(0)));
        assert_matches!(with("/phases/0/count", json!(u32::MAX)), Err(Invalid::Count(0)));
        assert_matches!(with("/repeat_count", json!(u32::MAX)), Err(Invalid::Tasks));
        let why = with("/phases/0/estimate_ms", json!(-1)).unwrap_err().to_string();
        assert!(why.contains("-1.0 ms is not between"), "{why}");
        let mut stored = callers::job(&bytes(&good())).unwrap();
        stored.steps[1].estimate = model::MAX_MS + 1;
        assert_eq!(stored.check(), Err(Invalid::Time(1)));
        for body in NOISE {
            assert_matches!(callers::job(body), Err(Invalid::Body(_)));
        }
        // Names are case-sensitive: a field in other letters is an unknown field.
        let other = good().to_string().replace("phases", "Phases");
        assert_matches!(callers::job(other.as_bytes()), Err(Invalid::Steps));
        let twice = br#"{"phases":[{"count":1,"count":2}]}"#;
        assert_matches!(callers::job(twice), Err(Invalid::Body(_)));
        let not_text = b"{\"spec\":\"\xff\",\"phases\":[{\"count\":1}]}";
        assert_matches!(callers::job(not_text), Err(Invalid::Body(_)));
    }

    proptest! {
        #[test]
        fn corrupted_bytes_yield_an_error_or_a_job_within_bounds(body in corrupted(&good())) {
            prop_assert!(callers::job(&body).map_or(true, |job| bounded(&job)));
        }

        #[test]
        fn any_json_yields_an_error_or_a_job_within_bounds(v in any_json()) {
            for body in [v.clone(), json!({"phases": [v]})] {
                prop_assert!(callers::job(&bytes(&body)).map_or(true, |job| bounded(&job)));
            }
        }
    }
}

mod a_runner_response {
    use super::*;

    fn good() -> Value {
        json!({"born": BORN, "clock_ms": 482_113,
            "active": [[TASK, 2, "00000bb87a21d94b", 41, 0.5]],
            "finished": [[58, ENDED, 1, "done", ""], [59, TASK, 1, "failed", "c"]]})
    }

    fn bounded(read: &reports::Decoded) -> bool {
        let r = &read.report;
        let runs = r.active.iter().all(|a| {
            let percent = a.percent == 0.0 || (0.01..=100.0).contains(&a.percent);
            a.attempt > Attempt(0) && a.attempt.0 <= Attempt::LAST && percent && a.load >= 0.0
        });
        let numbers: Vec<u64> = r.ends.iter().map(|e| e.number).collect();
        let rising = numbers.is_sorted_by(|a, b| a < b);
        runs && rising && r.clock < 1 << 50 && numbers.iter().all(|n| (1..=1 << 32).contains(n))
    }

    #[test]
    fn a_complete_response_is_decoded() {
        let read = reports::report(&bytes(&good())).unwrap();
        assert_eq!((read.report.clock, read.bad.len()), (482_113, 0));
        assert_eq!(read.report.born, Some(Born(BORN)));
        let run = &read.report.active[0];
        assert_eq!((run.attempt, run.percent, run.load), (Attempt(2), 41.0, 0.5));
        let kinds: Vec<EndKind> = read.report.ends.iter().map(|e| e.kind).collect();
        assert_eq!(kinds, [EndKind::Done, EndKind::Failed]);
        let minimal =
            json!({"clock_ms": 1, "active": [[TASK, 1]], "finished": [[1, TASK, 1, "done"]]});
        let read = reports::report(&bytes(&minimal)).unwrap();
        assert_eq!((read.report.active.len(), read.report.ends.len()), (1, 1));
        // A later version of the protocol may add values to an entry.
        let extended = json!({"clock_ms": 1, "active": [[TASK, 1, "", 3, 0.1, "new"]]});
        assert_eq!(reports::report(&bytes(&extended)).unwrap().report.active.len(), 1);
    }

    /// Guards against a task that runs twice. A run that a runner does not list is considered lost
    /// and started on another runner; if an active run that cannot be decoded were left out of the
    /// list, its task would be started again. The whole response is an error, except for runs whose
    /// task is not a valid id.
    #[test]
    fn an_active_run_that_cannot_be_decoded_is_never_left_out() {
        corrupt_each(&good(), &["/active/0/0", "/active/0/1"], |path, case, body| {
            let got = reports::report(body);
            match case {
                Case::Empty | Case::Word if path.ends_with("/0") => {
                    let read = got.unwrap();
                    assert!(read.report.active.is_empty() && read.report.ends.len() == 2);
                    assert_matches!(read.bad[..], [BadItem::Task(_)]);
                }
                _ => assert_matches!(got, Err(BadReport::Active(_)), "{path} {case:?}"),
            }
        });
        for attempt in [json!(0), json!(Attempt::LAST + 1), json!(u32::MAX), json!(1u64 << 32)] {
            let body = json!({"clock_ms": 1, "active": [[TASK, attempt, "", 1]]});
            let got = reports::report(&bytes(&body));
            assert_matches!(got, Err(BadReport::Active(BadItem::Attempt)));
        }
        for row in [json!(null), json!(7), json!("x"), json!({}), json!([])] {
            let got = reports::report(&bytes(&json!({"clock_ms": 1, "active": [row]})));
            assert_matches!(got, Err(BadReport::Active(BadItem::NoTask)));
        }
    }

    /// Invalid checkpoints, progress and load do not make the run invalid.
    #[test]
    fn invalid_checkpoint_progress_and_load_are_ignored() {
        corrupt_each(
            &good(),
            &["/active/0/2", "/active/0/3", "/active/0/4"],
            |path, case, body| {
                let read = reports::report(body).unwrap();
                assert!(bounded(&read) && read.bad.is_empty(), "{path} {case:?}");
                assert_eq!(read.report.active.len(), 1, "{path} {case:?}");
            },
        );
        let percent = |p: Value| {
            let body = json!({"clock_ms": 1, "active": [[TASK, 1, "", p]]});
            reports::report(&bytes(&body)).unwrap().report.active[0].percent
        };
        let given = [json!(-3), json!("9"), json!(1e-300), json!(0.5), json!(100.5), json!(1e300)];
        assert_eq!(given.map(percent), [0.0, 0.0, 0.0, 0.5, 100.0, 100.0]);
    }

    /// Guards against a completion that cannot be decoded and makes the whole response an error, or
    /// is dropped without a log line, when one of its fields is missing, of another type or out of
    /// bounds.
    #[test]
    fn an_invalid_completion_does_not_affect_the_others() {
        let paths = ["/finished/0/0", "/finished/0/1", "/finished/0/2"];
        corrupt_each(&good(), &paths, |path, case, body| {
            let read = reports::report(body).unwrap();
            assert!(bounded(&read));
            // Truncating the entry at any of these fields makes it invalid.
            assert_eq!(read.bad.len(), 1, "{path} {case:?}");
            assert_eq!(read.report.ends.len(), 1, "{path} {case:?}");
            assert_eq!(read.report.ends[0].number, 59);
            assert_eq!(read.report.active.len(), 1);
        });
        // The run has ended, and nothing else is known.
        corrupt_each(&good(), &["/finished/0/3"], |_, case, body| {
            let read = reports::report(body).unwrap();
            assert!(bounded(&read));
            assert_eq!(read.bad, [BadItem::Outcome], "{case:?}");
            let kinds: Vec<EndKind> = read.report.ends.iter().map(|e| e.kind).collect();
            assert_eq!(kinds, [EndKind::Unknown, EndKind::Failed], "{case:?}");
            assert_eq!(read.report.active.len(), 1);
        });
        corrupt_each(&good(), &["/finished/0/4"], |_, case, body| {
            let read = reports::report(body).unwrap();
            assert_eq!((read.report.ends.len(), read.bad.len()), (2, 0), "{case:?}");
        });
        corrupt_each(&good(), &["/finished/0"], |_, case, body| {
            let read = reports::report(body).unwrap();
            let counts = if case == Case::Missing { (0, 0) } else { (1, 1) };
            assert_eq!((read.report.ends.len(), read.bad.len()), counts, "{case:?}");
        });
        for outcome in ["DONE", "Done", "finished", " done"] {
            let body = json!({"clock_ms": 1, "finished": [[1, TASK, 1, outcome, ""]]});
            let read = reports::report(&bytes(&body)).unwrap();
            assert_eq!(read.bad, [BadItem::Outcome]);
            assert_eq!(read.report.ends[0].kind, EndKind::Unknown);
        }
    }

    /// Guards against polls of one runner a thousand times a second: a completion that cannot be
    /// decoded is not acknowledged, so that the runner answers each poll at once.
    #[test]
    fn a_poll_with_only_invalid_completions_is_delayed() {
        async_std::task::block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let addr = listener.local_addr().unwrap();
            let server = async_std::task::spawn(async move {
                let (mut conn, _) = listener.accept().await.unwrap();
                let mut buf = vec![0; 4_096];
                let _ = conn.read(&mut buf).await.unwrap();
                let body = json!({"clock_ms": 1, "finished": [[1, TASK, 0, "done"]]}).to_string();
                let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
                conn.write_all((head + &body).as_bytes()).await.unwrap();
            });
            let calls = RunnerCalls::new(ConnPool::new(Clock::real()));
            let to = RunnerCall { addr, id: "r".into() };
            let poll = PollRequest { fence: 1, acked: 0, until: None, wait_ms: 1_000 };
            let began = Instant::now();
            let report = calls.poll(&to, &poll).await.unwrap();
            server.await;
            assert!(report.ends.is_empty());
            assert!(began.elapsed() >= Duration::from_millis(200));
        });
    }

    /// Guards against completions that are never processed: those at or below the highest number
    /// received count as processed, so that a list out of order, or with one number twice, has to
    /// be sorted and checked first.
    #[test]
    fn completions_are_sorted_by_number() {
        let list = [7, 5, 6, 6, 0].map(|n| json!([n, TASK, n + 1, "failed", ""]));
        let read = reports::report(&bytes(&json!({"clock_ms": 1, "finished": list}))).unwrap();
        let numbers: Vec<u64> = read.report.ends.iter().map(|e| e.number).collect();
        assert_eq!((numbers, read.bad), (vec![5, 6, 7], vec![BadItem::Number; 2]));
    }

    /// Guards against runs that are taken for lost, since their completions come after those that a
    /// response lists. One that cannot be decoded takes a place in the list as well.
    #[test]
    fn completions_that_cannot_be_decoded_count_as_listed() {
        let rows = |n: u64| (1..=n).map(|i| json!([i, TASK, i, "done", ""])).collect::<Vec<_>>();
        let read = |rows: Vec<Value>| {
            let body = json!({"clock_ms": 1, "active": [], "finished": rows});
            let read = reports::report(&bytes(&body)).unwrap();
            (read.report.ends.len(), read.report.unreadable)
        };
        assert_eq!(read(rows(0)), (0, 0));
        assert_eq!(read(rows(499)), (499, 0));
        assert_eq!(read(rows(500)), (500, 0));
        assert_eq!(read(rows(501)), (501, 0));
        let unreadable = rows(499).into_iter().chain([json!([500, TASK, 0, "done", ""])]);
        assert_eq!(read(unreadable.collect()), (499, 1));
        let twice = rows(499).into_iter().chain(rows(1));
        assert_eq!(read(twice.collect()), (499, 1));
        assert_eq!(read(vec![json!(null); 500]), (0, 500));
        assert_eq!(reports::report(b"{\"clock_ms\": 1}").unwrap().report.unreadable, 0);
    }

    #[test]
    fn a_response_without_a_clock_or_lists_is_an_error() {
        corrupt_each(&good(), &["/clock_ms"], |_, case, body| match case {
            Case::MaxU64 => assert_matches!(reports::report(body), Err(BadReport::Clock)),
            _ => assert_matches!(reports::report(body), Err(BadReport::Unreadable(_)), "{case:?}"),
        });
        corrupt_each(&good(), &["/active", "/finished"], |path, case, body| match case {
            Case::Missing => assert!(!reports::report(body).unwrap().report.without_lists),
            Case::List if path == "/active" => {
                assert_matches!(reports::report(body), Err(BadReport::Active(BadItem::NoTask)));
            }
            Case::List => assert_eq!(reports::report(body).unwrap().bad, [BadItem::Number]),
            _ => assert_matches!(
                reports::report(body),
                Err(BadReport::Unreadable(_)),
                "{path} {case:?}"
            ),
        });
        assert!(reports::report(b"{\"clock_ms\": 1}").unwrap().report.without_lists);
        for body in NOISE {
            assert_matches!(reports::report(body), Err(BadReport::Unreadable(_)));
        }
    }

    /// Guards against completions of one incarnation of a runner that are taken for another's: a
    /// response of which the incarnation cannot be read says nothing about any.
    #[test]
    fn a_response_with_an_unreadable_start_time_is_an_error() {
        corrupt_each(&good(), &["/born"], |_, case, body| match case {
            Case::Missing => assert_eq!(reports::report(body).unwrap().report.born, None),
            _ => assert_matches!(reports::report(body), Err(BadReport::Unreadable(_)), "{case:?}"),
        });
    }

    /// An unknown refusal must not be decoded as one after which nothing runs.
    #[test]
    fn unknown_responses_to_orders_count_as_no_response() {
        assert_eq!(reports::order(200, br#"{"clock_ms":5}"#), Ok(5));
        let known = [
            ("fence", Refusal::Fenced),
            ("old", Refusal::Superseded),
            ("late", Refusal::Expired),
            ("room", Refusal::InsufficientCapacity),
            ("ticket", Refusal::Ticket),
        ];
        for (reason, refusal) in known {
            let body = json!({"clock_ms": 5, "reason": reason});
            assert_eq!(reports::order(409, &bytes(&body)), Err(refusal));
            let other = json!({"clock_ms": 5, "reason": reason.to_uppercase()});
            assert_eq!(reports::order(409, &bytes(&other)), Err(Refusal::NoResponse));
        }
        corrupt_each(&json!({"clock_ms": 5}), &["/clock_ms"], |_, case, body| {
            assert_eq!(reports::order(200, body), Err(Refusal::NoResponse), "{case:?}");
        });
        let refused = json!({"clock_ms": 5, "reason": "room"});
        corrupt_each(&refused, &["/reason"], |_, case, body| {
            assert_eq!(reports::order(409, body), Err(Refusal::NoResponse), "{case:?}");
        });
        corrupt_each(&refused, &["/clock_ms"], |_, case, body| {
            assert_eq!(reports::order(409, body), Err(Refusal::InsufficientCapacity), "{case:?}");
        });
        for body in NOISE {
            assert_eq!(reports::order(200, body), Err(Refusal::NoResponse));
            assert_eq!(reports::order(409, body), Err(Refusal::NoResponse));
        }
    }

    proptest! {
        #[test]
        fn corrupted_bytes_yield_an_error_or_a_report_within_bounds(body in corrupted(&good())) {
            if let Ok(read) = reports::report(&body) {
                prop_assert!(bounded(&read));
            }
            for status in [200, 409] {
                let _ = reports::order(status, &body);
            }
        }

        #[test]
        fn any_json_yields_an_error_or_a_report_within_bounds(v in any_json()) {
            let run = json!({"clock_ms": 1, "active": [v.clone()], "finished": [v.clone()]});
            let lists = json!({"clock_ms": 1, "active": v.clone(), "finished": v.clone()});
            for body in [v, run, lists] {
                if let Ok(read) = reports::report(&bytes(&body)) {
                    prop_assert!(bounded(&read));
                }
            }
        }
    }
}

mod an_approval {
    use super::*;

    fn requested() -> Vec<String> {
        ["w1", "w2", "w3"].map(String::from).to_vec()
    }

    fn good() -> Value {
        json!({"approved": [["w1", "t1"], ["w2", "t2"]], "validity_ms": 1500})
    }

    fn read(body: &[u8]) -> Result<advice::Decoded, AdviceError> {
        advice::decode(body, &requested())
    }

    fn bounded(read: &advice::Decoded) -> bool {
        let known = |t: &currantgw::control::ports::Ticket| requested().contains(&t.id);
        let approved = &read.advice.approved;
        approved.iter().all(|t| known(t) && !t.ticket.is_empty())
            && approved.is_sorted_by(|a, b| a.id < b.id)
            && read.advice.valid_ms <= model::MAX_MS
    }

    #[test]
    fn an_invalid_row_approves_nothing_and_the_others_hold() {
        corrupt_each(
            &good(),
            &["/approved/0/0", "/approved/0/1", "/approved/0"],
            |path, case, body| {
                let got = read(body).unwrap();
                assert!(bounded(&got));
                match (path, case) {
                    ("/approved/0/1", Case::Word) => assert_eq!(got.advice.approved.len(), 2),
                    // Truncating the list at its first row leaves a response without approvals.
                    ("/approved/0", Case::Missing) => assert!(got.advice.approved.is_empty()),
                    ("/approved/0/0", Case::Word) => {
                        assert_eq!(got.bad, [BadApproval::NotRequested])
                    }
                    _ => assert_eq!(got.bad, [BadApproval::Unreadable], "{path} {case:?}"),
                }
            },
        );
        corrupt_each(&good(), &["/approved"], |_, case, body| match case {
            Case::Missing => assert!(read(body).unwrap().advice.approved.is_empty()),
            _ => assert_eq!(read(body), Err(AdviceError::Malformed), "{case:?}"),
        });
        for body in NOISE {
            assert_eq!(read(body), Err(AdviceError::Malformed));
        }
    }

    /// Guards against approvals of runners that the request did not name, which would be added to
    /// the known runners, and against a runner that is approved twice.
    #[test]
    fn only_runners_of_the_request_are_approved_each_once() {
        let rows = json!({"approved": [["w9", "t"], ["w2", "a"], ["w2", "b"], ["W1", "t"]]});
        let got = read(&bytes(&rows)).unwrap();
        assert_eq!(got.bad, [BadApproval::NotRequested; 2]);
        assert_eq!(got.advice.approved.len(), 1);
        let none = json!({"approved": [["w9", "t"]]});
        assert_eq!(read(&bytes(&none)), Err(AdviceError::Malformed));
    }

    /// Guards against an overflow of the expiry time of tickets, which stops the scheduler or makes
    /// a ticket valid forever, when the service sends a validity of 10^30 ms.
    #[test]
    fn an_invalid_validity_of_tickets_counts_as_not_given() {
        corrupt_each(&good(), &["/validity_ms"], |_, case, body| {
            let got = read(body).unwrap();
            assert_eq!(got.advice.approved.len(), 2, "{case:?}");
            assert_eq!(got.advice.valid_ms, 0, "{case:?}");
        });
    }

    proptest! {
        #[test]
        fn corrupted_bytes_yield_an_error_or_approvals_within_bounds(body in corrupted(&good())) {
            if let Ok(got) = read(&body) {
                prop_assert!(bounded(&got));
            }
        }

        #[test]
        fn any_json_yields_an_error_or_approvals_within_bounds(v in any_json()) {
            for body in [v.clone(), json!({"approved": [v.clone()], "validity_ms": v})] {
                if let Ok(got) = read(&bytes(&body)) {
                    prop_assert!(bounded(&got));
                }
            }
        }
    }
}
