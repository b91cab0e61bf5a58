//! The host that grants the operations of a team.

use std::time::Duration;

use flamingopost_core::key::HostKey;
use flamingopost_core::limit::{Grantor, Limit, Request};
use flamingopost_core::names::Names;

use super::{ms, share};

const LIMIT: Limit = Limit {
    per_second: 20,
    burst: 20,
};

fn hosts() -> [HostKey; 2] {
    let mut names: Names<HostKey> = Names::default();
    ["entry-1", "entry-2"].map(|name| names.intern(name))
}

fn request(sent: Duration, wanted: u32, demand: f64) -> Request {
    Request {
        incarnation: 1,
        sent,
        wanted,
        returned: 0,
        demand,
        share: share(0.0),
        issuer: 1,
        used: 0,
    }
}

/// Guards against a grantor that fills its bucket while a host that it does not hear uses its share.
#[test]
fn the_share_of_a_silent_host_is_taken_off_the_rate() {
    let [first, second] = hosts();
    let mut grantor = Grantor::new(LIMIT, 2, ms(0));
    let silent = request(ms(1_000), 20, 15.0);
    let grant = grantor.grant(first, &silent, 0.0, ms(1_000)).expect("new");
    assert_eq!((grant.granted, grant.share.rate), (20, 20.0));
    let mut granted = 0;
    for now in (1_100..=3_000).step_by(100).map(ms) {
        let asked = request(now, 1, 5.0);
        let grant = grantor.grant(second, &asked, 0.0, now).expect("newer");
        granted += grant.granted;
        assert_eq!(grant.share.rate, 0.0, "the first may use all of the rate");
    }
    // The first one does not use its share within 350 ms of its request.
    assert!((6..=8).contains(&granted), "{granted} operations");
}

/// Guards against shares that add up to more than the rate.
#[test]
fn shares_add_up_to_the_rate_at_most() {
    let [first, second] = hosts();
    let mut grantor = Grantor::new(LIMIT, 2, ms(0));
    let grant = grantor.grant(first, &request(ms(1_010), 0, 30.0), 0.0, ms(1_010));
    assert_eq!(grant.expect("new").share.rate, 20.0);
    let grant = grantor.grant(second, &request(ms(1_020), 0, 30.0), 0.0, ms(1_020));
    assert_eq!(grant.expect("new").share.rate, 0.0, "nothing is left yet");
    let held = Request {
        share: share(20.0),
        ..request(ms(1_260), 0, 30.0)
    };
    let grant = grantor.grant(first, &held, 0.0, ms(1_260)).expect("newer");
    assert_eq!(grant.share.rate, 10.0, "half of the demand");
    let grant = grantor.grant(second, &request(ms(1_270), 0, 30.0), 0.0, ms(1_270));
    assert_eq!(
        grant.expect("newer").share.rate,
        0.0,
        "the first may not know yet"
    );
    let held = Request {
        share: share(10.0),
        ..request(ms(1_510), 0, 30.0)
    };
    grantor.grant(first, &held, 0.0, ms(1_510)).expect("newer");
    let grant = grantor.grant(second, &request(ms(1_520), 0, 30.0), 0.0, ms(1_520));
    assert_eq!(grant.expect("newer").share.rate, 10.0);
}

/// Guards against a request that was overtaken and is answered twice.
#[test]
fn an_overtaken_request_is_not_answered() {
    let [first, _] = hosts();
    let mut grantor = Grantor::new(LIMIT, 2, ms(0));
    let (older, newer) = (request(ms(400), 1, 1.0), request(ms(500), 1, 1.0));
    assert!(grantor.grant(first, &newer, 0.0, ms(502)).is_some());
    assert!(grantor.grant(first, &older, 0.0, ms(503)).is_none());
    assert!(grantor.grant(first, &newer, 0.0, ms(504)).is_none());
}

/// A process that was started again holds nothing, so that its callers get the share of the former
/// process at once.
#[test]
fn a_restarted_host_frees_the_share_of_its_former_process() {
    let [first, second] = hosts();
    let mut grantor = Grantor::new(LIMIT, 2, ms(0));
    grantor.grant(first, &request(ms(1_000), 0, 20.0), 0.0, ms(1_000));
    let restarted = Request {
        incarnation: 2,
        ..request(ms(5), 0, 0.0)
    };
    grantor
        .grant(first, &restarted, 0.0, ms(2_000))
        .expect("new");
    let grant = grantor.grant(second, &request(ms(2_010), 0, 20.0), 0.0, ms(2_010));
    assert_eq!(grant.expect("new").share.rate, 20.0);
}

