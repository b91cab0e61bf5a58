//! The product's admission under overload, in the model.

use std::time::Duration;

use flamingopost_load::overload::Run;
use flamingopost_load::overload::mix::Mix;
use flamingopost_load::overload::policy::Policy;
use flamingopost_load::overload::tally::Tally;

fn play(mix: Mix, policy: Policy, slots: u16, connections: u16, load: f64) -> (Tally, Mix) {
    let run = Run {
        mix,
        policy,
        hosts: 6,
        slots,
        connections,
        load,
        length: Duration::from_secs(20),
        warm_up: Duration::from_secs(5),
        distance: Duration::from_micros(1500),
        seed: 7,
    };
    (run.play(), run.mix)
}

fn goodput(mix: Mix, policy: Policy, slots: u16, connections: u16, load: f64) -> f64 {
    let (tally, mix) = play(mix, policy, slots, connections, load);
    tally.goodput(&mix)
}

/// A crowd of callers comes at twice the rate that a server can do. In a plain pool everybody
/// waits until everybody is late, so the work is done for nobody. With admission, what cannot be
/// done is refused and the rest is served: as much weight in time as before, or more.
#[test]
fn goodput_does_not_fall_at_twice_the_load() {
    for (mix, slots, connections) in [(Mix::auction(), 3, 36), (Mix::shipper(), 2, 16)] {
        let once = goodput(mix.clone(), Policy::Gate, slots, connections, 1.0);
        let twice = goodput(mix.clone(), Policy::Gate, slots, connections, 2.0);
        assert!(twice >= 0.9 * once, "{twice} of {once}");
        let naive = goodput(mix, Policy::Fifo, slots, connections, 2.0);
        assert!(
            naive < 0.2 * twice,
            "the baseline no longer collapses: {naive}"
        );
    }
}

/// Bids and airway bills must not suffer from a flood of lighter requests: overload is shed from
/// the least weight up.
#[test]
fn the_heaviest_class_is_served_in_time_under_overload() {
    for (mix, slots, connections) in [(Mix::auction(), 3, 36), (Mix::shipper(), 2, 16)] {
        let (tally, _) = play(mix, Policy::Gate, slots, connections, 2.0);
        let shares: Vec<f64> = tally.kinds.iter().map(|kind| kind.share()).collect();
        assert!(shares[0] > 0.99, "{shares:?}");
        assert!(shares.is_sorted_by(|a, b| a >= b), "{shares:?}");
    }
}

/// A request that cannot be done in time is told so early, not near its deadline: the caller can
/// still do something else.
#[test]
fn refusals_come_early() {
    let (tally, mix) = play(Mix::auction(), Policy::Gate, 3, 36, 2.0);
    for (count, kind) in tally.kinds.iter().zip(&mix.kinds) {
        assert!(
            count.refusal_mean() < kind.deadline / 3,
            "{}: {count:?}",
            kind.name
        );
    }
}

/// One customer floods a service that it shares with another. The quiet one, who asks for less
/// than its part, must not notice.
#[test]
fn a_loud_customer_does_not_push_out_a_quiet_one() {
    let (tally, _) = play(Mix::crowd(), Policy::Gate, 3, 36, 2.0);
    assert!(tally.kinds[0].share() > 0.99, "{tally:?}");
    assert!(tally.kinds[1].share() > 0.3, "{tally:?}");
    let (naive, _) = play(Mix::crowd(), Policy::Fifo, 3, 36, 2.0);
    assert!(naive.kinds[0].share() < 0.2, "{naive:?}");
}
