//! Splitting a byte stream into protocol messages without decoding them.

use bytes::{Buf, Bytes, BytesMut};
use pgwire::messages::{DecodeContext, Message, ProtocolVersion};
use tokio_util::codec::{Decoder, LengthDelimitedCodec};

/// Tag byte and length word in front of every message body.
pub const HEADER: usize = 5;

const LENGTH_WORD: usize = 4;

/// One whole message: its tag and every byte of it, header included.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame(pub Bytes);

impl Frame {
    /// The tag byte.
    pub fn tag(&self) -> u8 {
        self.0[0]
    }

    /// What follows the header.
    pub fn body(&self) -> &[u8] {
        &self.0[HEADER..]
    }

    /// The body as its own buffer; shares memory with the frame.
    pub fn body_bytes(&self) -> Bytes {
        self.0.slice(HEADER..)
    }

    /// Decodes the message with the protocol library.
    ///
    /// Only for messages whose decoder checks every length itself: a caller must not be able to
    /// make the library read past the end of a message.
    pub fn decode<M: Message>(&self) -> Option<M> {
        let mut copy = BytesMut::from(self.0.as_ref());
        let context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
        M::decode(&mut copy, &context).ok().flatten()
    }
}

/// Why bytes are no messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum Error {
    /// a message of {size} bytes passes the limit of {limit}
    TooLong {
        /// Its size.
        size: usize,
        /// The limit.
        limit: usize,
    },
    /// a message is shorter than its own header
    TooShort,
}

impl std::error::Error for Error {}

/// Splits messages off the front of a buffer.
#[derive(Debug)]
pub struct Splitter {
    codec: LengthDelimitedCodec,
    limit: usize,
}

impl Splitter {
    /// A splitter that accepts messages of up to `limit` bytes.
    ///
    /// ```
    /// use bytes::BytesMut;
    /// use flamingopost_entry::frame::Splitter;
    ///
    /// let mut splitter = Splitter::new(1024);
    /// let mut buffer = BytesMut::from(&b"S\0\0\0\x04Q\0\0"[..]);
    /// let sync = splitter.split(&mut buffer).unwrap().unwrap();
    /// assert_eq!(sync.tag(), b'S');
    /// assert!(splitter.split(&mut buffer).unwrap().is_none());
    /// ```
    pub fn new(limit: usize) -> Splitter {
        let codec = LengthDelimitedCodec::builder()
            .length_field_offset(1)
            .length_field_length(LENGTH_WORD)
            .length_adjustment(1)
            .num_skip(0)
            .max_frame_length(limit)
            .new_codec();
        Splitter { codec, limit }
    }

    /// The next whole message, if the buffer holds one.
    ///
    /// # Errors
    /// The message's length is past the limit, or less than its header.
    pub fn split(&mut self, buffer: &mut BytesMut) -> Result<Option<Frame>, Error> {
        let Some(header) = buffer.first_chunk::<HEADER>() else {
            return Ok(None);
        };
        let [_, length @ ..] = *header;
        let size = u32::from_be_bytes(length) as usize;
        if size < LENGTH_WORD {
            return Err(Error::TooShort);
        }
        let limit = self.limit;
        let frame = self.codec.decode(buffer);
        let frame = frame.map_err(|_| Error::TooLong { size, limit })?;
        Ok(frame.map(|bytes| Frame(bytes.freeze())))
    }
}

/// Splits a zero-terminated string off the front of `bytes`.
pub fn take_text(bytes: &mut Bytes) -> Option<Bytes> {
    let end = bytes.iter().position(|byte| *byte == 0)?;
    let text = bytes.split_to(end);
    bytes.advance(1);
    Some(text)
}
