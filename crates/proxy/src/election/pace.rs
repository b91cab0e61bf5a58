//! How often a host does the periodic work for one service.

use std::time::Duration;

/// Number of hosts that follow a service closely even if they do not serve it. They are the first
/// ones to act when its primary has to be replaced.
pub(super) const FREQUENT_HOSTS: u32 = 9;

/// Intervals of the periodic work for one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Pace {
    /// Interval between two steps of the state machine while the primary is healthy.
    pub idle_step: Duration,
    /// Interval between two status queries to all servers while the service has no primary.
    pub search: Duration,
    /// Interval between two connection shortage reports. Each report is in effect for one second.
    pub shortage_report: Duration,
}

impl Pace {
    /// The pace of a host that serves the service, has requests for it, or is one of the
    /// [`FREQUENT_HOSTS`].
    pub const INVOLVED: Pace = Pace {
        idle_step: Duration::from_millis(100),
        search: Duration::from_millis(120),
        shortage_report: Duration::from_millis(200),
    };

    /// The pace of the other hosts, whose number grows with the fleet. A change of the service's
    /// state ends the pause between two steps.
    ///
    /// Each search connects to all servers of the service. At the pace of the involved hosts, each
    /// server would have to accept 2,500 connections per second from 300 hosts for that.
    pub const BYSTANDER: Pace = Pace {
        idle_step: Duration::from_millis(300),
        search: Duration::from_millis(1_000),
        shortage_report: Duration::from_millis(1_000),
    };
}
