//! Log events of the pooled data path. Numbers: 5000-5099 platform, configuration and lists,
//! 5100-5199 servers and leadership, 5200-5299 requests, 5300-5399 shutdown and settings.

flamingopost_daemon::events! {
    /// Events of the pooled data path.
    pub enum Event {
        /// configuration version {version} in force after {before}, {routes} routes, read in {millis} ms
        5000 Info Adopted { version: u64, before: u64, routes: usize, millis: u128 },
        /// platform unavailable for {what}: {error}; called {called} ms ago, last answer {silent} ms ago
        5001 Warn StoreLost { what: &'static str, error: String, called: u128, silent: u128 },
        /// platform available again for {what} after {millis} ms, {calls} calls failed
        5002 Info StoreBack { what: &'static str, millis: u128, calls: u32 },
        /// platform no longer has the change history of {what}, reading all of it
        5003 Info HistoryGone { what: &'static str },
        /// feed of {what} is stuck: other hosts have read newer changes, reading all of it
        5004 Warn FeedStuck { what: &'static str },
        /// call waiting for changes of {what} cancelled and repeated: {doubt}
        5005 Info FeedDoubted { what: &'static str, doubt: String },
        /// platform's store restored from a copy, epoch {epoch} after {before}; known here: configuration version {version}, {servers} servers, {hosts} other hosts
        5006 Warn StoreRestored { before: u64, epoch: u64, version: u64, servers: usize, hosts: usize },
        /// {service}: server {server} is in the restored list but was dropped before: ignored until it rewrites its entry
        5007 Warn CopyIgnored { service: String, server: String },
        /// claim of change {attempt} of {service} written after the change: {outcome}
        5008 Info ClaimRewritten { service: String, attempt: u64, outcome: String },
        /// claims in the store verified to be complete in epoch {epoch}: {outcome}
        5009 Info ClaimsVerified { epoch: u64, outcome: String },
        /// {service}: server {server} listed at {address} as {role:?}, leaving: {leaving}, revision {revision}
        5010 Info Listed { service: String, server: String, address: std::net::SocketAddr, role: flamingopost_core::leader::Role, leaving: bool, revision: crate::platform::Revision },
        /// {service}: server {server} no longer listed, dropped after {millis} ms
        5011 Info Unlisted { service: String, server: String, millis: u128 },
        /// entry host {host} in {zone} answers at {address}
        5012 Info PeerListed { host: String, zone: String, address: std::net::SocketAddr },
        /// entry host {host} has withdrawn
        5013 Info PeerGone { host: String },
        /// this host is announced, token {token}
        5014 Info Announced { token: u64 },
        /// entry {id} of {table} cannot be used: {fault}; revision {revision}
        5015 Warn Spoilt { table: &'static str, id: String, fault: String, revision: crate::platform::Revision },
        /// configuration version {version} is refused and version {kept} stays in force: {fault}; revision {revision}
        5016 Error ConfigurationRefused { version: String, kept: u64, fault: String, revision: crate::platform::Revision },
        /// {service}: server {server} restarted, at {after} after {before} (Unix ms): its former state is dropped
        5017 Warn Restarted { service: String, server: String, before: u64, after: u64 },
        /// {service}: entry of a former incarnation of server {server} ignored: started at {former}, the newest at {newest} (Unix ms)
        5018 Warn FormerStart { service: String, server: String, former: u64, newest: u64 },
        /// {what} is read at {from} from now on
        5019 Info FeedSource { what: &'static str, from: String },
        /// {what} was not read at {host}: {why}
        5020 Info FeedUnrelayed { what: &'static str, host: String, why: String },
        /// {puts} entry hosts listed at once, {hosts} others known now
        5022 Info PeersListed { puts: usize, hosts: usize },
        /// electorate {number}, formation {formation}, adopted: a majority of {electors} decides, and one of those before: {former}; {why}
        5023 Info ElectorateAdopted { number: String, formation: u64, electors: String, former: String, why: String },
        /// {service}: claim of change {attempt} settled, because {how}: {outcome}
        5024 Info ClaimSettled { service: String, attempt: u64, how: String, outcome: String },
        /// {service}: {after} leads after {before}; the previous state lasted {millis} ms
        5100 Info Leads { service: String, after: String, before: String, millis: u128 },
        /// {service}: cannot connect to server {server}: {error}; {connections} connections open on this host, {waiting} requests waiting
        5101 Warn Unconnected { service: String, server: String, error: String, connections: u16, waiting: usize },
        /// {service}: server {server} claims to be primary at {position}, but the log was seen to reach {furthest}: not trusted
        5102 Warn LogLost { service: String, server: String, position: flamingopost_core::position::Position, furthest: flamingopost_core::position::Position },
        /// {service}: server {server} claims to be primary at {position} with an empty log, but {evidence}: not trusted
        5103 Warn LogEmpty { service: String, server: String, position: flamingopost_core::position::Position, evidence: &'static str },
        /// {service}: primary suspected ({trouble:?}), querying {hosts} hosts and {servers} servers
        5110 Warn Suspected { service: String, trouble: flamingopost_core::succession::Trouble, hosts: usize, servers: usize },
        /// {service}: claim of change {attempt}: {outcome}
        5111 Info Claimed { service: String, attempt: u64, outcome: String },
        /// {service}: ordered {server} to lead under token {token}: {outcome}, {millis} ms
        5112 Warn Ordered { service: String, server: String, token: u64, outcome: String, millis: u128 },
        /// {service}: host {host} reports that it replaces the primary
        5113 Info OtherActs { service: String, host: String },
        /// {service}: promoting {server}, {millis} ms after the end of the term was announced to hosts {hosts}: {basis}; longest log {longest}, and {ground}; electorate {electorate}
        5114 Info Rests { service: String, server: String, millis: u128, hosts: String, basis: String, longest: String, ground: String, electorate: String },
        /// {service}: statements for the primary are no longer held after {millis} ms: {why}
        5115 Info HoldEnded { service: String, why: &'static str, millis: u128 },
        /// {service}: write {id} was acknowledged at {position} while the primary is being replaced
        5116 Warn AcknowledgedDuring { service: String, id: String, position: String },
        /// {service}: server {server} was told to step down for term {term} and is now {role:?}
        5117 Info SteppedDown { service: String, server: String, term: i64, role: flamingopost_core::leader::Role },
        /// this host's lease is {outcome}, the previous state lasted {millis} ms; in contact with {heard} of {hosts} hosts; electorate {electorate}, renewed {renewed:?} ms ago
        5118 Warn Lease { outcome: &'static str, millis: u128, heard: usize, hosts: usize, electorate: String, renewed: Option<u128> },
        /// {service}: order of {server} under token {token} withheld: another host announces one with a higher token
        5119 Info TurnGivenUp { service: String, server: String, token: u64 },
        /// {service}: recorded in the platform's store as written to: {outcome}
        5120 Info Recorded { service: String, outcome: String },
        /// {service}: the primary of term {term} may have been replaced by an order that no host has reported: requests for the primary are held, and its servers are asked
        5121 Warn OrderUnheard { service: String, term: i64 },
        /// {service}: the primary of term {term} {outcome}, after a search of {millis} ms for an order that no host has reported
        5122 Warn OrderSearched { service: String, term: i64, outcome: String, millis: u128 },
        /// {service}: primary {server} ordered to lead under token {token}, because nobody can tell whether it was replaced: {outcome}
        5123 Warn PrimaryReordered { service: String, server: String, token: u64, outcome: String },
        /// {service}: a leaving primary is no longer used, {millis} ms after this host learned of the end of its term: {why}
        5124 Info HandoverEnded { service: String, why: &'static str, millis: u128 },
        /// {service}: order of {server} under token {token} withheld: this host does not hold its claim any more, or cannot tell
        5125 Warn ClaimLost { service: String, server: String, token: u64 },
        /// {service}: the leaving primary {server} was asked to step down, because too few hosts confirm the end of its term
        5126 Warn StepDownForced { service: String, server: String },
        /// {service}: an order of {server} to replace the primary of term {term} may still be carried out: the primary is used as long as that server says that it follows
        5127 Warn OrderOpen { service: String, server: String, term: i64 },
        /// request {id} for {database} answered with {reason}, waited {millis} ms, leader {leader}, version {version}
        5200 Warn Refused { id: String, database: String, reason: String, millis: u128, leader: String, version: u64 },
        /// request {id} for {database} retried: {reason} at {server}, attempt {attempt} after {millis} ms
        5201 Info Retried { id: String, database: String, reason: String, server: String, attempt: u8, millis: u128 },
        /// request {id} for {database} in doubt: {reason} at {server} after {millis} ms
        5202 Error InDoubt { id: String, database: String, reason: String, server: String, millis: u128 },
        /// request {id} for {database}: its transaction at {server} is lost: {reason}
        5203 Warn TransactionLost { id: String, database: String, server: String, reason: String },
        /// caller sent a message that cannot be decoded: {error}
        5204 Warn BadCaller { error: String },
        /// request {id} for {database} got no answer from the host that serves it: {error} after {millis} ms
        5205 Warn RelayLost { id: String, database: String, error: String, millis: u128 },
        /// request {id} for {database} read at {server} without a lease: all other servers, queried {millis} ms before, follow it
        5206 Info ReadConfirmed { id: String, database: String, server: String, millis: u128 },
        /// session for {database} refused: no team has the API key with digest {digest}, version {version}
        5207 Warn KeyRefused { database: String, digest: String, version: u64 },
        /// request {id} for {database} refused: team {team} may ask {rate} operations per second and {burst} at once; share here {share:.1}, grantor's last answer {answered:?} ms ago, retry after {millis} ms, version {version}
        5208 Warn LimitReached { id: String, database: String, team: String, rate: u32, burst: u32, share: f64, answered: Option<u128>, millis: u128, version: u64 },
        /// {count} more lines of event {event} suppressed within a second
        5290 Warn Suppressed { event: u16, count: u64 },
        /// settings file changed: {outcome}
        5300 Info Reloaded { outcome: String },
        /// {sessions} sessions cut off at shutdown
        5301 Info Ended { sessions: usize },
        /// no connection accepted for {name}, {count} attempts since the last such line: {error}
        5310 Warn NotAccepted { name: &'static str, count: u64, error: String },
    }
}

/// Maximum number of lines per second of one event. Further ones are only counted. This limits the
/// cost of logging while everything fails at once.
const MAX_LINES_PER_SECOND: u64 = 20;

/// Limits the volume of repeated events.
#[derive(Debug, Default)]
pub struct LogLimit {
    second: std::cell::Cell<u64>,
    counts: std::cell::RefCell<std::collections::BTreeMap<u16, u64>>,
}

impl LogLimit {
    /// Writes `event`, unless too many events of its kind were written in the second of `now`.
    pub fn log(&self, event: &Event, now: std::time::Duration) {
        use flamingopost_daemon::event::Event as _;
        if self.second.replace(now.as_secs()) != now.as_secs() {
            self.log_suppressed();
        }
        let kind = event.kind().number;
        let mut counts = self.counts.borrow_mut();
        let count = counts.entry(kind).or_default();
        *count += 1;
        if *count <= MAX_LINES_PER_SECOND {
            event.log();
        }
    }

    /// Logs how many lines of each event were suppressed in the past second.
    fn log_suppressed(&self) {
        use flamingopost_daemon::event::Event as _;
        let counts = std::mem::take(&mut *self.counts.borrow_mut());
        for (event, count) in counts {
            if let Some(count) = count
                .checked_sub(MAX_LINES_PER_SECOND)
                .filter(|more| *more > 0)
            {
                Event::Suppressed { event, count }.log();
            }
        }
    }
}
