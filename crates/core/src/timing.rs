//! Times that leadership rests on. `docs/design/LEADERSHIP.md` adds them up.

use std::time::Duration;

/// Longest write lease, counted from the moment its renewal was sent.
pub const LEASE_DURATION: Duration = Duration::from_millis(2_500);

/// How often an entry host renews its leases. It also renews at once when a backend server
/// becomes unreachable, so that the controller learns of it without waiting for the next turn.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);

/// How long a read of the shard's row gives authority, counted from its sending. A successor
/// waits this long after it has set the row.
pub const AUTHORITY_DURATION: Duration = Duration::from_millis(2_500);

/// How often a controller and its standbys read the row.
pub const ROW_READ_INTERVAL: Duration = Duration::from_millis(500);

/// How often other hosts read it, to learn of a new controller.
pub const ROW_READ_INTERVAL_OTHERS: Duration = Duration::from_secs(2);

/// How old the last successful read has to be before a controller asks for promises.
pub const ROW_READ_OVERDUE: Duration = Duration::from_millis(900);

/// How long a table write may be unanswered before standbys are asked to keep the row instead.
pub const ROW_WRITE_OVERDUE: Duration = Duration::from_millis(300);

/// How long a named standby promises not to claim.
pub const PROMISE_DURATION: Duration = Duration::from_millis(2_500);

/// How often a controller tells its standbys that it is there.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// How often a message without an answer is sent again while a promotion waits for it.
pub const RESEND_INTERVAL: Duration = Duration::from_millis(100);

/// Silence of a controller after which the first named standby claims.
pub const CONTROLLER_TIMEOUT: Duration = Duration::from_millis(1_200);

/// How much longer each further standby waits, so that two do not race.
pub const STANDBY_STAGGER: Duration = Duration::from_millis(700);

/// Silence of a standby after which the controller names another.
pub const STANDBY_TIMEOUT: Duration = Duration::from_secs(4);

/// Standbys that a controller names, in other zones than its own where there are any.
pub const STANDBY_COUNT: usize = 2;

/// How long a shard's row has to stay unchanged before a host that it does not name claims; also
/// how long a controller goes on by promises alone after its last write.
pub const ORPHAN_TIMEOUT: Duration = Duration::from_secs(2 * 60 * 60);

/// The same where the row names no standby: nobody can promise, so nothing else has to lapse.
pub const ORPHAN_TIMEOUT_NO_STANDBY: Duration = Duration::from_secs(10);

/// How often a controller writes its row though nothing changed, so that [`ORPHAN_TIMEOUT`] never passes
/// while it lives.
pub const ROW_REFRESH_INTERVAL: Duration = Duration::from_secs(10 * 60);

/// The same where the row names no standby.
pub const ROW_REFRESH_INTERVAL_NO_STANDBY: Duration = Duration::from_secs(3);

/// How often a controller asks each backend server of its shard about itself.
pub const STATUS_INTERVAL: Duration = Duration::from_secs(2);

/// How long a promotion waits for servers that have not answered, once one could be promoted.
pub const GATHER_TIMEOUT: Duration = Duration::from_millis(300);

/// How long a successor that nobody can tell what happened before waits for servers that do not
/// answer: one of them may lead a term that only lost memories knew of.
pub const UNKNOWN_HISTORY_WAIT: Duration = Duration::from_secs(10);

/// How long a promotion waits for a replica to get the last acknowledged write.
pub const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long nothing may move on any server before that wait ends early, where all have answered
/// and the old primary is gone. Replication that still runs moves more often.
pub const REPLICATION_IDLE: Duration = Duration::from_millis(200);

/// How long a planned switchover waits, which gives up rather than lose anything.
pub const SWITCHOVER_CATCH_UP_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a promotion waits for one server to confirm before it takes another.
pub const CONFIRM_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Silence of a server that refuses or breaks connections after which a host counts as unable to
/// reach it.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_millis(600);

/// The same for a server that is merely silent, which a slow one is as well.
pub const SILENT_SUSPICION_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Age at which a host's report no longer counts.
pub const REPORT_MAX_AGE: Duration = Duration::from_millis(1_600);

/// How long the hosts of a single zone must have been the only ones heard before their word is
/// enough.
pub const SINGLE_ZONE_WAIT: Duration = Duration::from_secs(3);

/// Least time from one promotion of a service to the next that suspicion starts; it doubles with
/// each promotion that follows soon.
pub const COOL_DOWN: Duration = Duration::from_secs(3);

/// Where the doubling of [`COOL_DOWN`] ends.
pub const COOL_DOWN_MAX: Duration = Duration::from_secs(5 * 60);

/// Clocks of two machines gain or lose less than one part in this many against each other.
const DRIFT_DIVISOR: u32 = 64;

/// `span` as its holder may count it, shortened so that a clock that runs slow does not make it
/// outlast the same span counted in full by the process that gave it.
///
/// ```
/// use std::time::Duration;
/// use flamingopost_core::timing;
///
/// assert_eq!(timing::less_drift(Duration::from_secs(64)), Duration::from_secs(63));
/// ```
pub fn less_drift(span: Duration) -> Duration {
    span - span / DRIFT_DIVISOR
}
