//! `flamingopostctl promote`

use serde_json::json;

use crate::fake::{Answer, Fake};
use crate::workdir::Workdir;

const ARGS: [&str; 2] = ["promote", "auction-ledger"];

#[test]
fn a_promotion_is_ordered() {
    let fake = Fake::new(&[Answer::Say(202, json!("begun"))]);
    let run = Workdir::new().run_at(fake.address, &ARGS);
    assert_eq!(
        (run.code, run.out.as_str()),
        (0, "promotion of auction-ledger has begun\n")
    );
    let order = &fake.asked()[0];
    assert_eq!(order.what, "POST /v1/promote");
    assert_eq!(order.body, json!({"service": "auction-ledger"}));
}

#[test]
fn an_order_that_cannot_be_followed_now_says_why() {
    let refused = json!({"type": "refused", "reason": "no_candidate"});
    let unavailable = json!({"type": "unavailable"});
    let fake = Fake::new(&[Answer::Say(409, refused), Answer::Say(503, unavailable)]);
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
