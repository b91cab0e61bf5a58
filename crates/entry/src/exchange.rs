//! One request and its whole answer, between a caller and one backend connection.

use std::collections::VecDeque;
use std::io;

use bytes::BytesMut;
use pgwire::messages::response::TransactionStatus;

use crate::back::{self, Back};
use crate::copy;
use crate::frame::{self, Frame};
use crate::front::{self, Front, OUT_MARK};
use crate::plan::{Expect, Plan};
use crate::reply;

/// How far the answer has come; kept outside of the exchange so that it survives a deadline.
#[derive(Debug, Default)]
pub struct Progress {
    /// The request was handed to the socket.
    pub sent: bool,
    /// Part of the answer has left for the caller and cannot be taken back.
    pub streamed: bool,
    /// The end of the answer, held back until it is decided whether the caller may have it.
    pub tail: BytesMut,
    /// SQLSTATE of the error in the answer.
    pub sqlstate: Option<String>,
    /// Tag of the last statement that completed.
    pub tag: String,
    /// Statements that completed.
    pub completed: usize,
}

/// How an exchange ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// With `ReadyForQuery`.
    Ready(TransactionStatus),
    /// With the last answer before a `Flush`.
    Flushed,
}

/// Why an exchange did not end.
#[derive(Debug, displaydoc::Display)]
pub enum Break {
    /// backend server: {0}
    Back(back::Error),
    /// caller: {0}
    Front(front::Error),
    /// the server's answer does not fit the request
    Mismatch,
}

impl std::error::Error for Break {}

impl From<back::Error> for Break {
    fn from(error: back::Error) -> Break {
        Break::Back(error)
    }
}

impl From<front::Error> for Break {
    fn from(error: front::Error) -> Break {
        Break::Front(error)
    }
}

impl From<frame::Error> for Break {
    fn from(error: frame::Error) -> Break {
        Break::Back(error.into())
    }
}

/// A request under way.
#[derive(Debug)]
pub struct Exchange<'a> {
    /// The caller.
    pub front: &'a mut Front,
    /// The connection.
    pub back: &'a mut Back,
    /// How far it has come.
    pub progress: &'a mut Progress,
    /// Whether everything from the first completion on is held back, not only the end: an early
    /// completion may already tell of a commit.
    pub hold_all: bool,
    expect: VecDeque<Expect>,
    simple: bool,
}

/// What to do after a message.
enum Next {
    More,
    CopyIn,
    End(End),
}

/// A request that was handed to a connection, and the answers that it will have.
#[derive(Debug)]
pub struct Sent {
    expect: VecDeque<Expect>,
    simple: bool,
}

/// Sends `plan` on `back`.
///
/// # Errors
/// The connection broke; it must not be used again.
pub async fn send(back: &mut Back, progress: &mut Progress, plan: Plan) -> Result<Sent, Break> {
    back.pending += plan.syncs;
    // However little of it the kernel takes, from here on it counts as sent.
    progress.sent = true;
    back.send(&plan.bytes).await.map_err(back::Error::Io)?;
    Ok(Sent {
        simple: plan.expect.front() == Some(&Expect::Simple),
        expect: plan.expect,
    })
}

