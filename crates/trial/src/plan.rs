//! Which ports a trial uses and which hosts it has.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use flamingopost_core::config;
use flamingopost_core::directory::Directory;
use flamingopost_core::fleet::Fleet;

use crate::error::Error;

/// Tesfa's example, for a trial without a fleet file.
const EXAMPLE: &str = include_str!("../../../examples/tesfa.ini");

const EXAMPLE_PATH: &str = "examples/tesfa.ini";

const HOST_COUNT: usize = 3;

/// Where the ports of each kind begin, from the trial's first port on.
const FAULTS_OFFSET: u16 = 0;
const PLATFORM_OFFSET: u16 = 1;
const CALLERS_OFFSET: u16 = 32;
const ENTRY_ADMIN_OFFSET: u16 = 42;
const CONTROL_ADMIN_OFFSET: u16 = 52;
const ENTRY_RPC_OFFSET: u16 = 62;
const CONTROL_RPC_OFFSET: u16 = 72;

/// What a trial consists of.
#[derive(Debug)]
pub struct Plan {
    /// The configuration's text.
    pub text: String,
    /// Whether it is the built-in example, whose passwords are known.
    pub is_example: bool,
    /// The configuration.
    pub fleet: Fleet,
    /// Its names.
    pub names: Directory,
    /// Where faults are set.
    pub faults: SocketAddr,
    /// Where the platform listens.
    pub platform: SocketAddr,
    /// Its hosts.
    pub hosts: Vec<Host>,
}

/// One host with its two daemons.
#[derive(Debug, Clone)]
pub struct Host {
    /// Its name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Operators' address of its entry daemon.
    pub entry_admin: SocketAddr,
    /// Operators' address of its control daemon.
    pub control_admin: SocketAddr,
    /// Where its entry daemon takes remote calls, behind a relay.
    pub entry_rpc: SocketAddr,
    /// Where its control daemon takes remote calls, behind a relay.
    pub control_rpc: SocketAddr,
}

impl Plan {
    /// A plan for the fleet in `file`, or for the built-in example.
    ///
    /// # Errors
    /// A file that cannot be read, or that is wrong.
    pub fn new(file: Option<&Path>, first_port: u16) -> Result<Plan, Error> {
        let (name, text) = match file {
            Some(path) => (path.to_owned(), read(path)?),
            None => (PathBuf::from(EXAMPLE_PATH), EXAMPLE.to_owned()),
        };
        let mut names = Directory::default();
        let fleet =
            config::parse(&name.display().to_string(), &text, &mut names).map_err(Error::Config)?;
        let hosts = hosts(&fleet, &names, first_port)?;
        Ok(Plan {
            text,
            is_example: file.is_none(),
            fleet,
            names,
            faults: loopback(first_port + FAULTS_OFFSET),
            platform: loopback(first_port + PLATFORM_OFFSET),
            hosts,
        })
    }
}

fn read(path: &Path) -> Result<String, Error> {
    std::fs::read_to_string(path).map_err(|error| Error::ReadFleet(path.to_owned(), error))
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Hosts spread over the fleet's zones.
fn hosts(fleet: &Fleet, names: &Directory, first_port: u16) -> Result<Vec<Host>, Error> {
    let zones: Vec<&str> = fleet
        .zones
        .keys()
        .filter_map(|zone| names.zones.name(*zone))
        .collect();
    if zones.is_empty() {
        return Err(Error::NoZones);
    }
    let host = |number: usize| {
        let zone = zones[number % zones.len()].to_owned();
        let port = first_port + number as u16;
        Host {
            name: format!("{zone}-entry-{}", number + 1),
            zone,
            callers: loopback(port + CALLERS_OFFSET),
            entry_admin: loopback(port + ENTRY_ADMIN_OFFSET),
            control_admin: loopback(port + CONTROL_ADMIN_OFFSET),
            entry_rpc: loopback(port + ENTRY_RPC_OFFSET),
            control_rpc: loopback(port + CONTROL_RPC_OFFSET),
        }
    };
    Ok((0..HOST_COUNT).map(host).collect())
}
