//! One connection to a server: its transaction, its values and its prepared statements.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

use super::group::{Receipt, Refused};
use super::server::Server;

/// Whether a transaction is open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Idle,
    /// For reads only.
    Reading,
    Writing,
    Failed,
}

/// One connection to a server.
pub(super) struct Session {
    server: Arc<Server>,
    stream: BufReader<TcpStream>,
    state: State,
    staged: Vec<(String, String)>,
    values: BTreeMap<String, String>,
    prepared: BTreeMap<String, String>,
    number: u64,
    /// In whose name the connection was opened.
    client: String,
}

/// What is answered to a statement.
enum Answer {
    Row(String, String),
    Done(String),
    Error(&'static str),
    /// Nothing, for good.
    Lost,
    /// Nothing: the connection ends.
    Ended,
}

/// Size of a row of [`super::Faults::rows`], in bytes.
const ROW_BYTES: usize = 64 << 10;

/// Pause before it is looked again whether a replica has received a commit.
const RECEIPT_INTERVAL: Duration = Duration::from_millis(1);

impl Session {
    pub(super) fn new(server: Arc<Server>, stream: TcpStream) -> Session {
        let number = server.group.next_connection();
        Session {
            server,
            number,
            client: String::new(),
            stream: BufReader::new(stream),
            state: State::Idle,
            staged: Vec::new(),
            values: BTreeMap::new(),
            prepared: BTreeMap::new(),
        }
    }

    /// Serves the connection until its other end closes it.
    pub(super) async fn run(mut self) {
        if self.server.faults().silent {
            self.hang().await;
            return;
        }
        let Some(hello) = self.line().await else {
            return;
        };
        let fields: Vec<&str> = hello.split(' ').collect();
        self.client = fields.get(2).copied().unwrap_or_default().to_owned();
        let service = fields.get(1).copied().unwrap_or_default();
        let wrong_id = fields.get(3).is_some_and(|id| *id != self.server.id);
        let open = self.server.open.load(Ordering::Relaxed);
        let refused = if service != self.server.group.service || wrong_id {
            Some("MISROUTED")
        } else if open > self.server.settings.connections {
            Some("CONNLIMIT")
        } else {
            None
        };
        if let Some(code) = refused {
            self.send(&format!("ERROR {code} refused\r\n")).await;
            return;
        }
        let ready = self.ready();
        self.send_bytes(&ready).await;
        while let Some(line) = self.line().await {
            let Some((id, text)) = line
                .strip_prefix("QUERY ")
                .and_then(|it| it.split_once(' '))
            else {
                return;
            };
            let answer = self.answer(id, text).await;
            if self.server.faults().silent {
                self.hang().await;
                return;
            }
            let is_status = text == "STATUS" || text.starts_with("STEPDOWN ");
            let status = self.server.faults().status.filter(|_| is_status);
            if let Some(row) = status {
                self.send_bytes(&[b"DATAROW ", row, b"\r\nCOMPLETE -\r\n"].concat())
                    .await;
                let ready = self.ready();
                self.send_bytes(&ready).await;
                continue;
            }
            if let Answer::Row(..) = answer
                && !self.send_rows(self.server.faults().rows).await
            {
                return;
            }
            let out = match answer {
                Answer::Row(row, proof) => format!("DATAROW {row}\r\nCOMPLETE {proof}\r\n"),
                Answer::Done(proof) => format!("COMPLETE {proof}\r\n"),
                Answer::Error(code) => {
                    if self.state != State::Idle && code != "BUSY" {
                        self.state = State::Failed;
                    }
                    format!("ERROR {code} {}\r\n", self.server.id)
                }
                Answer::Lost => {
                    self.hang().await;
                    return;
                }
                Answer::Ended => return,
            };
            let ready = self.ready();
            self.send_bytes(&[out.as_bytes(), &ready].concat()).await;
        }
    }

