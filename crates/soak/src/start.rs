//! What goes wrong while a host starts.

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;

use crate::process::Settings;

/// Maximum number of SIGHUPs during one start.
const MAX_RELOADS: u32 = 5;

/// A start of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Start {
    /// How the settings are written.
    pub form: Form,
    /// How the settings get to the host.
    pub delivery: Delivery,
    /// A port of the host that is in use as it starts.
    pub occupied: Option<Occupied>,
    /// Number of SIGHUPs, the first one as soon as the host reads its settings or has logged.
    pub reloads: u32,
    /// Time between two of them.
    pub pause: Duration,
    /// Whether SIGTERM follows them.
    pub stopped: bool,
}

/// How the settings of a host are written. All forms have the same meaning.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Form {
    /// Whether the section of the platform comes first.
    pub reversed: bool,
    /// Whether optional values are present and empty.
    pub empty: bool,
    /// How times are written.
    pub times: Times,
}

/// How times are written in settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Times {
    /// Whole milliseconds.
    Whole,
    /// Milliseconds as a fraction.
    Fraction,
    /// Seconds as a fraction.
    Seconds,
}

/// How the settings get to a host that starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// The file is complete before the host starts.
    Whole,
    /// The file lacks its end as the host starts.
    Pieces(Cut),
    /// The file is a FIFO, so that the host waits for its settings.
    Pipe(Cut),
}

/// Where and for how long a settings file ends early.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cut {
    /// Size of the first piece, in thousandths of what can be lacked without a valid file being left.
    pub size: usize,
    /// Time until the rest follows.
    pub pause: Duration,
}

/// A port that is in use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Occupied {
    /// Which port.
    pub port: Port,
    /// What uses it.
    pub by: Occupant,
    /// Time from the start of the host until it is free.
    pub lasts: Duration,
}

/// A port of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Port {
    /// For callers.
    Callers,
    /// For health checks.
    Probe,
    /// For datagrams of other hosts.
    Messages,
    /// For sessions of other hosts.
    Sessions,
    /// For feeds that other hosts read.
    Feeds,
    /// For metrics.
    Metrics,
}

/// What uses a port for connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Occupant {
    /// A listener.
    Listener,
    /// A connection whose local port it is.
    Connection,
}

impl Start {
    /// Draws what goes wrong at a start.
    pub(crate) fn draw(rng: &mut ChaCha8Rng) -> Start {
        let form = Form::draw(rng);
        let delivery = match rng.random_range(0..10) {
            0..=3 => Delivery::Whole,
            4..=6 => Delivery::Pieces(Cut::draw(rng)),
            _ => Delivery::Pipe(Cut::draw(rng)),
        };
        let reloads = rng.random_range(0..=MAX_RELOADS);
        Start {
            form,
            delivery,
            occupied: Occupied::draw(rng),
            reloads,
            pause: Duration::from_millis(rng.random_range(0..=40)),
            stopped: rng.random_bool(0.15),
        }
    }
}

impl Form {
    pub(crate) fn draw(rng: &mut ChaCha8Rng) -> Form {
        Form {
            reversed: rng.random_bool(0.5),
            empty: rng.random_bool(0.2),
            times: match rng.random_range(0..10) {
                0..=7 => Times::Whole,
                8 => Times::Fraction,
                _ => Times::Seconds,
            },
        }
    }

    /// Returns the content of the settings file. Its last line is required: without it the file is
    /// not valid.
    pub fn text(&self, settings: &Settings, metrics: SocketAddr) -> String {
        let Settings {
            name,
            zone,
            callers,
            probe,
            peers,
            announced,
            store,
            orders,
            grace,
            ..
        } = settings;
        let (ip, port, metrics) = (peers.ip(), peers.port(), metrics.port());
        let grace = match self.times {
            Times::Whole => format!("{}ms", grace.as_millis()),
            Times::Fraction => format!("{}.0ms", grace.as_millis()),
            Times::Seconds => format!("{:.1}s", grace.as_secs_f64()),
        };
        let empty = match self.empty {
            true => "descriptors = \nprocessors = \n",
            false => "",
        };
        let host = format!(
            "[host]\nname = {name}\nzone = {zone}\nip = {ip}\n{empty}grace = {grace}\n\
             callers = {callers}\nprobe = {probe}\nannounced = {announced}\nmetrics = {metrics}\n\
             ports = {port}\n"
        );
        let platform = format!("[platform]\nstore = {store}\norders = {orders}\n");
        match self.reversed {
            true => format!("{platform}\n{host}"),
            false => format!("{host}\n{platform}"),
        }
    }
}

impl Cut {
    pub(crate) fn draw(rng: &mut ChaCha8Rng) -> Cut {
        Cut {
            size: rng.random_range(0..=1_000),
            pause: Duration::from_millis(rng.random_range(10..=300)),
        }
    }

    /// Splits `text` before its last line or earlier. Within the last line, a shorter number could be
    /// left that is valid as well.
    ///
    /// ```
    /// use std::time::Duration;
    /// use flamingopost_soak::start::Cut;
    ///
    /// let cut = Cut { size: 500, pause: Duration::ZERO };
    /// assert_eq!(cut.split("four\nports = 10\n"), ("fo", "ur\nports = 10\n"));
    /// ```
    pub fn split(self, text: &str) -> (&str, &str) {
        let last = text.trim_end().rfind('\n').unwrap_or_default();
        text.split_at(last * self.size / 1_000)
    }
}

impl Occupied {
    fn draw(rng: &mut ChaCha8Rng) -> Option<Occupied> {
        let occupied = Occupied {
            port: match rng.random_range(0..6) {
                0 => Port::Callers,
                1 => Port::Probe,
                2 => Port::Messages,
                3 => Port::Sessions,
                4 => Port::Feeds,
                _ => Port::Metrics,
            },
            by: match rng.random_bool(0.5) {
                true => Occupant::Listener,
                false => Occupant::Connection,
            },
            lasts: Duration::from_millis(rng.random_range(200..=3_000)),
        };
        rng.random_bool(0.4).then_some(occupied)
    }
}
