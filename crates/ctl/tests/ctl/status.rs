//! `flamingopostctl status`: the status of a fleet and of an entry host.

use serde_json::{Value, json};

use crate::fake_host::{Answer, FakeHost};
use crate::workdir::Workdir;

fn fleet() -> Value {
    json!({
        "hosts": [{"host": "entry-1", "zone": "bole-hall", "incarnation": 255, "config": 3,
                   "state": "live", "lease_left_ms": 2100, "connections": 12}],
        "services": [{"service": "auction-ledger", "shard": 2, "term": "1.4",
            "primary": "auction-ledger-1", "state": "open",
            "servers": [{"server": "auction-ledger-1", "zone": "bole-hall", "role": "primary",
                         "position": "1.4/90", "age_ms": 0, "leaving": []}],
            "lost": [{"term": "1.4", "acknowledged": "1.3/80", "start": 78}]}],
        "controllers": [{"shard": 2, "epoch": 1, "host": "entry-1", "standbys": ["entry-2"]}],
    })
}

#[test]
fn a_fleet_is_shown_in_tables() {
    let fake = FakeHost::new(&[Answer::Respond(200, fleet()), Answer::Respond(200, fleet())]);
    let workdir = Workdir::new();
    let run = workdir.run_at(fake.address, &["status"]);
    assert_eq!(run.code, 0);
    for word in [
        "entry-1",
        "2100",
        "ff",
        "auction-ledger-1",
        "1.4/90",
        "entry-2",
        "1.3/80",
    ] {
        assert!(run.out.contains(word), "{word} in {}", run.out);
    }
    assert_eq!(
        workdir.run_at(fake.address, &["status", "--json"]).json(),
        fleet()
    );
}

#[test]
fn an_entry_host_reports_its_leases_and_pools() {
    let server = json!({"server": "auction-ledger-1", "allotment": 9, "open": 4, "idle": 3,
                        "waiting": 17, "position": "1.4/90", "leaving": true});
    let service = json!({"service": "auction-ledger", "shard": 2, "state": "lapsed", "term": "1.4",
                         "primary": "auction-ledger-1", "acknowledged": null, "servers": [server]});
    let shard = json!({"shard": 2, "controller": {"epoch": 1, "rpc": "10.0.1.4:7070"},
                       "view": "1.8", "lease_left_ms": 2100});
    let host_status = json!({"host": "entry-1", "zone": "bole-hall", "incarnation": 255,
                             "phase": "draining", "version": 3, "digest": "ab", "heard": 4,
                             "shards": [shard], "services": [service]});
    let fake = FakeHost::new(&[
        Answer::Respond(200, host_status.clone()),
        Answer::Respond(200, host_status.clone()),
    ]);
    let workdir = Workdir::new();
    let run = workdir.run_at(fake.address, &["status"]);
    assert_eq!(run.code, 0);
    for word in [
        "draining",
        "2100",
        "1.8",
        "10.0.1.4:7070",
        "lapsed",
        "17",
        "1.4/90",
        "yes",
    ] {
        assert!(run.out.contains(word), "{word} in {}", run.out);
    }
    assert_eq!(
        workdir.run_at(fake.address, &["status", "--json"]).json(),
        host_status
    );
}

#[test]
fn a_malformed_status_fails() {
    let fake = FakeHost::new(&[Answer::Respond(200, json!({"host": "entry-1"}))]);
    let run = Workdir::new().run_at(fake.address, &["status"]);
    assert_eq!(run.code, 1);
    assert!(run.err.contains("answered 200"));
}
