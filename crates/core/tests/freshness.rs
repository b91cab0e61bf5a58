//! How fresh a server's data must be, by positions at which a primary was seen to lead.

use std::time::Duration;

use flamingopost_core::freshness::{FreshnessTracker, SAMPLE_RETENTION};
use flamingopost_core::position::Position;
use flamingopost_core::term::Term;
use rand::{RngExt as _, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn position(term: i64, log: u64) -> Position {
    Position {
        term: Term::from_number(term),
        log,
    }
}

/// A buyer reads a lot on a host that was frozen for three seconds. The only samples are from
/// before the freeze, so no replica can be shown to be fresh enough; a guess would show the lot
/// as open although it was sold during the freeze.
#[test]
fn samples_from_before_a_pause_prove_no_freshness() {
    let mut vouch = FreshnessTracker::default();
    vouch.add_sample(position(1, 40), ms(1_000));
    let arrived = ms(4_200);
    assert_eq!(vouch.required_position(arrived - ms(1_500)), None);
}

/// A member's bid is at 1.57 when its primary dies; the successor starts term 2 from 1.55. The
/// session would ask for 1.57 for ever and be refused everywhere. The start of term 2 stands in.
#[test]
fn a_position_dropped_by_a_promotion_does_not_block_its_session() {
    let mut vouch = FreshnessTracker::default();
    vouch.add_sample(position(1, 57), ms(100));
    vouch.record_term(Term::from_number(2));
    assert_eq!(vouch.in_current_term(position(1, 57)), position(2, 0));
    assert_eq!(vouch.required_position(ms(50)), Some(position(2, 0)));
}

/// A primary was replaced while an answer of its was on the way. The answer arrives after those
/// of the successor and must not vouch for anything.
#[test]
fn an_answer_of_an_ended_term_is_no_sample() {
    let mut vouch = FreshnessTracker::default();
    vouch.add_sample(position(2, 60), ms(200));
    vouch.add_sample(position(1, 99), ms(300));
    assert_eq!(vouch.required_position(ms(250)), None);
}

#[test]
fn samples_past_the_retention_are_removed() {
    let mut vouch = FreshnessTracker::default();
    vouch.add_sample(position(1, 1), ms(0));
    vouch.add_sample(position(1, 9), SAMPLE_RETENTION + ms(100));
    assert_eq!(vouch.required_position(ms(0)), Some(position(1, 9)));
}

/// Whatever the order in which answers arrive: the floor covers everything that was acknowledged
/// before the moment that a read names.
#[test]
fn required_positions_cover_all_acknowledged_writes() {
    for seed in 0..2_000 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut vouch = FreshnessTracker::default();
        let mut acknowledged: Vec<(Duration, Position)> = Vec::new();
        let mut now = ms(0);
        let mut log = 0;
        let mut term = 1;
        for _ in 0..200 {
            now += ms(rng.random_range(0..40));
            match rng.random_range(0..10) {
                0..=3 => {
                    log += 1;
                    acknowledged.push((now, position(term, log)));
                }
                // A successor keeps nothing of what was acknowledged last: the worst case that a
                // promotion may bring.
                4 if rng.random_bool(0.1) => {
                    term += 1;
                    acknowledged.clear();
                }
                _ => {
                    // Asked some time ago, answered now.
                    let asked = now.saturating_sub(ms(rng.random_range(0..30)));
                    vouch.add_sample(position(term, log), asked);
                }
            }
            let since = now.saturating_sub(ms(rng.random_range(0..600)));
            let Some(floor) = vouch.required_position(since) else {
                continue;
            };
            let owed = acknowledged.iter().filter(|(at, _)| *at < since);
            for (at, position) in owed {
                assert!(
                    floor >= *position,
                    "seed {seed}: floor {floor} since {since:?} lacks {position} of {at:?}"
                );
            }
        }
    }
}
