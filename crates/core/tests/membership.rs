//! Hosts that join, stop sending heartbeats, return and leave; servers that leave.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use flamingopost_core::directory::Directory;
use flamingopost_core::key::{HostKey, ZoneKey};
use flamingopost_core::membership::{
    GONE_AFTER, Hint, LeavingServers, Member, Membership, Presence, Process, Reason, State,
};
use flamingopost_core::timing;

fn heartbeat(seconds: u64) -> Member {
    Member {
        zone: ZoneKey::default(),
        last_heartbeat: Duration::from_secs(seconds),
        config: 1,
        stopping: false,
    }
}

fn process(host: HostKey, incarnation: u64) -> Process {
    Process { host, incarnation }
}

/// The platform's list still shows a host as live that was switched off a while ago. The missing
/// heartbeats count, not the list.
#[test]
fn the_list_does_not_keep_a_silent_host_alive() {
    let host = Directory::default().hosts.intern("bole-1");
    let mut membership = Membership::default();
    membership.set_listed_hosts(BTreeMap::from([(host, Hint::Live)]));
    assert_eq!(membership.joining().collect::<Vec<_>>(), [host]);
    membership.heartbeat(process(host, 1), heartbeat(1));
    assert_eq!(membership.joining().count(), 0);
    let now = Duration::from_secs(1) + GONE_AFTER;
    assert_eq!(membership.state(process(host, 1), now), State::Gone);
}

/// A host that works is missing from the platform's list. A lagging list must not take a working
/// host away from its callers.
#[test]
fn an_unlisted_host_is_live_while_it_sends_heartbeats() {
    let host = Directory::default().hosts.intern("bole-1");
    let mut membership = Membership::default();
    membership.heartbeat(process(host, 1), heartbeat(1));
    membership.set_listed_hosts(BTreeMap::new());
    let now = Duration::from_millis(1_500);
    assert_eq!(membership.state(process(host, 1), now), State::Live);
}

/// A host restarts within a second. Resources of its earlier process may still be in use, so both
/// processes are tracked until the earlier one has sent no heartbeat for a long time.
#[test]
fn a_restarted_host_is_a_new_process() {
    let host = Directory::default().hosts.intern("bole-1");
    let mut membership = Membership::default();
    assert_eq!(
        membership.heartbeat(process(host, 1), heartbeat(1)),
        Presence::New
    );
    assert_eq!(
        membership.heartbeat(process(host, 2), heartbeat(2)),
        Presence::New
    );
    assert_eq!(
        membership.heartbeat(process(host, 2), heartbeat(3)),
        Presence::Known
    );
    let now = Duration::from_secs(4);
    assert_eq!(membership.state(process(host, 1), now), State::Suspect);
    assert_eq!(membership.state(process(host, 2), now), State::Live);
    membership.forget(Duration::from_secs(122));
    assert_eq!(membership.members().count(), 1);
}

/// A process is paused for longer than any timeout, and then continues with its state intact.
#[test]
fn a_paused_process_comes_back_as_itself() {
    let process = process(HostKey::default(), 1);
    let mut membership = Membership::default();
    membership.heartbeat(process, heartbeat(1));
    let late = heartbeat(1 + GONE_AFTER.as_secs());
    assert_eq!(membership.heartbeat(process, late), Presence::Returned);
    assert_eq!(membership.state(process, late.last_heartbeat), State::Live);
}

#[test]
fn a_stopping_host_and_a_hint_both_mean_leaving() {
    let host = Directory::default().hosts.intern("bole-1");
    let mut membership = Membership::default();
    let stopping = Member {
        stopping: true,
        ..heartbeat(1)
    };
    membership.heartbeat(process(host, 1), stopping);
    let now = Duration::from_secs(1);
    assert_eq!(membership.state(process(host, 1), now), State::Leaving);
    membership.heartbeat(process(host, 2), heartbeat(1));
    membership.set_listed_hosts(BTreeMap::from([(host, Hint::Leaving)]));
    assert_eq!(membership.state(process(host, 2), now), State::Leaving);
}

#[test]
fn leases_have_lapsed_before_a_host_counts_as_gone() {
    assert!(GONE_AFTER > timing::LEASE_DURATION * 2);
}

/// An operator drains a server that the platform lists as leaving as well. Undoing the drain alone
/// must not send work to a server that is about to be switched off.
#[test]
fn a_server_returns_when_no_source_reports_it_as_leaving() {
    let mut directory = Directory::default();
    let (first, second) = (
        directory.servers.intern("bole-a"),
        directory.servers.intern("bole-b"),
    );
    let mut leaving = LeavingServers::default();
    assert!(leaving.replace(Reason::Operator, BTreeSet::from([first])));
    assert!(!leaving.replace(Reason::Operator, BTreeSet::from([first])));
    assert!(leaving.set_leaving(Reason::Server, first, true));
    assert!(leaving.set_leaving(Reason::Server, second, true));
    assert!(leaving.replace(Reason::Operator, BTreeSet::new()));
    assert_eq!(leaving.servers(), BTreeSet::from([first, second]));
    assert_eq!(leaving.reasons(first).collect::<Vec<_>>(), [Reason::Server]);
    assert!(leaving.set_leaving(Reason::Server, first, false));
    assert!(!leaving.set_leaving(Reason::Server, first, false));
    assert_eq!(leaving.servers(), BTreeSet::from([second]));
}
