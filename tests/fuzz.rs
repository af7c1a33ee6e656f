//! Property tests of all parsers of external input: frames, catalogue edits, fault plans, settings
//! and the table's transactions. Invalid input must lead to a typed error, never a panic, and valid
//! frames must survive a round trip.

use currantgw::entry::catalogue::{Catalogue, Edit};
use currantgw::options;
use currantgw::standin::faults::Fault;
use currantgw::standin::table::{Cond, Op, Outcome, Table, Txn};
use currantgw::wire::{self, Frame, FrameError, WireFrame, WireKind};
use proptest::prelude::*;
use std::collections::BTreeMap;

/// Any frame, with texts of up to 40 printable characters.
fn frame() -> impl Strategy<Value = Frame> {
    let text = "[ -~]{0,40}";
    prop_oneof![
        (any::<u64>(), text).prop_map(|(id, key)| Frame::Lookup { id, key }),
        (any::<u64>(), text, text).prop_map(|(id, write, body)| Frame::Write { id, write, body }),
        (any::<u64>(), text).prop_map(|(id, write)| Frame::Query { id, write }),
        (any::<u64>(), text, text).prop_map(|(id, key, value)| Frame::Answer { id, key, value }),
        (any::<u64>(), text, any::<u64>()).prop_map(|(id, write, runs)| Frame::Done {
            id,
            write,
            runs
        }),
        (any::<u64>(), any::<u64>()).prop_map(|(id, retry_ms)| Frame::Busy { id, retry_ms }),
        any::<u64>().prop_map(|incarnation| Frame::Hello { incarnation }),
        any::<u64>().prop_map(|incarnation| Frame::Leaving { incarnation }),
        any::<u64>().prop_map(|nonce| Frame::Ping { nonce }),
        any::<u64>().prop_map(|nonce| Frame::Pong { nonce }),
    ]
}

/// The example edit as JSON, with a part of up to 59 characters replaced by random text.
fn damaged_edit() -> impl Strategy<Value = String> {
    let whole = include_str!("../examples/catalogue.json");
    (0..whole.len(), 0..60usize, "[ -~]{0,12}").prop_map(move |(at, len, noise)| {
        let end = (at + len).min(whole.len());
        format!("{{\"base\":0,{}{noise}{}", &whole[1..at.max(1)], &whole[end.max(1)..])
    })
}

/// A transaction over four keys, so that conditions often refer to stored rows.
fn txn() -> impl Strategy<Value = Txn> {
    let key = || (0u8..4).prop_map(|k| format!("k{k}"));
    let cond = (key(), 0u64..4).prop_map(|(key, version)| Cond::Version { key, version });
    let op = prop_oneof![
        (key(), any::<u8>()).prop_map(|(key, v)| Op::Put { key, value: v.into() }),
        key().prop_map(|key| Op::Delete { key }),
    ];
    let (conds, ops) = (prop::collection::vec(cond, 0..3), prop::collection::vec(op, 0..4));
    (conds, ops).prop_map(|(conds, ops)| Txn { conds, ops, idem: None })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4_000, ..ProptestConfig::default() })]

    #[test]
    fn frames_survive_a_round_trip(f in frame()) {
        prop_assert_eq!(wire::decode(&wire::encode(f.clone())), Ok(f));
    }

    #[test]
    fn random_bytes_cause_no_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = wire::decode(&bytes);
    }

    /// A truncated frame is a decoding error, and a frame with a changed byte decodes to an error
    /// or to some frame.
    #[test]
    fn damaged_frames_are_typed_errors(f in frame(), at in any::<prop::sample::Index>(), b in any::<u8>()) {
        let whole = wire::encode(f);
        let position = at.index(whole.len());
        prop_assert!(matches!(wire::decode(&whole[..position]), Err(FrameError::Decode(_))));
        let mut changed = whole.clone();
        changed[position] = b;
        let _ = wire::decode(&changed);
    }

    /// A frame of another version is refused whatever it contains, and so is a frame without a
    /// field that its kind requires.
    #[test]
    fn other_versions_and_missing_fields_are_refused(v in 2u16.., id in any::<u64>()) {
        let bare = |v, kind| WireFrame { v, kind, id, key: None, body: None, n: None };
        prop_assert_eq!(Frame::try_from(bare(v, WireKind::Ping)), Err(FrameError::Version(v)));
        let kind = WireKind::Lookup;
        let missing = FrameError::Missing { kind, field: "key" };
        prop_assert_eq!(Frame::try_from(bare(1, kind)), Err(missing));
    }

    /// A damaged edit is refused by the parser or by the check, or is valid.
    #[test]
    fn invalid_edits_never_pass_the_check(text in damaged_edit()) {
        if let Ok(edit) = serde_json::from_str::<Edit>(&text) {
            if edit.check().is_ok() {
                prop_assert!(edit.entries.iter().all(|e| e.limits.cpu > 0 && e.limits.fits(&e.quota)));
                let mut cat = Catalogue::default();
                prop_assert!(cat.apply(1, &edit));
                prop_assert!(!cat.apply(1, &edit), "a version is applied once");
            }
        }
    }

    #[test]
    fn random_text_is_no_fault_plan_and_no_settings(text in "[ -~]{0,120}") {
        let _ = serde_json::from_str::<Vec<Fault>>(&text);
        prop_assert!(options::parse(&text).is_err());
    }

    /// The rows collected from the feed equal those of a scan after any sequence of transactions,
    /// including refused ones.
    #[test]
    fn feed_matches_scan(txns in prop::collection::vec(txn(), 1..30), every in 1usize..6) {
        let mut t = Table::new(1_000_000, 1_000_000);
        let mut collected: BTreeMap<String, serde_json::Value> = BTreeMap::new();
        let mut since = 0;
        for (i, txn) in txns.iter().enumerate() {
            let before = t.scan("k", 0).unwrap();
            if let Outcome::Conflict { .. } = t.apply(txn, 0).unwrap() {
                prop_assert_eq!(&t.scan("k", 0).unwrap(), &before, "a refusal changes nothing");
            }
            if i % every == 0 {
                let feed = t.feed("k", since, 0).unwrap();
                since = feed.revision;
                if feed.reset {
                    collected.clear();
                }
                collected.extend(feed.rows.into_iter().map(|(k, r)| (k, r.value)));
                feed.gone.iter().for_each(|k| drop(collected.remove(k)));
                let now = t.scan("k", 0).unwrap();
                let now: BTreeMap<_, _> = now.into_iter().map(|(k, r)| (k, r.value)).collect();
                prop_assert_eq!(&collected, &now);
            }
        }
    }
}