/// Guards against a host that uses its share while it is cut off, and is started again: what its former
/// process used was given to others a second time.
#[test]
fn what_a_former_process_may_have_used_is_not_granted_again() {
    let [first, second] = hosts();
    let mut grantor = Grantor::new(LIMIT, 2, ms(0));
    grantor.grant(first, &request(ms(1_000), 20, 20.0), 0.0, ms(1_000));
    let restarted = Request {
        incarnation: 2,
        ..request(ms(5), 0, 0.0)
    };
    grantor
        .grant(first, &restarted, 0.0, ms(3_000))
        .expect("new");
    let grant = grantor.grant(second, &request(ms(3_001), 20, 20.0), 0.0, ms(3_001));
    assert_eq!(
        grant.expect("new").granted,
        0,
        "20 a second for two seconds"
    );
}

/// The hosts that do ask tell how much the others can hold at the most.
#[test]
fn a_new_grantor_learns_from_the_shares_of_the_hosts_that_ask() {
    let [first, second] = hosts();
    let mut grantor = Grantor::new(LIMIT, 2, ms(0));
    let mut granted = 0;
    for now in (10..=1_010).step_by(100).map(ms) {
        let held = Request {
            share: share(18.0),
            ..request(now, 0, 20.0)
        };
        grantor.grant(first, &held, 0.5, now).expect("newer");
        let grant = grantor.grant(second, &request(now, 20, 20.0), 0.5, now);
        granted += grant.expect("newer").granted;
    }
    // 12 at first and 18 of 20 a second, of which shares reserve at most 7.
    assert!((22..=30).contains(&granted), "{granted} operations");
}

/// Guards against a grantor that has just taken over and doubles what hosts use that it has not
/// heard of.
#[test]
fn a_new_grantor_assumes_that_unknown_hosts_use_shares() {
    let [first, _] = hosts();
    let mut grantor = Grantor::new(LIMIT, 2, ms(0));
    let asked = request(ms(1_000), 20, 20.0);
    let grant = grantor.grant(first, &asked, 0.25, ms(1_000)).expect("new");
    // At first 10 operations and a tenth of the burst, then half of the rate for a second: twice
    // the average share of a quarter is taken off.
    assert_eq!(grant.granted, 20);
}

#[test]
fn a_lowered_limit_applies_at_once() {
    let [first, _] = hosts();
    let mut grantor = Grantor::new(LIMIT, 2, ms(0));
    grantor.set_limit(Limit {
        per_second: 2,
        burst: 3,
    });
    let asked = request(ms(5_000), 20, 20.0);
    let grant = grantor.grant(first, &asked, 0.0, ms(5_000)).expect("new");
    assert_eq!(grant.granted, 3);
    assert!(grant.retry_after >= ms(400), "{:?}", grant.retry_after);
}

/// Guards against a team that is refused for the lifetime of a share, 60 s, because a host is lost
/// whose share of the former limit exceeds the lowered one.
#[test]
fn the_share_of_a_silent_host_falls_with_the_limit() {
    let [lost, other] = hosts();
    let limit = |count| Limit {
        per_second: count,
        burst: count,
    };
    let mut grantor = Grantor::new(limit(100), 2, ms(0));
    let grant = grantor.grant(lost, &request(ms(5_000), 0, 90.0), 0.0, ms(5_000));
    assert_eq!(grant.expect("new").share.burst, 35.0);
    grantor
        .grant(other, &request(ms(6_000), 0, 0.0), 0.0, ms(6_000))
        .expect("new");
    grantor.set_limit(limit(10));
    let asked = request(ms(8_000), 20, 5.0);
    let grant = grantor.grant(other, &asked, 0.0, ms(8_000)).expect("newer");
    // A burst of 10, less the lost host's 3.5.
    assert_eq!(grant.granted, 6);
    // A host that has applied only the first and the last of these limits holds its whole share.
    grantor.set_limit(limit(100));
    let grant = grantor.grant(other, &request(ms(8_010), 0, 5.0), 0.0, ms(8_010));
    assert_eq!(grant.expect("newer").share.rate, 0.0);
}

