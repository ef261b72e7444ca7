//! Contract of the platform's log that the daemons rely on, tested with an HTTP client that shares
//! no code with them.

use indigospur_test_support::{Process, get, post};
use serde_json::Value;

fn append(log: &str, body: &str) -> Option<u64> {
    let reply = post(log, "/streams/s/records", body);
    let value: Value = serde_json::from_str(&reply.body).unwrap_or(Value::Null);
    value["offset"].as_u64()
}

fn read(log: &str, from: u64) -> Value {
    serde_json::from_str(&get(log, &format!("/streams/s/records?from={from}&limit=10")).body)
        .unwrap_or(Value::Null)
}

#[test]
fn offsets_are_consecutive_and_reads_include_all_acknowledged_appends() {
    let log = Process::start("stand-in-log", &[]).expect("stand-in-log starts");
    let address = log.address("address");
    for offset in 0..20 {
        assert_eq!(append(&address, &format!("r{offset}")), Some(offset));
        let batch = read(&address, offset);
        assert_eq!(batch["next"], offset + 1);
        assert_eq!(batch["records"][0]["body"], format!("r{offset}"));
    }
    assert_eq!(
        read(&address, 0)["records"].as_array().map(Vec::len),
        Some(10)
    );
}

#[test]
fn failure_modes_act_as_on_the_platform() {
    let log = Process::start("stand-in-log", &[]).expect("stand-in-log starts");
    let address = log.address("address");
    append(&address, "kept");
    post(&address, "/mode", "{\"down\":true}");
    assert_eq!(get(&address, "/streams/s/records").status, 503);
    assert_eq!(append(&address, "x"), None);
    post(&address, "/mode", "{\"appends-per-second\":0}");
    assert_eq!(post(&address, "/streams/s/records", "x").status, 429);
    post(&address, "/mode", "{\"retention-ms\":0}");
    let batch = read(&address, 0);
    assert_eq!(
        (batch["first"].as_u64(), batch["next"].as_u64()),
        (Some(1), Some(1))
    );
}
