//! Entries as other programs may write them: nested deeply, with a number that is too large, with a
//! port out of range, or under an odd key.

use super::users::Platform;
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use currantgw::control::model::JobId;
use currantgw::control::rows;
use serde_json::{json, Value};
use std::net::SocketAddr;

/// Longest value of a row that the store accepts, bytes.
const MAX_VALUE: usize = 65_536;

/// Lists in each other.
pub fn nested(depth: usize) -> String {
    "[".repeat(depth) + &"]".repeat(depth)
}

/// Values that are JSON, and of no type that any field has.
pub fn values() -> Vec<String> {
    let mut all: Vec<String> = [100, 128, 200, 1_000, 30_000, 100_000].map(nested).into();
    all.push("{\"a\":".repeat(1_000) + "1" + &"}".repeat(1_000));
    all.extend(["9".repeat(10_000), format!("\"{}\"", "x".repeat(60_000))]);
    all.extend(["1e400", "-1e400", "18446744073709551616", "-1", "0.5"].map(str::to_string));
    all
}

const ADDRESS: &str = "127.0.0.1:9000";

/// A registry entry whose `field` has `value`.
pub fn entry(field: &str, value: &str) -> String {
    let text = json!({"service": "svc", "address": ADDRESS, "zone": "z", "state": "ready", "born": 7,
        "labels": ["a", "r1"], "capacity": {"cpu": 4000, "mem_mb": 8000}, "other": 7});
    let mut fields = text.as_object().unwrap().clone();
    fields.remove(field);
    let rest = Value::Object(fields).to_string();
    format!("{{\"{field}\":{value},{}", &rest[1..])
}

/// Registry entries that name no runner.
pub fn entries() -> Vec<Vec<u8>> {
    let mut all: Vec<String> = vec![String::new()];
    for value in values() {
        for field in ["address", "state", "labels", "born"] {
            all.push(entry(field, &value));
        }
        all.push(entry("capacity", &format!("{{\"cpu\":{value}}}")));
        all.push(value);
    }
    for at in [
        "127.0.0.1:0",
        "127.0.0.1:65536",
        "127.0.0.1:-1",
        "127.0.0.1:99999",
        "127.0.0.1",
        "",
        "::1",
        "host.example:80",
        "0.0.0.0:9000",
        "[::]:9000",
        "224.0.0.1:9000",
        "255.255.255.255:9000",
    ] {
        all.push(entry("address", &format!("\"{at}\"")));
    }
    all.push(entry("capacity", &format!("{{\"cpu\":{}}}", u64::MAX)));
    all.push(entry("address", &format!("\"{ADDRESS}\",\"address\":\"{ADDRESS}\"")));
    let mut out: Vec<Vec<u8>> = all.into_iter().map(String::into_bytes).collect();
    out.push(entry("state", "\"?\"").replace('?', "\u{1}").into_bytes());
    out.push(b"\xff\xfe".to_vec());
    out
}

/// Keys that a query or a header must not carry as they are.
pub fn keys() -> Vec<String> {
    let long = "k".repeat(200);
    let keys = [
        "",
        " ",
        "a b",
        "a%41",
        "%",
        "a/b",
        "a&from=x",
        "a#b",
        "a+b",
        "a?b=c",
        "é",
        "\u{1F600}",
        "a\r\nb: c",
        "\u{0}",
        "\u{7f}",
        &long,
    ];
    keys.map(str::to_string).to_vec()
}

/// CBOR that is nested deeply, of a huge declared length, of indefinite length, or tagged.
pub fn cbor() -> Vec<Vec<u8>> {
    let depths = [100, 128, 200, 255, 1_000, 30_000, 100_000];
    let repeated = |head: &[u8], n: usize| [head.repeat(n), vec![0]].concat();
    let mut all: Vec<Vec<u8>> = depths.iter().map(|&n| repeated(&[0x81], n)).collect();
    all.extend(depths.iter().map(|&n| repeated(&[0xa1, 0x61, b'a'], n)));
    all.extend(depths.iter().map(|&n| repeated(&[0xc6], n)));
    all.extend(depths.iter().map(|&n| [vec![0x9f; n], vec![0xff; n]].concat()));
    all.extend([0x5b, 0x7b, 0x9b, 0xbb].map(|head| [&[head][..], &[0xff; 8]].concat()));
    all.extend(
        [0x5b, 0x7b, 0x9b, 0xbb].map(|head| vec![head, 0, 0, 0, 0x7f, 0xff, 0xff, 0xff, 0xff, 0]),
    );
    all.extend([0x5f, 0x7f, 0x9f, 0xbf].map(|head| vec![head; 100_000]));
    all.push([&[0x79, 0xea, 0x60][..], &[b'x'; 60_000]].concat());
    all.extend([vec![], vec![0xc2, 0x49, 1, 0, 0, 0, 0, 0, 0, 0, 0], vec![0x7a, 0, 0, 0, 1, 0xff]]);
    all
}

/// Writes odd rows into every table. Those of the registry under odd keys have the address
/// `uncallable`, and are more than one page.
pub fn write_rows(platform: &Platform, uncallable: SocketAddr) {
    for (n, value) in entries().iter().filter(|v| v.len() <= MAX_VALUE).enumerate() {
        platform.put_row("servers", "", &format!("odd-{n}"), STANDARD.encode(value));
    }
    for (n, key) in (0..40).flat_map(|n| keys().into_iter().map(move |key| (n, key))) {
        let sane = STANDARD.encode(entry("address", &format!("\"{uncallable}\"")));
        platform.put_row("servers", "", &format!("{key}{n}"), sane);
    }
    platform.put_row("servers", "", "not-base64", "%%%".into());
    let texts = values().into_iter().map(String::into_bytes);
    let all = texts.chain(cbor()).filter(|v| v.len() <= MAX_VALUE);
    let all = all.map(|v| STANDARD.encode(v)).chain(["%%%".to_string()]);
    for (n, value) in (0..).zip(all) {
        for key in ["config", "wave/1", "\u{e9}", ""] {
            platform.put_row("op", "", key, value.clone());
        }
        let key = format!("odd é {n}");
        for row in [rows::job_key(JobId(n)), rows::progress_key(JobId(n))] {
            platform.put_row(&row.table, &row.part, &row.key, value.clone());
            platform.put_row(&row.table, &row.part, &key, value.clone());
        }
        platform.put_row(rows::ELECTION, rows::ELECTION_PARTITION, &key, value);
    }
}
