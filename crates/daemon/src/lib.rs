//! What flamingopost daemons share: settings, clock, events, metrics, health.
