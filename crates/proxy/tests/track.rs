//! What a host asks the platform next, and how soon it hears of changes after an outage.

use std::time::Duration;

use flamingopost_proxy::feeds::{Doubt, Feeds};
use flamingopost_proxy::platform::{ANSWER, Error, Revision};
use flamingopost_proxy::track::{Ask, Outage, PAUSE, PAUSE_MOST, Setback, Track};

/// From when on after an outage callers count on what was acknowledged.
const BOUND: Duration = Duration::from_secs(4);

/// How long it takes to tell another host that it has missed something: a heartbeat (0.25 s) and
/// the time for which it may be behind (0.4 s).
const TOLD: Duration = Duration::from_millis(650);

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn lost() -> Error {
    Error::Lost("no answer in time".to_owned())
}

/// An outage, and a call that is lost if it is open at any moment of it.
#[derive(Debug, Clone, Copy)]
struct Away {
    from: Duration,
    until: Duration,
}

impl Away {
    fn loses(&self, made: Duration, due: Duration) -> bool {
        made < self.until && due >= self.from
    }
}

/// When a host hears what was changed at the end of `away`, if it begins to ask at 0 and
/// the platform is otherwise quiet.
fn hears(away: Away) -> Duration {
    let mut track = Track::new("configuration", at(0));
    let mut now = at(0);
    loop {
        let wait = match track.ask(now) {
            Ask::Wait(_) if now >= away.until => return now,
            Ask::Wait(_) => Feeds::CONFIGURATION,
            Ask::All | Ask::Changes(_) => Duration::ZERO,
        };
        let due = now + wait;
        if away.loses(now, due) {
            now = due + ANSWER;
            match track.failed(&lost(), now) {
                Setback::Begun { pause, .. } | Setback::GoesOn { pause } => now += pause,
                Setback::HistoryGone { .. } => unreachable!("it was lost"),
            }
        } else {
            now = due;
            track.answered(Revision(1), now);
            if now >= away.until {
                return now;
            }
        }
    }
}

/// The store answers nobody for a while, and an operator's change right after it was served seconds
/// too late: each host's call had been made within the outage and hung for its whole wait. However
/// long an outage is and whenever it begins, hosts hear of the change in time, those that are told
/// by others too.
#[test]
fn a_change_after_an_outage_is_heard_in_time() {
    for from in (0..4_000).step_by(50).map(at) {
        for length in (50..10_000).step_by(50).map(at) {
            let away = Away {
                from,
                until: from + length,
            };
            let late = hears(away).saturating_sub(away.until);
            assert!(late + TOLD < BOUND, "{away:?}: {late:?} after its end");
        }
    }
}

/// The store refuses everything for a minute. Each call is charged for, so they become fewer, up to
/// the pause after which a change would be heard too late.
#[test]
fn calls_become_fewer_while_an_outage_lasts() {
    let mut track = Track::new("servers", at(0));
    track.answered(Revision(3), at(0));
    let refused = Error::Unavailable(503);
    assert_eq!(track.ask(at(2_000)), Ask::Wait(Revision(3)));
    let begun = Setback::Begun {
        called: at(10),
        silent: at(2_010),
        pause: PAUSE,
    };
    assert_eq!(track.failed(&refused, at(2_010)), begun);
    for pause in [PAUSE * 2, PAUSE_MOST, PAUSE_MOST] {
        assert_eq!(track.ask(at(3_000)), Ask::Changes(Revision(3)));
        assert_eq!(track.failed(&refused, at(3_010)), Setback::GoesOn { pause });
    }
    let outage = Outage {
        lasted: at(58_000),
        calls: 4,
    };
    assert_eq!(track.answered(Revision(3), at(60_010)), Some(outage));
    assert_eq!(track.ask(at(60_010)), Ask::Wait(Revision(3)));
}

/// A host is told of a change that its own call has not brought: the feed may have missed it, so
/// everything is read. If only another call was lost, what has changed is enough.
#[test]
fn a_call_in_doubt_is_made_anew() {
    let mut track = Track::new("servers", at(0));
    track.answered(Revision(3), at(0));
    track.given_up(Doubt::Outage);
    assert_eq!(track.ask(at(100)), Ask::Changes(Revision(3)));
    track.answered(Revision(4), at(110));
    track.given_up(Doubt::Behind);
    assert_eq!(track.ask(at(200)), Ask::All);
    assert_eq!(
        track.failed(&Error::HistoryGone, at(210)),
        Setback::HistoryGone {
            pause: Duration::ZERO
        }
    );
    assert_eq!(track.ask(at(210)), Ask::All);
}

/// A store keeps hardly any history and refuses each feed as soon as the table has been read. A
/// host that read it again at once would take all the calls that the store can answer.
#[test]
fn history_that_is_gone_again_is_waited_for() {
    let mut track = Track::new("servers", at(0));
    let gone = |pause| Setback::HistoryGone { pause };
    track.answered(Revision(7), at(0));
    assert_eq!(
        track.failed(&Error::HistoryGone, at(10)),
        gone(Duration::ZERO)
    );
    assert_eq!(track.ask(at(10)), Ask::All);
    track.answered(Revision(8), at(20));
    assert_eq!(track.failed(&Error::HistoryGone, at(30)), gone(PAUSE));
    track.answered(Revision(9), at(240));
    assert_eq!(
        track.failed(&Error::HistoryGone, at(5_000)),
        gone(Duration::ZERO)
    );
}
