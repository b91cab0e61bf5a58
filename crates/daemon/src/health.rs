//! Readiness of a daemon, for the platform's load balancer.

/// Whether a daemon should receive traffic.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum Readiness {
    /// ready
    Ready,
    /// no configuration yet
    NoConfiguration,
    /// no controller has granted a lease and nothing can be read
    NoLease,
    /// draining
    Draining,
}

/// Source of a daemon's readiness.
pub trait Probe: Send + Sync {
    /// Returns the current readiness.
    fn readiness(&self) -> Readiness;
}
