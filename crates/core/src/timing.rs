//! Timeouts and intervals of leadership. `docs/design/LEADERSHIP.md` adds them up.

use std::time::Duration;

/// Longest duration of a write lease, counted from the sending of its renewal.
pub const LEASE_DURATION: Duration = Duration::from_millis(2_500);

/// How often an entry host renews its leases. It also renews at once when a backend server
/// becomes unreachable, so that the controller learns of it before the next interval ends.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);

/// How long a read of the shard's row gives a controller authority, counted from the sending of the
/// read. A successor waits this long after it has written the row.
pub const AUTHORITY_DURATION: Duration = Duration::from_millis(2_500);

/// How often a controller and its standbys read the row.
pub const ROW_READ_INTERVAL: Duration = Duration::from_millis(500);

/// How often other hosts read the row, to learn of a new controller.
pub const ROW_READ_INTERVAL_OTHERS: Duration = Duration::from_secs(2);

/// Age of the last successful read of the row after which a controller asks standbys for promises.
pub const ROW_READ_OVERDUE: Duration = Duration::from_millis(900);

/// How long a write of the row may be unanswered before standbys are asked to keep the row instead.
pub const ROW_WRITE_OVERDUE: Duration = Duration::from_millis(300);

/// How long a named standby promises not to claim the shard.
pub const PROMISE_DURATION: Duration = Duration::from_millis(2_500);

/// How often a controller sends a heartbeat to its standbys.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// How often a message without an answer is sent again while a promotion waits for it.
pub const RESEND_INTERVAL: Duration = Duration::from_millis(100);

/// Silence of a controller after which the first named standby claims the shard.
pub const CONTROLLER_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Additional wait of each further standby, so that two do not race.
pub const STANDBY_STAGGER: Duration = Duration::from_millis(700);

/// Silence of a standby after which the controller names another one.
pub const STANDBY_TIMEOUT: Duration = Duration::from_secs(4);

/// Number of standbys that a controller names, in other zones than its own if possible.
pub const STANDBY_COUNT: usize = 2;

/// How long a shard's row has to stay unchanged before a host that it does not name claims the
/// shard. It is also how long after its last write a controller keeps its authority by promises
/// alone.
pub const ORPHAN_TIMEOUT: Duration = Duration::from_secs(2 * 60 * 60);

/// [`ORPHAN_TIMEOUT`] of a row that names no standby: no host can give a promise, so no promise has
/// to expire.
pub const ORPHAN_TIMEOUT_NO_STANDBY: Duration = Duration::from_secs(10);

/// How often a controller writes its row although nothing has changed, so that [`ORPHAN_TIMEOUT`]
/// never expires while it is running.
pub const ROW_REFRESH_INTERVAL: Duration = Duration::from_secs(10 * 60);

/// [`ROW_REFRESH_INTERVAL`] of a row that names no standby.
pub const ROW_REFRESH_INTERVAL_NO_STANDBY: Duration = Duration::from_secs(3);

/// How often a controller asks each backend server of its shard for its status.
pub const STATUS_INTERVAL: Duration = Duration::from_secs(2);

/// How long a promotion waits for servers that have not answered, once one server could be
/// promoted.
pub const GATHER_TIMEOUT: Duration = Duration::from_millis(300);

/// How long a successor that cannot learn the earlier history from any host waits for servers that
/// do not answer. One of them may lead a term that is recorded nowhere else any more.
pub const UNKNOWN_HISTORY_WAIT: Duration = Duration::from_secs(10);

/// How long a promotion waits for a replica to receive the last acknowledged write.
pub const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time without progress on any server after which that wait ends early, if all servers have
/// answered and the old primary is gone. Replication that still runs makes progress more often.
pub const REPLICATION_IDLE: Duration = Duration::from_millis(200);

/// How long a planned switchover waits for a replica to catch up. It is aborted rather than lose a
/// write.
pub const SWITCHOVER_CATCH_UP_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a promotion waits for a server's confirmation before it takes another server.
pub const CONFIRM_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time without an answer from a server that refuses or breaks connections, after which a host
/// counts as unable to reach it.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_millis(600);

/// [`SUSPICION_TIMEOUT`] of a server that is merely silent, which may only be slow.
pub const SILENT_SUSPICION_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Age above which a host's report no longer counts.
pub const REPORT_MAX_AGE: Duration = Duration::from_millis(1_600);

/// How long hosts of a single zone must have been the only ones that report before their reports
/// suffice.
pub const SINGLE_ZONE_WAIT: Duration = Duration::from_secs(3);

/// Shortest time between two promotions of a service that are started by suspicion. It doubles with
/// each promotion that follows soon.
pub const COOL_DOWN: Duration = Duration::from_secs(3);

/// Greatest value to which [`COOL_DOWN`] doubles.
pub const COOL_DOWN_MAX: Duration = Duration::from_secs(5 * 60);

/// Divisor of the assumed clock drift: the clocks of two machines drift by less than one part in
/// this many against each other.
const DRIFT_DIVISOR: u32 = 64;

/// Returns `span` shortened by the greatest clock drift.
///
/// The holder of a lease counts the shortened span, so that it ends before the full span of the
/// process that granted it even if the holder's clock runs slow.
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