impl<'a> Exchange<'a> {
    /// The rest of an exchange between `front` and `back`, which has the request.
    pub fn new(
        front: &'a mut Front,
        back: &'a mut Back,
        progress: &'a mut Progress,
        hold_all: bool,
        sent: Sent,
    ) -> Exchange<'a> {
        Exchange {
            front,
            back,
            progress,
            hold_all,
            expect: sent.expect,
            simple: sent.simple,
        }
    }

    /// Passes the answer on, except for its end, which is held back.
    ///
    /// # Errors
    /// Either side broke; the backend connection must not be used again.
    pub async fn receive(&mut self) -> Result<End, Break> {
        if let Some(end) = self.drained() {
            return Ok(end);
        }
        loop {
            while let Some(frame) = self.back.buffered()? {
                match self.take(&frame)? {
                    Next::More => {}
                    Next::CopyIn => self.copy_in().await?,
                    Next::End(end) => return Ok(end),
                }
            }
            self.spill().await?;
            self.back.fill().await.map_err(back::Error::Io)?;
        }
    }

    async fn spill(&mut self) -> Result<(), Break> {
        if self.front.out.len() < OUT_MARK {
            return Ok(());
        }
        self.progress.streamed = true;
        self.flush().await
    }

    async fn flush(&mut self) -> Result<(), Break> {
        let flushed = self.front.flush().await;
        flushed.map_err(|error: io::Error| Break::Front(error.into()))
    }

    async fn copy_in(&mut self) -> Result<(), Break> {
        self.progress.streamed = true;
        self.flush().await?;
        copy::pump(self.front, self.back, !self.simple).await
    }

    fn take(&mut self, frame: &Frame) -> Result<Next, Break> {
        match frame.tag() {
            b'S' => {
                if self.back.take_status(frame).is_some() {
                    self.pass(&frame.0);
                }
            }
            b'N' | b'A' => self.pass(&frame.0),
            b'E' => return self.error(frame),
            b'Z' => return self.ready(frame),
            b'G' => {
                self.pass(&frame.0);
                return Ok(Next::CopyIn);
            }
            b'W' => return Err(Break::Mismatch),
            _ if self.simple => self.simple_answer(frame),
            _ => self.extended_answer(frame)?,
        }
        Ok(self.drained().map_or(Next::More, Next::End))
    }

    fn simple_answer(&mut self, frame: &Frame) {
        if frame.tag() == b'C' {
            self.complete(frame);
        } else {
            self.pass(&frame.0);
        }
    }

    /// Matches an answer with what it must be the answer to.
    fn extended_answer(&mut self, frame: &Frame) -> Result<(), Break> {
        self.give_local();
        let tag = frame.tag();
        let expected = self.expect.front().ok_or(Break::Mismatch)?;
        match (tag, expected) {
            (
                b'1',
                Expect::Parse {
                    number,
                    named,
                    pass,
                },
            ) => {
                let pass = *pass;
                if *named {
                    self.back.prepared.insert(*number);
                } else {
                    self.back.unnamed = Some(*number);
                }
                if pass {
                    self.pass(&frame.0);
                }
            }
            (b'3', Expect::Forget { number }) => {
                self.back.prepared.remove(number);
            }
            (b'2', Expect::Bind) | (b'3', Expect::Close) => self.pass(&frame.0),
            (b'T' | b'n', Expect::Describe) => self.pass(&frame.0),
            (b'I' | b's', Expect::Execute) => self.pass(&frame.0),
            (b'C', Expect::Execute) => self.complete(frame),
            (b't', Expect::Describe) | (b'D' | b'H' | b'd' | b'c', Expect::Execute) => {
                self.pass(&frame.0);
                return Ok(());
            }
            _ => return Err(Break::Mismatch),
        }
        self.expect.pop_front();
        Ok(())
    }

    fn error(&mut self, frame: &Frame) -> Result<Next, Break> {
        self.progress.sqlstate = Some(back::sqlstate(frame));
        self.give_local();
        self.pass(&frame.0);
        if self.simple {
            return Ok(Next::More);
        }
        // The server skips everything up to the next `Sync`; a failed `Parse` leaves the unnamed
        // statement undefined.
        while matches!(self.expect.front(), Some(expect) if *expect != Expect::Sync) {
            if let Some(Expect::Parse { named: false, .. }) = self.expect.pop_front() {
                self.back.unnamed = None;
            }
        }
        Ok(self.drained().map_or(Next::More, Next::End))
    }

    fn ready(&mut self, frame: &Frame) -> Result<Next, Break> {
        self.give_local();
        let status = self.back.take_ready(frame)?;
        match self.expect.pop_front() {
            Some(Expect::Simple | Expect::Sync) if self.expect.is_empty() => {
                Ok(Next::End(End::Ready(status)))
            }
            _ => Err(Break::Mismatch),
        }
    }

    /// The end of a batch that was flushed and not synced: nothing is expected any more.
    fn drained(&mut self) -> Option<End> {
        if self.simple {
            return None;
        }
        let local = |expect: &Expect| matches!(expect, Expect::Local(_));
        if !self.expect.iter().all(local) {
            return None;
        }
        self.give_local();
        Some(End::Flushed)
    }

    fn give_local(&mut self) {
        while let Some(Expect::Local(tag)) = self.expect.front() {
            let mut message = BytesMut::new();
            reply::bare(&mut message, *tag);
            self.expect.pop_front();
            self.pass(&message);
        }
    }

    fn pass(&mut self, bytes: &[u8]) {
        let tail = &mut self.progress.tail;
        if self.hold_all && !tail.is_empty() {
            return tail.extend_from_slice(bytes);
        }
        if !tail.is_empty() {
            self.front.out.extend_from_slice(tail);
            tail.clear();
        }
        self.front.out.extend_from_slice(bytes);
    }

    fn complete(&mut self, frame: &Frame) {
        self.progress.completed += 1;
        self.progress.tag = back::command_tag(frame);
        if !self.hold_all && !self.progress.tail.is_empty() {
            self.front.out.extend_from_slice(&self.progress.tail);
            self.progress.tail.clear();
        }
        self.progress.tail.extend_from_slice(&frame.0);
    }
}
