//! `flamingopostctl status`

use serde_json::{Value, json};

use crate::fake::{Answer, Fake};
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
    let fake = Fake::new(&[Answer::Say(200, fleet()), Answer::Say(200, fleet())]);
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
fn what_an_entry_host_tells_is_shown_leaf_by_leaf() {
    let own = json!({"host": "entry-1", "pools": [{"server": "auction-ledger-1", "open": 4}]});
    let fake = Fake::new(&[Answer::Say(200, own)]);
    let run = Workdir::new().run_at(fake.address, &["status"]);
    assert_eq!(run.code, 0);
    let line = run.out.lines().find(|line| line.contains("pools.0.open"));
    assert!(line.is_some_and(|line| line.ends_with(" 4")), "{}", run.out);
}
