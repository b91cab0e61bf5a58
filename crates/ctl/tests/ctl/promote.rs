//! `flamingopostctl promote`: the order of a planned promotion.

use serde_json::json;

use crate::fake_host::{Answer, FakeHost};
use crate::workdir::Workdir;

const ARGS: [&str; 2] = ["promote", "auction-ledger"];

#[test]
fn a_promotion_order_is_sent_to_the_controller() {
    let fake = FakeHost::new(&[Answer::Respond(202, json!("begun"))]);
    let run = Workdir::new().run_at(fake.address, &ARGS);
    assert_eq!(
        (run.code, run.out.as_str()),
        (0, "promotion of auction-ledger has begun\n")
    );
    let order = &fake.requests()[0];
    assert_eq!(order.method_and_uri, "POST /v1/promote");
    assert_eq!(order.body, json!({"service": "auction-ledger"}));
}

#[test]
fn a_refused_promotion_reports_the_reason() {
    let refused = json!({"type": "refused", "reason": "no_candidate"});
    let unavailable = json!({"type": "unavailable"});
    let fake = FakeHost::new(&[
        Answer::Respond(409, refused),
        Answer::Respond(503, unavailable),
    ]);
    let workdir = Workdir::new();
    let run = workdir.run_at(fake.address, &ARGS);
    assert_eq!(run.code, 1);
    assert!(
        run.err.contains("no replica is fit to lead now"),
        "{}",
        run.err
    );
    assert_eq!(workdir.run_at(fake.address, &ARGS).code, 5);
}