    async fn answer(&mut self, id: &str, text: &str) -> Answer {
        let mut rest = text;
        if let Some(waits) = text.strip_prefix("WAITLSN ") {
            let Some((position, after)) = waits.split_once(' ') else {
                return Answer::Error("MALFORMED");
            };
            let Some((term, number)) = parse(position) else {
                return Answer::Error("MALFORMED");
            };
            let group = &self.server.group;
            if group.contains(&self.server.id, term, number).is_err() {
                return Answer::Error("LAGGING");
            }
            rest = after;
        }
        let (verb, tail) = rest.split_once(' ').unwrap_or((rest, ""));
        match verb {
            "ROLLBACK" => {
                self.state = State::Idle;
                self.staged.clear();
                Answer::Done("-".to_owned())
            }
            _ if self.state == State::Failed && verb != "COMMIT" => Answer::Error("MALFORMED"),
            "BEGIN" => self.begin(tail),
            "SET" => {
                let (name, value) = tail.split_once(' ').unwrap_or((tail, ""));
                self.values.insert(name.to_owned(), value.to_owned());
                Answer::Done("-".to_owned())
            }
            "PREPARE" => {
                let (name, shape) = tail.split_once(' ').unwrap_or((tail, ""));
                self.prepared.insert(name.to_owned(), shape.to_owned());
                Answer::Done("-".to_owned())
            }
            "DISCARD" => {
                self.values.clear();
                self.prepared.clear();
                Answer::Done("-".to_owned())
            }
            "STATUS" => self.status(),
            "STEPDOWN" => {
                let Ok(term) = tail.parse() else {
                    return Answer::Error("MALFORMED");
                };
                self.server.group.step_down(&self.server.id, term);
                self.status()
            }
            "EXECUTE" => {
                let (name, arguments) = tail.split_once(' ').unwrap_or((tail, ""));
                let Some(shape) = self.prepared.get(name).cloned() else {
                    return Answer::Error("NOSTMT");
                };
                let verb = shape.split(' ').next().unwrap_or_default().to_owned();
                self.work(id, text, &verb, arguments).await
            }
            "FETCH" | "STORE" | "COMMIT" => self.work(id, text, verb, tail).await,
            _ => Answer::Error("MALFORMED"),
        }
    }

    fn begin(&mut self, tail: &str) -> Answer {
        let reads = tail == "FETCH";
        if !reads && !self.leads() {
            return Answer::Error("READONLY");
        }
        self.state = match reads {
            true => State::Reading,
            false => State::Writing,
        };
        Answer::Done("-".to_owned())
    }

    fn status(&self) -> Answer {
        let Some(member) = self.server.group.member(&self.server.id) else {
            return Answer::Error("BUSY");
        };
        let role = if member.leads { "primary" } else { "replica" };
        let (term, received) = (member.term, member.received());
        let open = self.server.open.load(Ordering::Relaxed);
        let row = format!("{role} {term} {received} {term} 0 0 {open}");
        Answer::Row(row, "-".to_owned())
    }

    async fn work(&mut self, id: &str, text: &str, verb: &str, tail: &str) -> Answer {
        if id == "-" {
            return Answer::Error("MALFORMED");
        }
        let server = Arc::clone(&self.server);
        if server.faults().full {
            return Answer::Error("BUSY");
        }
        let Ok(_slot) = server.slots.acquire().await else {
            return Answer::Error("BUSY");
        };
        tokio::time::sleep(server.settings.work).await;
        if self.state == State::Writing && !self.leads() && verb != "COMMIT" {
            return Answer::Error("READONLY");
        }
        let (item, data) = tail.split_once(' ').unwrap_or((tail, ""));
        let group = &server.group;
        let answer = match verb {
            "FETCH" => {
                let staged = self.staged.iter().rev().find(|(name, _)| name == item);
                let row = match staged {
                    Some((_, data)) => data.clone(),
                    None => group.fetch(&server.id, item),
                };
                Answer::Row(
                    self.with_values(row),
                    group.ran(&server.id, (self.number, &self.client), id, text),
                )
            }
            "STORE" => {
                let write = (item.to_owned(), data.to_owned());
                match self.state {
                    State::Writing => self.staged.push(write),
                    State::Reading => return Answer::Error("READONLY"),
                    State::Idle | State::Failed => {
                        if let Err(Refused::ReadOnly | Refused::Lagging) =
                            group.commit(&server.id, &[write])
                        {
                            return Answer::Error("READONLY");
                        }
                        if !self.is_received().await {
                            return Answer::Ended;
                        }
                    }
                }
                Answer::Done(group.ran(&server.id, (self.number, &self.client), id, text))
            }
            _ => return self.commit(id, text).await,
        };
        match server.loses_answer() {
            true => Answer::Lost,
            false => answer,
        }
    }

