//! Random schedules of faults: no window of time over the limit.
//!
//! `FLAMINGOPOST_SCHEDULES=N` sets how many are played and `FLAMINGOPOST_SEED=N` the first seed.

use std::time::Duration;

use flamingopost_core::limit::Limit;
use rand::{RngExt as _, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::model::{CUT_PERCENT, Fault, Model, Tally, Way};
use super::ms;

/// Schedules played by default.
const SCHEDULES: u64 = 60;

/// Length of a schedule.
const LENGTH: Duration = Duration::from_secs(30);

/// The window over which operators measure a limit, how far it may be exceeded as a fraction, and
/// by how many operations in addition.
const WINDOW: Duration = Duration::from_secs(5);
const OVERRUN: f64 = 0.1;
const TOLERANCE: f64 = 20.0;

/// Time after a change of a limit in which a window may still be measured by the former one: the
/// time for hosts to apply it, and one window.
const CHANGE_TIME: Duration = Duration::from_secs(10);

fn env_number(name: &str) -> Option<u64> {
    let value = std::env::var(name).ok()?;
    Some(
        value
            .parse()
            .unwrap_or_else(|_| panic!("{name} is a number")),
    )
}

/// How much callers ask for, in multiples of the limit.
const USUAL: std::ops::Range<f64> = 0.2..1.1;
const PRESSING: std::ops::Range<f64> = 2.0..5.0;

fn play(
    seed: u64,
    way: Way,
    pressure: std::ops::Range<f64>,
    cuts_part: bool,
) -> (Tally, Vec<(Duration, Limit)>) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x7ea5);
    let hosts = rng.random_range(2..=24);
    let per_second = rng.random_range(2..=120);
    let limit = Limit {
        per_second,
        burst: rng.random_range(1..=per_second * 2),
    };
    let demand = f64::from(per_second) * rng.random_range(pressure);
    let zones = rng.random_range(2..=4);
    let mut model = Model::new(seed, way, hosts, zones, limit, demand);
    for _ in 0..rng.random_range(0..=7) {
        let at = ms(rng.random_range(4_000..26_000));
        let lasts = ms(rng.random_range(200..9_000));
        let host = rng.random_range(0..hosts);
        let fault = match rng.random_range(0..12) {
            0..=2 => Fault::Kill(host),
            3 => Fault::KillAll,
            4 | 5 => Fault::Pause(host),
            6 => Fault::CutHost(host),
            7 | 8 => Fault::CutZone(rng.random_range(0..zones)),
            _ => Fault::Rush(rng.random_range(1.5..8.0)),
        };
        let lasts = match fault {
            Fault::KillAll => lasts.min(ms(1_500)),
            _ => lasts,
        };
        model.add_fault(at, lasts, fault);
    }
    if rng.random_bool(0.3) {
        let lower = Limit {
            per_second: per_second.div_ceil(3),
            burst: limit.burst.div_ceil(3),
        };
        model.change_limit(ms(rng.random_range(5_000..20_000)), lower);
    }
    if cuts_part {
        // Drawn apart, so that the rest of a schedule stays the same.
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x20e5);
        if rng.random_bool(0.5) {
            let at = ms(rng.random_range(3_500..24_000));
            let lasts = ms(rng.random_range(500..13_000));
            model.add_fault(at, lasts, Fault::CutPart(rng.random_range(10..60)));
        }
    }
    let limits = model.limits.clone();
    (model.play(LENGTH), limits)
}

/// Returns the worst excess over the limit of any window, in operations.
fn worst_excess(tally: &Tally, limits: &[(Duration, Limit)]) -> f64 {
    let mut worst = f64::MIN;
    let mut first = 0;
    for (last, end) in tally.admitted.iter().enumerate() {
        while *end - tally.admitted[first] >= WINDOW {
            first += 1;
        }
        let begin = tally.admitted[first].saturating_sub(CHANGE_TIME);
        let after = limits.iter().position(|(since, _)| *since > begin);
        let binding = &limits[after.unwrap_or(limits.len()).saturating_sub(1)..];
        let allowed = binding.iter().map(|(_, limit)| {
            let operations = f64::from(limit.per_second) * WINDOW.as_secs_f64();
            (operations + f64::from(limit.burst)) * (1.0 + OVERRUN) + TOLERANCE
        });
        let allowed = allowed.fold(0.0, f64::max);
        worst = worst.max((last - first + 1) as f64 - allowed);
    }
    worst
}

