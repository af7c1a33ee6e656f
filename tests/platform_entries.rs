//! Invalid registry entries, as other programs may write them: each names no runner and does not
//! affect the others.

use assert_matches::assert_matches;
use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpListener;
use currantgw::control::model::Born;
use currantgw::control::ports::{RunnerEntry, Store};
use currantgw::http::ConnPool;
use currantgw::kernel::clock::Clock;
use currantgw::platform::runners::{self, BadEntry};
use currantgw::platform::store::RowStore;
use proptest::prelude::*;
use serde_json::{json, Value};

fn good() -> Value {
    json!({
        "service": "svc", "address": "127.0.0.1:9000", "zone": "z", "version": "v1", "slots": 8,
        "state": "ready", "cold_remaining_ms": 0, "sequence": 7, "labels": ["a", "r1-3"],
        "capacity": {"cpu": 32_000, "mem_mb": 65_536}, "born": 1_790_283_924_575_u64,
    })
}

fn runner(v: &Value) -> Result<RunnerEntry, BadEntry> {
    runners::entry(&serde_json::to_vec(v).unwrap())
}

fn entry(v: &Value) -> Result<(), BadEntry> {
    runner(v).map(drop)
}

#[test]
fn a_complete_entry_names_a_runner() {
    assert_eq!(entry(&good()), Ok(()));
    let mut leaving = good();
    leaving["state"] = json!("draining");
    assert!(runners::entry(leaving.to_string().as_bytes()).unwrap().draining);
    let mut minimal = good();
    minimal.as_object_mut().unwrap().remove("labels");
    assert_eq!(entry(&minimal), Ok(()));
}

/// Guards against tasks that are sent to an address without a runner, or all to one runner of
/// unlimited capacity, because of an entry with a field missing, of another type or out of bounds.
#[test]
fn required_fields_must_be_present_and_of_their_type() {
    let values = [
        json!(null),
        json!(true),
        json!(-1),
        json!(1e30),
        json!(u64::MAX),
        json!("READY"),
        json!(""),
        json!([]),
        json!([1, 2]),
        json!({}),
    ];
    let texts = ["service", "address", "state", "labels"];
    for field in texts {
        if field != "labels" {
            let mut v = good();
            v.as_object_mut().unwrap().remove(field);
            assert!(entry(&v).is_err(), "{field} missing");
        }
        for value in &values {
            let text = value.is_string() && field == "service";
            let list = *value == json!([]) && field == "labels";
            let mut v = good();
            v[field] = value.clone();
            assert_eq!(entry(&v).is_ok(), text || list, "{field} {value}");
        }
    }
    let mut v = good();
    v.as_object_mut().unwrap().remove("capacity");
    assert_matches!(entry(&v), Err(BadEntry::NoCapacity));
    for field in ["cpu", "mem_mb", "gpu"] {
        for value in &values {
            let mut v = good();
            v["capacity"][field] = value.clone();
            assert!(entry(&v).is_err(), "{field} {value}");
        }
    }
    v = good();
    v["state"] = json!("retired");
    assert_matches!(entry(&v), Err(BadEntry::State(s)) if s == "retired");
}

/// Guards against an incarnation of a runner that is taken for another of the same id.
#[test]
fn the_start_time_must_be_a_whole_number_where_it_is_given() {
    assert_eq!(runner(&good()).unwrap().born, Some(Born(1_790_283_924_575)));
    let mut v = good();
    v.as_object_mut().unwrap().remove("born");
    assert_eq!(runner(&v).unwrap().born, None);
    for value in [json!(null), json!(-1), json!(0.5), json!(1e30), json!(u64::MAX), json!("7")] {
        v["born"] = value.clone();
        assert_matches!(entry(&v), Err(BadEntry::Unreadable(_)), "{value}");
    }
}

#[test]
fn bytes_that_cannot_be_decoded_name_no_runner() {
    for body in [&b""[..], b"\xff\xfe", b"{", b"[]", b"7", b"{\"service\":\"svc\"", &[0; 64]] {
        assert_matches!(runners::entry(body), Err(BadEntry::Unreadable(_)));
    }
}

proptest! {
    #[test]
    fn any_bytes_are_decoded_or_refused(body in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = runners::entry(&body);
    }

    #[test]
    fn a_truncated_entry_is_refused(at in 0usize..150) {
        let whole = good().to_string();
        let truncated = &whole.as_bytes()[..at.min(whole.len() - 1)];
        prop_assert!(runners::entry(truncated).is_err());
    }
}

/// Guards against an instance that finds no runner at all because one row of the registry has a
/// value that is not in the encoding of the store.
#[test]
fn a_value_that_cannot_be_decoded_does_not_affect_other_rows() {
    async_std::task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let server = async_std::task::spawn(async move {
            let (mut conn, _) = listener.accept().await.unwrap();
            let mut buf = vec![0; 4_096];
            let _ = conn.read(&mut buf).await.unwrap();
            let body = json!({
                "rows": [
                    {"table": "servers", "key": "a", "value": "%%%", "schema_version": 3},
                    {"table": "servers", "key": "b", "value": "e30=", "schema_version": 4},
                ],
                "schema_version": 4, "now_ms": 5,
            })
            .to_string();
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
            conn.write_all((head + &body).as_bytes()).await.unwrap();
        });
        let store = RowStore::new(ConnPool::new(Clock::real()), addr);
        let page = store.page("servers", "", "", None, 500).await.unwrap();
        server.await;
        let values: Vec<&[u8]> = page.rows.iter().map(|r| r.value.as_slice()).collect();
        assert_eq!(values, [&b""[..], b"{}"]);
    });
}
