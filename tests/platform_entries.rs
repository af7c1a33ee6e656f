//! Registry entries that another program has written: each names no runner, and the others hold.

use assert_matches::assert_matches;
use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpListener;
use currantgw::control::ports::Store;
use currantgw::http::Conns;
use currantgw::kernel::clock::Clock;
use currantgw::platform::runners::{self, BadEntry};
use currantgw::platform::store::RowStore;
use proptest::prelude::*;
use serde_json::{json, Value};

fn good() -> Value {
    json!({
        "service": "svc", "address": "127.0.0.1:9000", "zone": "z", "version": "v1", "slots": 8,
        "state": "ready", "cold_remaining_ms": 0, "sequence": 7, "labels": ["a", "r1-3"],
        "capacity": {"cpu": 32_000, "mem_mb": 65_536},
    })
}

fn entry(v: &Value) -> Result<(), BadEntry> {
    runners::entry(&serde_json::to_vec(v).unwrap()).map(drop)
}

#[test]
fn a_whole_entry_names_a_runner() {
    assert_eq!(entry(&good()), Ok(()));
    let mut leaving = good();
    leaving["state"] = json!("draining");
    assert!(runners::entry(leaving.to_string().as_bytes()).unwrap().draining);
    let mut bare = good();
    bare.as_object_mut().unwrap().remove("labels");
    assert_eq!(entry(&bare), Ok(()));
}

/// Symptom: tasks go to an address that is no runner's, or a runner without end takes everything.
/// Sequence: another program writes an entry with a field missing, of another type or absurd.
/// Cause: fields taken for what they should be.
#[test]
fn no_field_that_matters_may_be_missing_or_of_another_type() {
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

#[test]
fn bytes_that_cannot_be_read_name_no_runner() {
    for body in [&b""[..], b"\xff\xfe", b"{", b"[]", b"7", b"{\"service\":\"svc\"", &[0; 64]] {
        assert_matches!(runners::entry(body), Err(BadEntry::Unreadable(_)));
    }
}

proptest! {
    #[test]
    fn any_bytes_are_read_or_refused(body in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = runners::entry(&body);
    }

    #[test]
    fn any_cut_of_an_entry_is_refused(at in 0usize..150) {
        let whole = good().to_string();
        let cut = &whole.as_bytes()[..at.min(whole.len() - 1)];
        prop_assert!(runners::entry(cut).is_err());
    }
}

/// Symptom: an instance finds no runner at all. Sequence: one row of the registry has a value that is
/// not in the store's encoding. Cause: the whole answer was refused for that row.
#[test]
fn a_value_that_cannot_be_decoded_costs_no_other_row() {
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
        let store = RowStore::new(Conns::new(Clock::real()), addr);
        let page = store.page("servers", "", "", None, 500).await.unwrap();
        server.await;
        let values: Vec<&[u8]> = page.rows.iter().map(|r| r.value.as_slice()).collect();
        assert_eq!(values, [&b""[..], b"{}"]);
    });
}
