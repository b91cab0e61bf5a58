//! Numbered log events.
//!
//! Ranges of numbers: daemon 100-199, entry 1000-1999, control 2000-2999, stand-ins 3000-3999,
//! load 4000-4999, pooled data path 5000-5999. `docs/EVENTS.md` is the catalogue.

use std::fmt::Display;

use crate::log::Level;

/// Entry of the event catalogue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Kind {
    /// Number of the event. The meaning of a number never changes.
    pub number: u16,
    /// Severity of the event.
    pub level: Level,
    /// Message template, with field names in braces.
    pub message: &'static str,
}

/// An event that can be written to the log.
pub trait Event: Display {
    /// Returns the event's entry in the catalogue.
    fn kind(&self) -> Kind;

    /// Writes the event to the log.
    fn log(&self) {
        let kind = self.kind();
        spdlog::log!(kind.level.into(), "{}", self, kv: { event = kind.number });
    }
}

/// Defines an enum of events whose messages are the doc comments of its variants.
///
/// The associated constant `ALL` holds the enum's part of the event catalogue.
///
/// ```
/// use flamingopost_daemon::event::Event as _;
///
/// flamingopost_daemon::events! {
///     /// Events of a bakery.
///     pub enum Event {
///         /// oven reached {degrees} degrees
///         4990 Info Hot { degrees: u32 },
///         /// out of flour
///         4991 Error Empty,
///     }
/// }
///
/// let event = Event::Hot { degrees: 230 };
/// assert_eq!(event.to_string(), "oven reached 230 degrees");
/// assert_eq!(event.kind().number, 4990);
/// assert_eq!(Event::ALL.len(), 2);
/// event.log();
/// ```
#[macro_export]
macro_rules! events {
    (
        $(#[$outer:meta])*
        $vis:vis enum $name:ident {
            $(
                #[doc = $message:tt]
                $number:literal $level:ident $variant:ident
                $({ $($field:ident : $kind:ty),* $(,)? })?
            ),* $(,)?
        }
    ) => {
        $(#[$outer])*
        #[derive(Debug, ::displaydoc::Display)]
        #[allow(missing_docs)]
        $vis enum $name {
            $(
                #[doc = $message]
                $variant $({ $($field: $kind),* })?,
            )*
        }

        impl $name {
            /// All events, for the catalogue.
            pub const ALL: &'static [$crate::event::Kind] = &[
                $($crate::event::Kind {
                    number: $number,
                    level: $crate::log::Level::$level,
                    message: $message,
                },)*
            ];
        }

        impl $crate::event::Event for $name {
            fn kind(&self) -> $crate::event::Kind {
                match self {
                    $(
                        $name::$variant { .. } => $crate::event::Kind {
                            number: $number,
                            level: $crate::log::Level::$level,
                            message: $message,
                        },
                    )*
                }
            }
        }
    };
}

events! {
    /// Events common to all daemons.
    pub enum Daemon {
        /// {daemon} {version} is starting as host {host} in zone {zone}
        100 Info Started { daemon: &'static str, version: &'static str, host: String, zone: String },
        /// {daemon} is draining: it accepts no new work and finishes work in progress
        101 Info Draining { daemon: &'static str },
        /// {daemon} has stopped
        102 Info Stopped { daemon: &'static str },
        /// {daemon} failed: {error}
        103 Critical Failed { daemon: &'static str, error: String },
        /// {daemon} {version} runs as process {process}
        104 Info Began { daemon: &'static str, version: &'static str, process: u32 },
        /// settings rejected: {problem}
        105 Critical SettingsRejected { problem: String },
        /// task {task} panicked at {place}: {cause}
        106 Critical Panicked { task: &'static str, place: String, cause: String },
        /// stack of the panic of task {task}: {stack}
        107 Error PanicStack { task: &'static str, stack: String },
        /// address {address} for {purpose} is not available after {millis} ms, trying again: {error}
        108 Error AddressUnavailable { address: std::net::SocketAddr, purpose: &'static str, millis: u128, error: String },
        /// address {address} for {purpose} is available after {millis} ms
        109 Info AddressAvailable { address: std::net::SocketAddr, purpose: &'static str, millis: u128 },
        /// operator HTTP server is listening on {address}
        110 Info Listening { address: std::net::SocketAddr },
        /// operator request to {path} rejected: token missing or wrong
        111 Warn Unauthorized { path: String },
        /// file descriptors are used up after {millis} ms, the start waits for them: {error}
        112 Error NoDescriptors { millis: u128, error: String },
        /// the settings changed before {daemon} served: it starts with the new ones
        113 Info SettingsAdopted { daemon: &'static str },
        /// setting ignored: {problem}
        114 Warn SettingIgnored { problem: String },
        /// task {task} ended: {end}; it starts again in {millis} ms
        116 Error TaskEnded { task: &'static str, end: crate::task::End, millis: u128 },
        /// invariant {invariant} has been violated {count} times
        120 Critical Violated { invariant: String, count: u64 },
    }
}
