//! The entry host's program: exit codes, logs as JSON, and its end on SIGTERM.

use std::fs;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};

use serde_json::Value;
use tempfile::TempDir;

const PROGRAM: &str = env!("CARGO_BIN_EXE_flamingopost-entry");

struct Workdir(TempDir);

impl Workdir {
    fn new() -> Workdir {
        let folder = tempfile::tempdir().unwrap();
        fs::write(folder.path().join("token"), "for-operators\n").unwrap();
        Workdir(folder)
    }

    /// Writes settings whose listeners take any port; `more` is added to them.
    fn settings(&self, more: &str) -> PathBuf {
        let token = self.0.path().join("token");
        let text = format!(
            "[host]\nname = dumdum-1\nzone = dumdum\n[listen]\ncallers = 127.0.0.1:0\n\
             rpc = 127.0.0.1:0\nadmin = 127.0.0.1:0\n[operators]\ntoken_file = {}\n\
             [platform]\naddress = 127.0.0.1:1\n{more}",
            token.display()
        );
        let path = self.0.path().join("entry.ini");
        fs::write(&path, text).unwrap();
        path
    }
}

fn check(settings: &Path) -> Output {
    let mut command = Command::new(PROGRAM);
    command.arg("--settings").arg(settings).arg("--check");
    command.output().unwrap()
}

fn terminate(child: &Child) {
    signal(child, "-TERM");
}

fn signal(child: &Child, signal: &str) {
    let id = child.id().to_string();
    let sent = Command::new("kill").args([signal, &id]).status().unwrap();
    assert!(sent.success());
}

#[test]
fn check_starts_nothing_and_tells_by_its_exit_code() {
    let workdir = Workdir::new();
    assert_eq!(check(&workdir.settings("")).status.code(), Some(0));
    let wrong = check(&workdir.settings("[log]\nformat = xml\n"));
    assert_eq!(wrong.status.code(), Some(2));
    let told = String::from_utf8(wrong.stderr).unwrap();
    assert!(
        told.contains("`format = xml` in [log] is wrong: write text or json"),
        "{told}"
    );
}

/// The token file was emptied by mistake. Processes of a fleet without a token would take calls
/// from anybody, so the host must not start.
#[test]
fn an_empty_token_file_is_wrong() {
    let workdir = Workdir::new();
    let settings = workdir.settings("");
    fs::write(workdir.0.path().join("token"), "\n").unwrap();
    let wrong = check(&settings);
    assert_eq!(wrong.status.code(), Some(2));
    let told = String::from_utf8(wrong.stderr).unwrap();
    assert!(told.contains("it is empty"), "{told}");
}

#[test]
fn a_taken_port_ends_it_with_an_event() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = taken.local_addr().unwrap();
    let workdir = Workdir::new();
    let settings = workdir.settings("[log]\nformat = json\n");
    let text = fs::read_to_string(&settings).unwrap();
    let text = text.replace("callers = 127.0.0.1:0", &format!("callers = {address}"));
    fs::write(&settings, text).unwrap();
    let run = Command::new(PROGRAM)
        .arg("--settings")
        .arg(&settings)
        .output()
        .unwrap();
    assert_eq!(run.status.code(), Some(1));
    let line: Value = serde_json::from_slice(&run.stderr).unwrap();
    assert_eq!(line["level"], "critical");
    assert_eq!(line["kv"]["event"], 103);
}

#[test]
fn it_logs_json_and_ends_on_sigterm() {
    let workdir = Workdir::new();
    let mut child = Command::new(PROGRAM)
        .arg("--settings")
        .arg(workdir.settings("[log]\nformat = json\n"))
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let lines = BufReader::new(child.stderr.take().unwrap()).lines();
    let mut numbers = Vec::new();
    for line in lines {
        let line: Value = serde_json::from_str(&line.unwrap()).unwrap();
        let number = line["kv"]["event"].as_u64().unwrap();
        numbers.push(number);
        // The operators' listener is up, and with it the whole process.
        if number == 110 {
            terminate(&child);
        }
    }
    assert_eq!(child.wait().unwrap().code(), Some(0));
    for number in [100, 101, 102] {
        assert!(numbers.contains(&number), "{numbers:?} lacks {number}");
    }
}

/// Guards against SIGHUP, as a closing terminal sends it, that cuts callers off.
#[test]
fn a_hangup_does_not_end_it() {
    let workdir = Workdir::new();
    let mut child = Command::new(PROGRAM)
        .arg("--settings")
        .arg(workdir.settings("[log]\nformat = json\n"))
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let lines = BufReader::new(child.stderr.take().unwrap()).lines();
    for line in lines {
        let line: Value = serde_json::from_str(&line.unwrap()).unwrap();
        if line["kv"]["event"] == 110 {
            signal(&child, "-HUP");
            terminate(&child);
        }
    }
    assert_eq!(child.wait().unwrap().code(), Some(0));
}