/// Guards against hosts that exceed a team's limit together, because some are cut off, paused,
/// killed or new.
#[test]
fn no_window_exceeds_the_limit() {
    let count = env_number("FLAMINGOPOST_SCHEDULES").unwrap_or(SCHEDULES);
    let first = env_number("FLAMINGOPOST_SEED").unwrap_or(1);
    for seed in first..first + count {
        for way in [Way::GrantorWithShares, Way::ZoneGrantors] {
            for pressure in [USUAL, PRESSING] {
                let (tally, limits) = play(seed, way, pressure.clone(), way == Way::ZoneGrantors);
                let excess = worst_excess(&tally, &limits);
                assert!(
                    excess <= 0.0,
                    "seed {seed}, {way:?}, pressure {pressure:?}: {excess} operations too many"
                );
            }
        }
    }
}

/// The ways to share a limit on the same schedules: what each refuses although one bucket that saw
/// all hosts would have allowed it. Run with `--nocapture` for the figures.
#[test]
fn demand_decides_what_is_refused() {
    let count = env_number("FLAMINGOPOST_SCHEDULES").unwrap_or(SCHEDULES);
    let first = env_number("FLAMINGOPOST_SEED").unwrap_or(1);
    let mut served = Vec::new();
    for way in [
        Way::EqualParts,
        Way::GrantorAlone,
        Way::GrantorWithShares,
        Way::ZoneGrantors,
    ] {
        let (mut admitted, mut allowed, mut over) = (0.0, 0.0, 0);
        let mut waited = Duration::ZERO;
        for seed in first..first + count {
            let (tally, limits) = play(seed, way, USUAL, false);
            admitted += (tally.admitted.len() as f64).min(tally.allowed as f64);
            allowed += tally.allowed as f64;
            waited += tally.waited;
            over += u32::from(worst_excess(&tally, &limits) > 0.0);
        }
        let share = admitted / allowed;
        println!(
            "{way:?}: {share:.3} of what is allowed is admitted, {over} of {count} schedules over the limit, {:.1} ms waited on average",
            waited.as_secs_f64() * 1e3 / admitted
        );
        served.push(share);
    }
    assert!(served[2] > served[0] && served[2] > served[1], "{served:?}");
    assert!(served[3] > served[0] && served[3] > served[1], "{served:?}");
}

/// Returns the fractions of operations that 58 hosts in three zones admit before, during and after a
/// cut of `zone`, of a team that asks for half of its limit.
fn admitted_around_cut(way: Way, per_second: u32, zone: usize) -> [f64; 3] {
    let limit = Limit {
        per_second,
        burst: per_second,
    };
    let demand = f64::from(per_second) / 2.0;
    let mut phases = [(0.0, 0.0); 3];
    for seed in 1..=20 {
        let mut model = Model::new(seed, way, 58, 3, limit, demand);
        model.add_fault(ms(15_000), ms(6_000), Fault::CutZone(zone));
        for (at, admitted) in model.play(LENGTH).decisions {
            let phase = match at.as_secs() {
                0..15 => 0,
                15..21 => 1,
                _ => 2,
            };
            phases[phase].0 += f64::from(u8::from(admitted));
            phases[phase].1 += 1.0;
        }
    }
    phases.map(|(admitted, all)| admitted / all)
}

/// Guards against a zone that serves nobody while it is cut off from the grantor, and against refusals
/// within the limit while all hosts are in contact. Run with `--nocapture` for the figures.
#[test]
fn a_zone_that_is_cut_off_keeps_its_part() {
    for (per_second, zone) in [(10, 0), (10, 1), (40, 0), (40, 1), (160, 0), (160, 1)] {
        let shares = admitted_around_cut(Way::GrantorWithShares, per_second, zone);
        let alone = admitted_around_cut(Way::GrantorAlone, per_second, zone);
        let zones = admitted_around_cut(Way::ZoneGrantors, per_second, zone);
        println!(
            "{per_second} a second, zone {zone} cut off: {zones:.3?}, without zone grantors {shares:.3?}, without shares {alone:.3?}"
        );
        assert!(zones[0] > 0.99, "refused within the limit: {zones:?}");
        assert!(shares[0] > 0.99, "refused within the limit: {shares:?}");
        assert!(
            shares[1] > alone[1],
            "{shares:?} and {alone:?} without shares"
        );
    }
}

