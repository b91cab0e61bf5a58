//! The plan of a trial: its configuration, hosts and ports.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use flamingopost_core::config;
use flamingopost_core::directory::Directory;
use flamingopost_core::fleet::Fleet;

use crate::error::Error;

/// Tesfa's example, the default configuration of a trial that is started without a fleet file.
const EXAMPLE: &str = include_str!("../../../examples/tesfa.ini");

/// Path of the example, as error messages show it.
const EXAMPLE_PATH: &str = "examples/tesfa.ini";

/// Number of hosts of a trial.
const HOST_COUNT: usize = 3;

// Offsets of the first port of each kind from the trial's first port. Each host adds its number.
const FAULTS_OFFSET: u16 = 0;
const PLATFORM_OFFSET: u16 = 1;
const CALLERS_OFFSET: u16 = 32;
const ENTRY_ADMIN_OFFSET: u16 = 42;
const CONTROL_ADMIN_OFFSET: u16 = 52;
const ENTRY_RPC_OFFSET: u16 = 62;
const CONTROL_RPC_OFFSET: u16 = 72;

/// The configuration, addresses and hosts of a trial.
#[derive(Debug)]
pub struct Plan {
    /// Text of the configuration.
    pub text: String,
    /// Whether the configuration is the built-in example, whose passwords are known.
    pub is_example: bool,
    /// The parsed configuration.
    pub fleet: Fleet,
    /// Names of the configuration's keys.
    pub names: Directory,
    /// Address of the panel that sets faults.
    pub faults: SocketAddr,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Hosts, spread over the availability zones.
    pub hosts: Vec<Host>,
}

/// Names and addresses of one host and its two daemons.
#[derive(Debug, Clone)]
pub struct Host {
    /// Name of the host.
    pub name: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Operators' address of the entry daemon.
    pub entry_admin: SocketAddr,
    /// Operators' address of the control daemon.
    pub control_admin: SocketAddr,
    /// RPC address of the entry daemon, behind a relay.
    pub entry_rpc: SocketAddr,
    /// RPC address of the control daemon, behind a relay.
    pub control_rpc: SocketAddr,
}

impl Plan {
    /// Returns a plan for the fleet in `file`, or for the built-in example without a file.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read, is not a valid configuration or has no zones.
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

/// Plans [`HOST_COUNT`] hosts, assigned to the fleet's zones in turn.
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
