//! Numbered events: what daemons log.
//!
//! Numbers: daemon 100-199, entry 1000-1999, control 2000-2999, stand-ins 3000-3999,
//! load 4000-4999, pooled data path 5000-5999. `docs/EVENTS.md` is the catalogue.

use std::fmt::Display;

use crate::log::Level;

/// An entry of the catalogue of events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Kind {
    /// Its number, which never changes its meaning.
    pub number: u16,
    /// Its level.
    pub level: Level,
    /// Its message, with the names of its fields in braces.
    pub message: &'static str,
}

/// Something worth a line in the log.
pub trait Event: Display {
    /// Its entry in the catalogue.
    fn kind(&self) -> Kind;

    /// Writes it to the log.
    fn log(&self) {
        let kind = self.kind();
        spdlog::log!(kind.level.into(), "{}", self, kv: { event = kind.number });
    }
}

/// Defines an enum of events, with messages as doc comments, and `ALL`, its part of the catalogue.
///
/// ```
/// use flamingopost_daemon::event::Event as _;
///
/// flamingopost_daemon::events! {
///     /// What the bakery logs.
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
            /// Every event, for the catalogue.
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
    /// Events that every daemon may log.
    pub enum Daemon {
        /// {daemon} {version} starts as {host} in {zone}
        100 Info Started { daemon: &'static str, version: &'static str, host: String, zone: String },
        /// {daemon} drains: it takes nothing new and finishes what runs
        101 Info Draining { daemon: &'static str },
        /// {daemon} has stopped
        102 Info Stopped { daemon: &'static str },
        /// {daemon} cannot go on: {error}
        103 Critical Failed { daemon: &'static str, error: String },
        /// operators' HTTP listens on {address}
        110 Info Listening { address: std::net::SocketAddr },
        /// operator request to {path} refused: no or a wrong token
        111 Warn Unauthorized { path: String },
        /// invariant {invariant} was found violated {count} times
        120 Critical Violated { invariant: String, count: u64 },
    }
}
