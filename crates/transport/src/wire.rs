//! Framing of PostgreSQL messages.
//!
//! A proxy interprets few of the messages that it relays. [`Codec`] splits a stream into whole
//! messages without decoding their bodies, so that types, formats and errors are relayed unchanged.
//! The accessors of [`Frame`] read the few fields that routing depends on. `pgwire` encodes the
//! messages that filbertbay itself sends.
//!
//! # Examples
//!
//! ```
//! use filbertbay_transport::wire::{Frame, kind};
//! use pgwire::messages::simplequery::Query;
//!
//! let frame = Frame::from_message(&Query::new("SELECT 1".to_owned()))?;
//! assert_eq!(frame.kind(), kind::QUERY);
//! assert_eq!(frame.str_at(0), Some("SELECT 1"));
//! # Ok::<(), pgwire::error::PgWireError>(())
//! ```

use std::io;

use bytes::{BufMut, Bytes, BytesMut};
use pgwire::error::PgWireError;
use pgwire::messages::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Length in bytes of the header of a message: its type and its length field.
const HEADER_BYTES: usize = 5;

/// Length in bytes of the length field, which its value includes.
const LENGTH_BYTES: u32 = 4;

/// Message types: the first byte of a message.
pub mod kind {
    /// Authentication request or confirmation, from an endpoint.
    pub const AUTHENTICATION: u8 = b'R';
    /// Process id and secret for cancel requests, from an endpoint.
    pub const BACKEND_KEY: u8 = b'K';
    /// Bind, from a caller.
    pub const BIND: u8 = b'B';
    /// Completion of a bind.
    pub const BIND_COMPLETE: u8 = b'2';
    /// Close of a statement or portal, from a caller.
    pub const CLOSE: u8 = b'C';
    /// Completion of a close.
    pub const CLOSE_COMPLETE: u8 = b'3';
    /// Completion of a statement.
    pub const COMMAND_COMPLETE: u8 = b'C';
    /// Data of a copy, in either direction.
    pub const COPY_DATA: u8 = b'd';
    /// End of a copy.
    pub const COPY_DONE: u8 = b'c';
    /// Failure of a copy, from a caller.
    pub const COPY_FAIL: u8 = b'f';
    /// Start of a copy to the endpoint.
    pub const COPY_IN: u8 = b'G';
    /// One row.
    pub const DATA_ROW: u8 = b'D';
    /// Describe, from a caller.
    pub const DESCRIBE: u8 = b'D';
    /// Response to an empty statement.
    pub const EMPTY_QUERY: u8 = b'I';
    /// Error, from an endpoint.
    pub const ERROR: u8 = b'E';
    /// Execute, from a caller.
    pub const EXECUTE: u8 = b'E';
    /// Flush, from a caller.
    pub const FLUSH: u8 = b'H';
    /// Notice, from an endpoint.
    pub const NOTICE: u8 = b'N';
    /// Notification, from an endpoint.
    pub const NOTIFICATION: u8 = b'A';
    /// Value of a run-time parameter, from an endpoint.
    pub const PARAMETER_STATUS: u8 = b'S';
    /// Parse, from a caller.
    pub const PARSE: u8 = b'P';
    /// Completion of a parse.
    pub const PARSE_COMPLETE: u8 = b'1';
    /// Password, from a caller.
    pub const PASSWORD: u8 = b'p';
    /// Suspension of a portal.
    pub const PORTAL_SUSPENDED: u8 = b's';
    /// Simple query, from a caller.
    pub const QUERY: u8 = b'Q';
    /// Ready for query, from an endpoint.
    pub const READY: u8 = b'Z';
    /// Sync, from a caller.
    pub const SYNC: u8 = b'S';
    /// Termination of the session, from a caller.
    pub const TERMINATE: u8 = b'X';
}

/// Values of the transaction status in a message of kind [`kind::READY`].
pub mod transaction_status {
    /// No transaction is open.
    pub const IDLE: u8 = b'I';
    /// A transaction is open.
    pub const IN_TRANSACTION: u8 = b'T';
    /// A transaction is open and has failed.
    pub const FAILED: u8 = b'E';
}

/// One whole message, with its header.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Frame(Bytes);

impl Frame {
    /// Encodes a message.
    ///
    /// # Errors
    ///
    /// Returns an error if the message exceeds the maximum length of its type.
    pub fn from_message<M>(message: &M) -> Result<Self, PgWireError>
    where
        M: Message,
    {
        let mut buffer = BytesMut::with_capacity(message.message_length() + 1);
        message.encode(&mut buffer)?;
        Ok(Self(buffer.freeze()))
    }