    async fn commit(&mut self, id: &str, text: &str) -> Answer {
        let staged = std::mem::take(&mut self.staged);
        let state = std::mem::replace(&mut self.state, State::Idle);
        if state == State::Failed || state == State::Idle {
            return Answer::Error("ABORTED");
        }
        let server = Arc::clone(&self.server);
        if server.group.commit(&server.id, &staged).is_err() {
            return Answer::Error("READONLY");
        }
        if !staged.is_empty() && !self.is_received().await {
            return Answer::Ended;
        }
        let proof = server
            .group
            .ran(&server.id, (self.number, &self.client), id, text);
        match server.loses_answer() {
            true => Answer::Lost,
            false => Answer::Done(proof),
        }
    }

    /// Waits until a replica has received the last commit, where that is required. `false`: none ever
    /// will.
    async fn is_received(&self) -> bool {
        let group = &self.server.group;
        let Some(entry) = group.awaits_replica(&self.server.id) else {
            return true;
        };
        loop {
            match group.receipt(&self.server.id, &entry) {
                Receipt::Received => return true,
                Receipt::Dropped => return false,
                Receipt::Pending => tokio::time::sleep(RECEIPT_INTERVAL).await,
            }
        }
    }

    /// Rows show the connection's values, so that a test sees what a statement ran with.
    fn with_values(&self, row: String) -> String {
        let values = self.values.iter();
        values.fold(row, |row, (name, value)| format!("{row} {name}={value}"))
    }

    fn leads(&self) -> bool {
        let member = self.server.group.member(&self.server.id);
        member.is_some_and(|member| member.leads)
    }

    fn ready(&self) -> Vec<u8> {
        let state = match self.state {
            State::Idle => "I",
            State::Reading | State::Writing => "T",
            State::Failed => "E",
        };
        let member = self.server.group.member(&self.server.id);
        let position = member.map_or_else(|| "-".to_owned(), |member| member.position());
        let position = self.server.faults().position.unwrap_or(position.as_bytes());
        [b"READY ", state.as_bytes(), b" ", position, b"\r\n"].concat()
    }

    /// Answers nothing any more, until the other end closes the connection.
    async fn hang(&mut self) {
        while self.line().await.is_some() {}
    }

    async fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        match self.stream.read_line(&mut line).await {
            Ok(1..) => Some(line.trim_end_matches(['\r', '\n']).to_owned()),
            Ok(0) | Err(_) => None,
        }
    }

    /// Sends `count` rows. Returns whether the other end takes them.
    async fn send_rows(&mut self, count: u32) -> bool {
        if count == 0 {
            return true;
        }
        let row = [b"DATAROW ", vec![b'x'; ROW_BYTES].as_slice(), b"\r\n"].concat();
        for _ in 0..count {
            if self.stream.get_mut().write_all(&row).await.is_err() {
                return false;
            }
        }
        true
    }

    async fn send(&mut self, text: &str) {
        self.send_bytes(text.as_bytes()).await;
    }

    async fn send_bytes(&mut self, bytes: &[u8]) {
        // A peer that went away is noticed at the next read.
        let _ = self.stream.get_mut().write_all(bytes).await;
    }
}

fn parse(position: &str) -> Option<(i64, u64)> {
    let (term, number) = position.split_once('.')?;
    Some((term.parse().ok()?, number.parse().ok()?))
}