/// Returns the fractions of operations that 76 hosts in four zones admit while 35% of them are cut
/// off from 1 s after the first request for 12 s, at the hosts that are cut off and at the others,
/// and the number of messages within zones and between them.
fn admitted_in_parts(way: Way, per_second: u32) -> ([f64; 2], [u64; 2]) {
    let limit = Limit {
        per_second,
        burst: per_second,
    };
    let mut sums = [(0.0, 0.0); 2];
    let mut messages = [0; 2];
    for seed in 1..=20 {
        let mut model = Model::new(seed, way, 76, 4, limit, f64::from(per_second) / 1.6);
        model.add_fault(ms(4_000), ms(12_000), Fault::CutPart(CUT_PERCENT));
        let tally = model.play(ms(16_000));
        for (sum, decisions) in sums.iter_mut().zip(&tally.by_side) {
            for (_, admitted) in decisions.iter().filter(|(at, _)| *at >= ms(4_000)) {
                sum.0 += f64::from(u8::from(*admitted));
                sum.1 += 1.0;
            }
        }
        for (sum, count) in messages.iter_mut().zip(tally.messages) {
            *sum += count;
        }
    }
    (sums.map(|(admitted, all)| admitted / all), messages)
}

/// Guards against hosts that are cut off together and refuse teams whose demand is within the limit,
/// because each holds a fraction of an operation or none. Run with `--nocapture` for the figures.
#[test]
fn a_part_of_the_hosts_that_is_cut_off_early_serves_its_callers() {
    for per_second in [35, 100] {
        let (shares, former) = admitted_in_parts(Way::GrantorWithShares, per_second);
        let (zones, messages) = admitted_in_parts(Way::ZoneGrantors, per_second);
        println!(
            "{per_second} a second, 35% cut off: {zones:.3?}, without zone grantors {shares:.3?}; messages {messages:?}, without zone grantors {former:?}"
        );
        assert!(zones[0] > shares[0], "{zones:?} and {shares:?}");
        assert!(zones[1] > shares[1], "{zones:?} and {shares:?}");
    }
}

/// Plays 58 hosts in three zones of a team that asks for half of its limit, with the faults that
/// `faults` returns from 15 s on for 6 s. Returns the fraction that is admitted meanwhile and the worst
/// excess over the limit.
fn play_faults(faults: impl Fn(&Model) -> Vec<Fault>) -> (f64, f64) {
    let limit = Limit {
        per_second: 40,
        burst: 40,
    };
    let (mut admitted, mut all, mut worst) = (0.0, 0.0, f64::MIN);
    for seed in 1..=20 {
        let mut model = Model::new(seed, Way::ZoneGrantors, 58, 3, limit, 20.0);
        for fault in faults(&model) {
            model.add_fault(ms(15_000), ms(6_000), fault);
        }
        let tally = model.play(LENGTH);
        worst = worst.max(worst_excess(&tally, &[(Duration::ZERO, limit)]));
        let during = tally.decisions.iter();
        for (_, is_admitted) in during.filter(|(at, _)| (15..21).contains(&at.as_secs())) {
            admitted += f64::from(u8::from(*is_admitted));
            all += 1.0;
        }
    }
    (admitted / all, worst)
}

/// Guards against a zone that refuses its callers because its zone grantor is gone.
#[test]
fn a_zone_grantor_that_is_lost_is_replaced() {
    let (admitted, excess) = play_faults(|model| vec![Fault::Kill(model.zone_grantor(1))]);
    println!("zone grantor lost: {admitted:.3}");
    assert!(admitted > 0.97 && excess <= 0.0, "{admitted}, {excess}");
}

/// Guards against two zone grantors of a zone that lend the same operations: one stands still, the
/// second takes its place, and then both lend.
#[test]
fn two_zone_grantors_at_the_same_time_stay_within_the_limit() {
    let (admitted, excess) = play_faults(|model| {
        let paused = Fault::Pause(model.zone_grantor(1));
        vec![paused, Fault::Rush(4.0)]
    });
    println!("zone grantor stands still in a rush: {admitted:.3}");
    assert!(excess <= 0.0, "{excess} operations too many");
}

/// Guards against a grantor that is lost during a load spike: its successor knows of no shares.
#[test]
fn a_grantor_that_is_lost_in_a_rush_is_replaced_within_the_limit() {
    let (admitted, excess) = play_faults(|_| vec![Fault::Kill(0), Fault::Rush(4.0)]);
    println!("grantor lost in a rush: {admitted:.3}");
    assert!(excess <= 0.0, "{excess} operations too many");
}
