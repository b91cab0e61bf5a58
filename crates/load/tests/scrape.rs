//! Entry hosts' counters.

use flamingopost_load::scrape::Counters;

const TEXT: &str = r#"# TYPE flamingopost_reads_total counter
flamingopost_reads_total{service="auction-ledger",allowed="replica",server="replica"} 96
flamingopost_reads_total{service="auction-ledger",allowed="replica",server="primary"} 4
flamingopost_reads_total{service="auction-ledger",allowed="primary",server="primary"} 30
flamingopost_reads_total{service="yard",allowed="replica",server="primary"} 1000
flamingopost_invariant_violations_total{invariant="one primary a term"} 2
"#;

#[test]
fn the_share_of_reads_that_replicas_answered() {
    let mut counters = Counters::default();
    counters.add(TEXT, &["auction-ledger".to_owned()].into());
    assert_eq!(counters.replica_share(), Some(0.96));
    assert_eq!((counters.reads, counters.violations), (130.0, 2.0));
    assert_eq!(counters.since(counters).replica_share(), None);
}