/// Guards against counts that restart within one process, as when a limit is removed and set again:
/// the difference of about 2^32 was put back into the bucket, or taken off it.
#[test]
fn a_count_that_went_backwards_changes_nothing() {
    let [first, _] = hosts();
    for (returned, used) in [(9, 0), (0, 9)] {
        let mut grantor = Grantor::new(LIMIT, 2, ms(0));
        let counted = Request {
            returned,
            used,
            ..request(ms(1_000), 20, 20.0)
        };
        let grant = grantor.grant(first, &counted, 0.0, ms(1_000));
        assert_eq!(grant.expect("new").granted, 20);
        let anew = request(ms(1_100), 20, 20.0);
        let grant = grantor.grant(first, &anew, 0.0, ms(1_100));
        assert_eq!(grant.expect("newer").granted, 2, "of 20 a second");
        let later = request(ms(1_300), 20, 20.0);
        let grant = grantor.grant(first, &later, 0.0, ms(1_300));
        assert_eq!(grant.expect("newer").granted, 4);
    }
}

/// Guards against a division by a rate of zero.
#[test]
fn a_team_without_any_operations_is_told_to_wait() {
    let [first, _] = hosts();
    let mut grantor = Grantor::new(
        Limit {
            per_second: 0,
            burst: 0,
        },
        2,
        ms(0),
    );
    let grant = grantor.grant(first, &request(ms(5_000), 3, 3.0), 0.0, ms(5_000));
    let grant = grant.expect("new");
    assert_eq!((grant.granted, grant.share.rate), (0, 0.0));
    assert_eq!(grant.retry_after, ms(1_000));
}

/// Guards against shares of two grantors that add up to more than the rate: the third grantor learns
/// from the shares of the second only, and took hosts that held shares of the first for empty (seed
/// 1005511 of the model: 47 operations too many).
#[test]
fn a_new_grantor_leaves_the_shares_of_silent_hosts() {
    let [first, _] = hosts();
    let mut grantor = Grantor::new(LIMIT, 2, ms(0));
    let grant = grantor.grant(first, &request(ms(1_000), 1, 5.0), 0.25, ms(1_000));
    assert_eq!(grant.expect("new").share.rate, 10.0, "half may be held");
}

/// Guards against a bucket that is filled to the whole burst while silent hosts may use their parts
/// of it (seed 1001431 of the model: 2 operations too many).
#[test]
fn the_bursts_of_silent_hosts_are_not_refilled() {
    let [first, second] = hosts();
    let mut grantor = Grantor::new(LIMIT, 2, ms(0));
    let grant = grantor.grant(first, &request(ms(5_000), 0, 5.0), 0.0, ms(5_000));
    let share = grant.expect("new").share;
    assert_eq!(share.burst, 7.0);
    let other = grantor.grant(second, &request(ms(5_100), 0, 5.0), 0.0, ms(5_100));
    let other = other.expect("new").share.burst;
    let asked = request(ms(20_000), 30, 5.0);
    let grant = grantor
        .grant(second, &asked, 0.0, ms(20_000))
        .expect("newer");
    assert!(
        f64::from(grant.granted) <= 20.0 - share.burst - other,
        "{} of a burst of 20",
        grant.granted
    );
}

/// Guards against a host that used little of its share for long and then all of it: what it had not
/// used was put back into the bucket, which had been full then (seed 1000400 of the model: 27
/// operations too many, of hosts that ask the grantor themselves).
#[test]
fn a_share_that_was_used_at_last_does_not_fill_the_bucket() {
    let [first, second] = hosts();
    let mut grantor = Grantor::new(LIMIT, 2, ms(0));
    let grant = grantor.grant(first, &request(ms(1_000), 0, 20.0), 0.0, ms(1_000));
    assert_eq!(grant.expect("new").share.rate, 20.0);
    let back = Request {
        used: 47,
        ..request(ms(31_000), 0, 20.0)
    };
    grantor.grant(first, &back, 0.0, ms(31_000)).expect("newer");
    let asked = request(ms(31_001), 20, 20.0);
    let grant = grantor.grant(second, &asked, 0.0, ms(31_001)).expect("new");
    // The bucket held 13 apart from the share, of which the new one reserves 7.
    assert_eq!(grant.granted, 6);
}

/// Guards against a host that is cut off for a moment and uses nothing: the bucket lacks its share.
#[test]
fn an_unused_share_is_put_back() {
    let [first, second] = hosts();
    let mut grantor = Grantor::new(LIMIT, 2, ms(0));
    grantor.grant(first, &request(ms(5_000), 0, 20.0), 0.0, ms(5_000));
    grantor
        .grant(first, &request(ms(6_000), 0, 0.0), 0.0, ms(6_000))
        .expect("newer");
    let asked = request(ms(6_001), 20, 20.0);
    let grant = grantor.grant(second, &asked, 0.0, ms(6_001)).expect("new");
    assert!(grant.granted >= 13, "{} of a burst of 20", grant.granted);
}
