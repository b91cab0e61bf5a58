//! Runs the binary in a temporary directory.

use std::fs;
use std::io::Write;
use std::net::SocketAddr;
use std::process::{Command, Stdio};

use serde_json::Value;
use tempfile::TempDir;

pub const TESFA: &str = include_str!("../../../../examples/tesfa.ini");
pub const TOKEN: &str = "a-token-of-the-operators";

/// A temporary directory for one test.
#[derive(Debug)]
pub struct Workdir {
    directory: TempDir,
}

/// Exit code and output of a finished run.
#[derive(Debug)]
pub struct Run {
    /// Exit code; -1 if a signal ended the process.
    pub code: i32,
    /// Standard output.
    pub out: String,
    /// Standard error.
    pub err: String,
}

impl Run {
    /// Parses standard output as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap_or_else(|error| panic!("{error} in {self:?}"))
    }
}

impl Workdir {
    /// Creates an empty directory.
    pub fn new() -> Workdir {
        let directory = tempfile::tempdir().expect("a temporary directory");
        Workdir { directory }
    }

    /// Writes `text` to the file `name`.
    pub fn file(&self, name: &str, text: &str) -> &Workdir {
        fs::write(self.directory.path().join(name), text).expect("a written file");
        self
    }

    /// Runs the binary without an address or a token.
    pub fn run(&self, args: &[&str]) -> Run {
        self.finish(self.command(args), "")
    }

    /// Runs the binary with `input` on standard input.
    pub fn run_with_input(&self, args: &[&str], input: &str) -> Run {
        self.finish(self.command(args), input)
    }

    /// Runs the binary against the host at `address`, with the operators' token.
    pub fn run_at(&self, address: SocketAddr, args: &[&str]) -> Run {
        let mut command = self.command(args);
        command
            .env("FLAMINGOPOST_ADMIN", address.to_string())
            .env("FLAMINGOPOST_TOKEN", TOKEN);
        self.finish(command, "")
    }

    fn command(&self, args: &[&str]) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_flamingopostctl"));
        command
            .args(args)
            .current_dir(self.directory.path())
            .env_remove("FLAMINGOPOST_ADMIN")
            .env_remove("FLAMINGOPOST_METRICS")
            .env_remove("FLAMINGOPOST_TOKEN")
            .env("USER", "asha")
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped());
        command
    }

    fn finish(&self, mut command: Command, input: &str) -> Run {
        let mut child = command.spawn().expect("a started binary");
        let mut stdin = child.stdin.take().expect("a pipe");
        // A subcommand that reads no input may have exited already.
        let _ = stdin.write_all(input.as_bytes());
        drop(stdin);
        let output = child.wait_with_output().expect("a finished binary");
        Run {
            code: output.status.code().unwrap_or(-1),
            out: String::from_utf8_lossy(&output.stdout).into_owned(),
            err: String::from_utf8_lossy(&output.stderr).into_owned(),
        }
    }
}
