//! The hosts at which this one reads the platform's feeds instead of at the store.

use std::net::SocketAddr;
use std::time::Duration;

use flamingopost_core::key::HostKey;
use flamingopost_core::quorum::LEASE_DURATION;

use super::{Fleet, rendezvous_hash};
use crate::codec::Codec;
use crate::feeds::StuckDetection;
use crate::platform::Peer;

/// A host at which feeds can be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Relay {
    /// The host.
    pub key: HostKey,
    /// Its name.
    pub host: String,
    /// Where it serves feeds.
    pub address: SocketAddr,
}

/// Returns the address at which the host with this message address serves feeds: at the next port.
///
/// ```
/// use flamingopost_proxy::fleet::feeds_address;
///
/// let messages = "10.1.0.8:7440".parse().expect("an address");
/// assert_eq!(feeds_address(messages).map(|it| it.port()), Some(7441));
/// ```
pub fn feeds_address(messages: SocketAddr) -> Option<SocketAddr> {
    let port = messages.port().checked_add(1)?;
    Some(SocketAddr::new(messages.ip(), port))
}

/// Returns the place of elector `peer` in the order in which `host` in `zone` asks electors: those
/// of its own zone first, and within a zone by hash, so that the hosts of a zone spread over its
/// electors. Lower comes first.
pub fn relay_order(host: &str, zone: &str, peer: &Peer) -> (bool, u64) {
    let is_other_zone = peer.zone != zone;
    // The name of the elector comes last, since the last bytes decide between similar names.
    let place = rendezvous_hash(&format!("{host}/feeds/"), &peer.host);
    (is_other_zone, place)
}

impl<C: Codec> Fleet<C> {
    /// Returns the hosts at which this one may read feeds, in order of preference: the electors in
    /// contact. Returns none if this host reads the store itself, because the fleet is small, it is
    /// an elector, or it is not in contact with a majority of the electors.
    pub fn relays(&self) -> Vec<Relay> {
        if self.stuck_detection() == StuckDetection::Local {
            return Vec::new();
        }
        let now = self.site.now();
        let mut relays: Vec<((bool, u64), Relay)> = Vec::new();
        for (key, peer) in self.electors.borrow().iter() {
            let Some(address) = feeds_address(peer.address) else {
                continue;
            };
            if self.is_in_contact(*key, now) {
                let order = relay_order(&self.site.host, &self.site.zone, peer);
                let host = peer.host.clone();
                relays.push((
                    order,
                    Relay {
                        key: *key,
                        host,
                        address,
                    },
                ));
            }
        }
        relays.sort_by_key(|(order, _)| *order);
        relays.into_iter().map(|(_, relay)| relay).collect()
    }

    /// Reports whether this host would read feeds at electors if it were in contact with them.
    pub fn lacks_electors(&self) -> bool {
        let quorum = self.quorum.borrow();
        !self.is_small() && !quorum.is_elector() && !quorum.holds_lease(self.site.now())
    }

    /// Reports whether `host` has answered a recent heartbeat.
    fn is_in_contact(&self, host: HostKey, now: Duration) -> bool {
        let answered = self.quorum.borrow().answered_at(host);
        answered.is_some_and(|at| now < at + LEASE_DURATION)
    }

    /// Cancels calls to hosts that are no longer in contact.
    pub(super) fn check_asked_hosts(&self) {
        let feeds = &self.feeds;
        let followers = [&feeds.configuration, &feeds.backends, &feeds.peers];
        if followers.iter().all(|it| it.asked_host.get().is_none()) {
            return;
        }
        let relays: Vec<HostKey> = self.relays().iter().map(|relay| relay.key).collect();
        for follower in followers {
            follower.check_asked_host(&relays);
        }
    }
}
