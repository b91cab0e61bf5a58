//! Retries, hedged requests and rate limits.

use std::time::Duration;

use flamingopost_core::hedge::Hedge;
use flamingopost_core::rate::Rate;
use flamingopost_core::refusal::Ran;
use flamingopost_core::retry::budget::Budget;
use flamingopost_core::retry::{self, Attempt, Failure, RetryDecision};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

const FIRST: Attempt = Attempt {
    count: 1,
    failure: Failure::ThisServer,
    ran: Ran::No,
    repeatable: false,
    retries: 2,
    deadline: Duration::from_millis(100),
    expected: Duration::from_millis(5),
    random_bits: 0,
};

fn decide(attempt: Attempt) -> RetryDecision {
    retry::decide(&attempt, &mut Budget::retries(), Duration::ZERO)
}

#[test]
fn an_unsent_request_is_retried_on_another_server_at_once() {
    assert_eq!(decide(FIRST), RetryDecision::Retry(Duration::ZERO));
}

/// The connection broke after a bid was sent. A retry could place the bid twice.
#[test]
fn a_request_that_may_have_run_is_retried_only_if_repeatable() {
    let unknown = Attempt {
        ran: Ran::Unknown,
        ..FIRST
    };
    assert_eq!(decide(unknown), RetryDecision::GiveUp);
    let repeatable = Attempt {
        repeatable: true,
        ..unknown
    };
    assert_ne!(decide(repeatable), RetryDecision::GiveUp);
    let ran = Attempt {
        ran: Ran::Yes,
        ..repeatable
    };
    assert_eq!(decide(ran), RetryDecision::GiveUp);
}

#[test]
fn a_permanent_failure_is_not_retried() {
    let always = Attempt {
        failure: Failure::Permanent,
        ..FIRST
    };
    assert_eq!(decide(always), RetryDecision::GiveUp);
}

#[test]
fn no_retry_exceeds_the_rule_or_the_deadline() {
    let third = Attempt { count: 3, ..FIRST };
    assert_eq!(decide(third), RetryDecision::GiveUp);
    let late = Attempt {
        expected: ms(101),
        ..FIRST
    };
    assert_eq!(decide(late), RetryDecision::GiveUp);
}

/// During a promotion the writes of all hosts fail at the same time. Without jitter all retries would
/// reach the new primary at once.
#[test]
fn backoff_is_jittered() {
    let wait = |random_bits| match decide(Attempt {
        failure: Failure::AllServers,
        random_bits,
        ..FIRST
    }) {
        RetryDecision::Retry(wait) => wait,
        RetryDecision::GiveUp => Duration::ZERO,
    };
    assert_eq!(wait(0), ms(5));
    assert!(wait(1023) > ms(9) && wait(1023) < ms(10));
}

/// The primary is gone and every request fails. With three retries each, the next primary would get
/// four times the load. The budget limits it to a tenth more.
#[test]
fn retries_stay_a_tenth_of_the_requests_when_everything_fails() {
    let mut budget = Budget::retries();
    let mut retries = 0;
    for _ in 0..1000 {
        budget.record_request();
        let attempt = Attempt {
            retries: 3,
            ..FIRST
        };
        if retry::decide(&attempt, &mut budget, Duration::ZERO) != RetryDecision::GiveUp {
            retries += 1;
        }
    }
    assert!((100..=110).contains(&retries), "{retries}");
}

#[test]
fn a_hedge_waits_for_the_95th_percentile() {
    let mut hedge = Hedge::default();
    assert_eq!(hedge.wait(ms(1)), None, "no answer was recorded yet");
    for count in 0..4000u64 {
        let slow = count % 10 == 0;
        hedge.record(if slow { ms(60) } else { ms(4) });
    }
    let wait = hedge.wait(ms(1)).unwrap();
    assert_eq!(wait, ms(60));
    assert_eq!(
        hedge.wait(ms(90)),
        Some(ms(90)),
        "the rule's wait is the minimum"
    );
}

/// The first answers of a service arrive on new connections and are slow. They must not delay hedges
/// for long.
#[test]
fn slow_initial_answers_are_forgotten() {
    let mut hedge = Hedge::default();
    (0..10).for_each(|_| hedge.record(ms(3000)));
    (0..144).for_each(|_| hedge.record(ms(4)));
    assert_eq!(hedge.wait(ms(1)), Some(ms(4)));
}

/// All replicas become slow at once, so every read would send a copy, which doubles the load on slow
/// servers.
#[test]
fn hedges_stay_a_twentieth_of_the_requests_when_everything_is_slow() {
    let mut hedge = Hedge::default();
    (0..100).for_each(|_| hedge.record(ms(4)));
    let mut budget = Budget::hedges();
    let mut sent = 0;
    for _ in 0..1000 {
        budget.record_request();
        sent += u32::from(hedge.may_send(&mut budget));
    }
    assert!((50..=60).contains(&sent), "{sent}");
}

#[test]
fn a_rate_limits_requests_and_reports_when_the_next_one_passes() {
    let mut rate = Rate::new(100, Duration::ZERO);
    let mut passed = 0;
    for step in 0..10_000 {
        let now = Duration::from_micros(step * 200);
        passed += u32::from(rate.take(now).is_ok());
    }
    assert!((200..=210).contains(&passed), "{passed} in two seconds");
    let now = Duration::from_secs(2);
    while rate.take(now).is_ok() {}
    let wait = rate.take(now).unwrap_err();
    assert!(rate.take(now + wait).is_ok());
}

#[test]
fn a_rate_of_zero_refuses_every_request() {
    let mut rate = Rate::new(0, Duration::ZERO);
    let first = rate.take(Duration::ZERO).is_ok();
    assert!(!first);
    assert_eq!(
        rate.take(Duration::from_secs(9)),
        Err(Duration::from_secs(3600))
    );
}
