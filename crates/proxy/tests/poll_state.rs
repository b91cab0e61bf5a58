//! Requests to the platform, and how soon a host reads changes after an outage.

use std::time::Duration;

use flamingopost_proxy::feeds::{CancelReason, Feeds};
use flamingopost_proxy::platform::{CALL_TIMEOUT, Error, Revision};
use flamingopost_proxy::poll_state::{
    MAX_BACKOFF, MIN_BACKOFF, Outage, PollFailure, PollRequest, PollState,
};

/// Time after the end of an outage from which callers rely on acknowledged changes.
const CHANGE_DEADLINE: Duration = Duration::from_secs(4);

/// Time to notify another host that it has missed a change: a heartbeat (0.25 s) and the time for
/// which it may be behind (0.4 s).
const PEER_NOTIFICATION_DELAY: Duration = Duration::from_millis(650);

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn lost() -> Error {
    Error::Lost("no answer in time".to_owned())
}

/// An outage. A call is lost if it is open at any moment of it.
#[derive(Debug, Clone, Copy)]
struct OutageInterval {
    from: Duration,
    until: Duration,
}

impl OutageInterval {
    fn loses(&self, made: Duration, due: Duration) -> bool {
        made < self.until && due >= self.from
    }
}

/// Returns when a host reads a change made at the end of `interval`, if it begins to poll at 0 and
/// there are no other changes.
fn reads_change_at(interval: OutageInterval) -> Duration {
    let mut poll = PollState::new("configuration", at(0));
    let mut now = at(0);
    loop {
        let wait = match poll.next_request(now) {
            PollRequest::LongPoll(_) if now >= interval.until => return now,
            PollRequest::LongPoll(_) => Feeds::CONFIGURATION_WAIT,
            PollRequest::All | PollRequest::Changes(_) => Duration::ZERO,
        };
        let due = now + wait;
        if interval.loses(now, due) {
            now = due + CALL_TIMEOUT;
            match poll.failed(&lost(), now) {
                PollFailure::OutageBegan { pause, .. } | PollFailure::OutageContinues { pause } => {
                    now += pause
                }
                PollFailure::HistoryGone { .. } => unreachable!("it was lost"),
            }
        } else {
            now = due;
            poll.answered(Revision(1), now);
            if now >= interval.until {
                return now;
            }
        }
    }
}

/// A change made right after an outage was served seconds too late, because each host's call had
/// been made during the outage and hung for its whole wait. Whatever the start and length of an
/// outage, hosts have to read the change in time, including those that are notified by others.
#[test]
fn a_change_after_an_outage_is_read_in_time() {
    for from in (0..4_000).step_by(50).map(at) {
        for length in (50..10_000).step_by(50).map(at) {
            let interval = OutageInterval {
                from,
                until: from + length,
            };
            let late = reads_change_at(interval).saturating_sub(interval.until);
            assert!(
                late + PEER_NOTIFICATION_DELAY < CHANGE_DEADLINE,
                "{interval:?}: {late:?} after its end"
            );
        }
    }
}

/// The store refuses every call for a minute. Calls are charged for, so their number has to
/// decrease, up to the backoff beyond which a change would be read too late.
#[test]
fn calls_back_off_while_an_outage_lasts() {
    let mut poll = PollState::new("servers", at(0));
    poll.answered(Revision(3), at(0));
    let refused = Error::Unavailable(503);
    assert_eq!(
        poll.next_request(at(2_000)),
        PollRequest::LongPoll(Revision(3))
    );
    let begun = PollFailure::OutageBegan {
        called: at(10),
        silent: at(2_010),
        pause: MIN_BACKOFF,
    };
    assert_eq!(poll.failed(&refused, at(2_010)), begun);
    for pause in [MIN_BACKOFF * 2, MAX_BACKOFF, MAX_BACKOFF] {
        assert_eq!(
            poll.next_request(at(3_000)),
            PollRequest::Changes(Revision(3))
        );
        assert_eq!(
            poll.failed(&refused, at(3_010)),
            PollFailure::OutageContinues { pause }
        );
    }
    let outage = Outage {
        duration: at(58_000),
        failed_calls: 4,
        last_failed_at: at(3_010),
    };
    assert_eq!(poll.answered(Revision(3), at(60_010)), Some(outage));
    assert_eq!(
        poll.next_request(at(60_010)),
        PollRequest::LongPoll(Revision(3))
    );
}

/// A host that is notified of a change its own call has not returned reads everything, since the
/// feed may have missed it. If only another call was lost, reading the changes is enough.
#[test]
fn a_cancelled_call_is_repeated() {
    let mut poll = PollState::new("servers", at(0));
    poll.answered(Revision(3), at(0));
    poll.cancelled(CancelReason::Outage);
    assert_eq!(
        poll.next_request(at(100)),
        PollRequest::Changes(Revision(3))
    );
    poll.answered(Revision(4), at(110));
    poll.cancelled(CancelReason::Behind);
    assert_eq!(poll.next_request(at(200)), PollRequest::All);
    assert_eq!(
        poll.failed(&Error::HistoryGone, at(210)),
        PollFailure::HistoryGone {
            pause: Duration::ZERO
        }
    );
    assert_eq!(poll.next_request(at(210)), PollRequest::All);
}

/// A store keeps hardly any history and refuses each feed right after the table was read. A host
/// that read the table again immediately would use up all calls that the store can answer.
#[test]
fn a_repeated_loss_of_history_backs_off() {
    let mut poll = PollState::new("servers", at(0));
    let gone = |pause| PollFailure::HistoryGone { pause };
    poll.answered(Revision(7), at(0));
    assert_eq!(
        poll.failed(&Error::HistoryGone, at(10)),
        gone(Duration::ZERO)
    );
    assert_eq!(poll.next_request(at(10)), PollRequest::All);
    poll.answered(Revision(8), at(20));
    assert_eq!(poll.failed(&Error::HistoryGone, at(30)), gone(MIN_BACKOFF));
    poll.answered(Revision(9), at(240));
    assert_eq!(
        poll.failed(&Error::HistoryGone, at(5_000)),
        gone(Duration::ZERO)
    );
}