    /// Creates a message from its kind and body.
    ///
    /// # Examples
    ///
    /// ```
    /// use filbertbay_transport::wire::{Frame, kind};
    ///
    /// let frame = Frame::new(kind::QUERY, b"SELECT 1\0");
    /// assert_eq!(frame.str_at(0), Some("SELECT 1"));
    /// ```
    pub fn new(kind: u8, body: &[u8]) -> Self {
        let mut buffer = BytesMut::with_capacity(HEADER_BYTES + body.len());
        buffer.put_u8(kind);
        buffer.put_u32(body.len() as u32 + LENGTH_BYTES);
        buffer.extend_from_slice(body);
        Self(buffer.freeze())
    }

    /// Returns the type of the message, one of the constants of [`kind`].
    pub fn kind(&self) -> u8 {
        self.0[0]
    }

    /// Returns the message without its header.
    pub fn body(&self) -> &[u8] {
        &self.0[HEADER_BYTES..]
    }

    /// Returns the whole message, with its header.
    pub fn bytes(&self) -> &Bytes {
        &self.0
    }

    /// Returns the length of the whole message in bytes.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns true if the body is empty. The header still counts towards [`Frame::len`].
    pub fn is_empty(&self) -> bool {
        self.body().is_empty()
    }

    /// Returns the null-terminated string at `offset` of the body, without its terminator.
    ///
    /// Returns `None` if the offset is out of range, or the string is unterminated or not UTF-8.
    pub fn str_at(&self, offset: usize) -> Option<&str> {
        let tail = self.body().get(offset..)?;
        let end = tail.iter().position(|byte| *byte == 0)?;
        std::str::from_utf8(&tail[..end]).ok()
    }

    /// Returns the transaction status of a message of kind [`kind::READY`].
    pub fn transaction_status(&self) -> Option<u8> {
        self.body().first().copied()
    }

    /// Returns the field with this code of an error or notice, such as `b'C'` for the SQLSTATE.
    ///
    /// # Examples
    ///
    /// ```
    /// use filbertbay_transport::wire::Frame;
    /// use pgwire::messages::response::ErrorResponse;
    ///
    /// let error = ErrorResponse::new(vec![(b'S', "ERROR".into()), (b'C', "25006".into())]);
    /// assert_eq!(Frame::from_message(&error)?.error_field(b'C'), Some("25006"));
    /// # Ok::<(), pgwire::error::PgWireError>(())
    /// ```
    pub fn error_field(&self, code: u8) -> Option<&str> {
        let mut offset = 0;
        while let Some(found) = self.body().get(offset).filter(|byte| **byte != 0) {
            let text = self.str_at(offset + 1)?;
            if *found == code {
                return Some(text);
            }
            offset += text.len() + 2;
        }
        None
    }
}

/// Codec that splits a stream into messages.
///
/// A startup message has no type byte and can't be decoded.
#[derive(Debug)]
pub struct Codec {
    inner: LengthDelimitedCodec,
}

impl Codec {
    /// Sets the maximum length of a message; decoding a longer one fails.
    pub fn set_max_bytes(&mut self, max_bytes: usize) {
        self.inner.set_max_frame_length(max_bytes);
    }

    /// Creates a codec whose decoder fails on messages longer than `max_bytes`.
    pub fn new(max_bytes: usize) -> Self {
        let inner = LengthDelimitedCodec::builder()
            .length_field_offset(1)
            .length_field_length(4)
            .length_adjustment(1)
            .num_skip(0)
            .max_frame_length(max_bytes)
            .new_codec();
        Self { inner }
    }
}

impl Decoder for Codec {
    type Item = Frame;
    type Error = io::Error;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<Frame>, io::Error> {
        let Some(bytes) = self.inner.decode(source)? else {
            return Ok(None);
        };
        if bytes.len() < HEADER_BYTES {
            let reason = "message is shorter than its header";
            return Err(io::Error::new(io::ErrorKind::InvalidData, reason));
        }
        Ok(Some(Frame(bytes.freeze())))
    }
}

impl Encoder<Frame> for Codec {
    type Error = io::Error;

    fn encode(&mut self, frame: Frame, target: &mut BytesMut) -> Result<(), io::Error> {
        target.extend_from_slice(&frame.0);
        Ok(())
    }
}
