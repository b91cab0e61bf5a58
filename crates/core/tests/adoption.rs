//! Adoption of configuration versions by many hosts over lossy links.

use flamingopost_core::adoption::{Adoption, AdoptionStep, Error};
use flamingopost_core::digest::Digest;
use rand::{RngExt as _, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn body(version: u64) -> Vec<u8> {
    format!("[fleet]\nversion = {version}\n").into_bytes()
}

fn digest(version: u64) -> Digest {
    Digest::of(&body(version))
}

/// A host restarts while the platform is down. The first peer that answers was cut off for an
/// hour and has an old version; adopting it would revert what the host did before its restart.
#[test]
fn a_starting_host_waits_for_all_sources() {
    let mut adoption = Adoption::starting(2);
    assert_eq!(adoption.record_platform_failure(), AdoptionStep::Idle);
    assert_eq!(adoption.record_peer_answer(Some(4)), AdoptionStep::Idle);
    assert_eq!(
        adoption.record_peer_answer(Some(9)),
        AdoptionStep::Fetch { version: 9 }
    );
}

#[test]
fn the_platforms_answer_alone_is_enough() {
    let mut adoption = Adoption::starting(5);
    assert_eq!(
        adoption.record_head(9, digest(9)),
        AdoptionStep::Fetch { version: 9 }
    );
}

/// An answer is cut short on its way. Half a configuration must not come into force.
#[test]
fn a_damaged_body_is_rejected() {
    let mut adoption = Adoption::starting(0);
    adoption.record_head(1, digest(1));
    let whole = body(1);
    let cut = &whole[..whole.len() - 1];
    assert_eq!(
        adoption.check_body(1, digest(1), cut),
        Err(Error::Damaged(1))
    );
    assert_eq!(
        adoption.check_body(1, Digest::of(cut), cut),
        Err(Error::Forked(1))
    );
    assert_eq!(
        adoption.check_body(1, digest(1), &whole),
        Ok(AdoptionStep::Adopt)
    );
}

/// A newer program's configuration reaches an older program, which cannot read it. It keeps the
/// version in force, does not fetch the same body every half second, and takes the next version.
#[test]
fn a_version_that_cannot_be_read_is_not_fetched_again() {
    let mut adoption = Adoption::starting(0);
    adoption.record_head(2, digest(2));
    adoption.reject_version(2);
    assert_eq!(adoption.record_version(2), AdoptionStep::Idle);
    assert_eq!(
        adoption.record_version(3),
        AdoptionStep::Fetch { version: 3 }
    );
}

/// A version is older than the one in force: the guard that the daemon relies on is broken here
/// on purpose, and the program itself has to notice.
#[test]
#[should_panic(expected = "upward_configuration")]
fn a_version_that_goes_back_violates_the_invariant() {
    let mut adoption = Adoption::starting(0);
    adoption.record_adopted(2);
    adoption.record_adopted(1);
}

struct Host {
    adoption: Adoption,
    /// What was in force before the last restart.
    before: u64,
}

impl Host {
    fn fresh(peers: usize, before: u64) -> Host {
        Host {
            adoption: Adoption::starting(peers),
            before,
        }
    }

    fn take(&mut self, version: u64) {
        let offered = self
            .adoption
            .check_body(version, digest(version), &body(version));
        if offered == Ok(AdoptionStep::Adopt) {
            self.adoption.record_adopted(version);
        }
    }
}

/// Hosts hear of versions from the platform, which has outages, and from each other over links
/// that lose messages; some restart with empty memory.
fn schedule(seed: u64) {
    const HOSTS: usize = 7;
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut hosts: Vec<Host> = (0..HOSTS).map(|_| Host::fresh(HOSTS - 1, 0)).collect();
    let (mut newest, mut down) = (0, false);
    for _ in 0..300 {
        let chosen = random.random_range(0..HOSTS);
        match random.random_range(0..10) {
            0 if !down => newest += 1,
            1 => down = !down,
            2 => restart(&mut hosts, chosen, down, newest, &mut random),
            3 | 4 => poll(&mut hosts[chosen], down, newest),
            _ => {
                let peer = random.random_range(0..HOSTS);
                tell(&mut hosts, peer, chosen);
            }
        }
    }
    for host in &mut hosts {
        poll(host, false, newest);
        assert_eq!(host.adoption.in_force(), newest, "seed {seed}");
    }
}

fn poll(host: &mut Host, down: bool, newest: u64) {
    let next = match (down, newest) {
        (true, _) => host.adoption.record_platform_failure(),
        (false, 0) => host.adoption.record_empty_head(),
        (false, newest) => host.adoption.record_head(newest, digest(newest)),
    };
    if let AdoptionStep::Fetch { version } = next {
        host.take(version);
    }
}

fn tell(hosts: &mut [Host], from: usize, to: usize) {
    let version = hosts[from].adoption.in_force();
    if let AdoptionStep::Fetch { version: wanted } = hosts[to].adoption.record_version(version) {
        // The body of what was heard of before may be nowhere but at the platform.
        if wanted == version {
            hosts[to].take(version);
        }
    }
}

fn restart(hosts: &mut [Host], chosen: usize, down: bool, newest: u64, random: &mut ChaCha8Rng) {
    let before = hosts[chosen].adoption.in_force().max(hosts[chosen].before);
    hosts[chosen] = Host::fresh(hosts.len() - 1, before);
    // What was in force nowhere else is out of reach while the platform is gone.
    let elsewhere = hosts.iter().map(|host| host.adoption.in_force()).max();
    let reachable = match down {
        true => before.min(elsewhere.unwrap_or(0)),
        false => before,
    };
    poll(&mut hosts[chosen], down, newest);
    let mut others: Vec<usize> = (0..hosts.len()).filter(|other| *other != chosen).collect();
    let first = random.random_range(0..others.len());
    others.rotate_left(first);
    let mut lost = false;
    for other in others {
        lost |= random.random_ratio(1, 30);
        let version = hosts[other].adoption.in_force();
        let answer = (!lost).then_some(version);
        let next = hosts[chosen].adoption.record_peer_answer(answer);
        if let AdoptionStep::Fetch { version: wanted } = next {
            hosts[chosen].take(wanted);
        }
        let now = hosts[chosen].adoption.in_force();
        let reverts = now != 0 && now < reachable;
        assert!(lost || !reverts, "{now} after {before}");
    }
}

#[test]
fn versions_never_go_back_and_reach_every_host() {
    let schedules = match std::env::var("FLAMINGOPOST_SCHEDULES") {
        Ok(count) => count.parse().expect("FLAMINGOPOST_SCHEDULES is a number"),
        Err(_) => 500,
    };
    for seed in 0..schedules {
        schedule(seed);
    }
}

/// A host cut off from the platform is offered the body that it has, or an older one, by a peer
/// that is behind. Taking it again would bring back routes that operators have removed.
#[test]
fn a_body_that_is_not_newer_is_not_adopted() {
    let mut adoption = Adoption::starting(0);
    adoption.record_head(5, digest(5));
    assert_eq!(
        adoption.check_body(5, digest(5), &body(5)),
        Ok(AdoptionStep::Adopt)
    );
    adoption.record_adopted(5);
    assert_eq!(
        adoption.check_body(5, digest(5), &body(5)),
        Ok(AdoptionStep::Idle)
    );
    assert_eq!(
        adoption.check_body(4, digest(4), &body(4)),
        Ok(AdoptionStep::Idle)
    );
    assert_eq!(adoption.in_force(), 5);
}
