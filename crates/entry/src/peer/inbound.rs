//! Connection from another instance whose large frames are charged before they are read.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};

use crate::memory::{Budget, Charge, FREE_BYTES};

/// Longest time for a frame that is charged, from its length to its last byte.
const FRAME_TIMEOUT: Duration = Duration::from_secs(5);

/// Most bytes of a frame to read at a time.
const MAX_READ_BYTES: usize = 64 << 10;

/// Stream of length-delimited frames. Fails if the budget has no room for a frame or if a frame is not
/// complete within [`FRAME_TIMEOUT`].
pub(super) struct Inbound {
    stream: TcpStream,
    charge: Charge,
    /// Bytes of the next frame's length that were read.
    header: Vec<u8>,
    /// Bytes of the current frame that were not read yet.
    remaining: usize,
    deadline: Option<Pin<Box<Sleep>>>,
}

impl Inbound {
    pub(super) fn new(stream: TcpStream, budget: &Budget) -> Self {
        Self {
            stream,
            charge: budget.charge(),
            header: Vec::with_capacity(size_of::<u32>()),
            remaining: 0,
            deadline: None,
        }
    }

    /// Sets the options of the connection.
    pub(super) fn configure(&self) -> io::Result<()> {
        crate::socket::configure(&self.stream)
    }

    /// Follows the frames in bytes that were read.
    fn advance(&mut self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            if self.remaining > 0 {
                let count = self.remaining.min(bytes.len());
                bytes = &bytes[count..];
                self.remaining -= count;
                if self.remaining == 0 {
                    self.charge.reduce(0);
                    self.deadline = None;
                }
                continue;
            }
            self.header.push(bytes[0]);
            bytes = &bytes[1..];
            if let Ok(length) = <[u8; 4]>::try_from(self.header.as_slice()) {
                self.header.clear();
                self.begin_frame(u32::from_be_bytes(length) as usize)?;
            }
        }
        Ok(())
    }

    fn begin_frame(&mut self, length: usize) -> io::Result<()> {
        self.remaining = length;
        if length <= FREE_BYTES {
            return Ok(());
        }
        if !self.charge.try_resize(length) {
            super::count_closed("memory");
            return Err(io::ErrorKind::OutOfMemory.into());
        }
        let deadline = Instant::now() + FRAME_TIMEOUT;
        self.deadline = Some(Box::pin(tokio::time::sleep_until(deadline)));
        Ok(())
    }
}

impl AsyncRead for Inbound {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if let Some(deadline) = &mut this.deadline
            && deadline.as_mut().poll(context).is_ready()
        {
            super::count_closed("slow");
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        // A read that may begin a frame takes little, since the frame is not charged yet.
        let limit = this.remaining.clamp(FREE_BYTES, MAX_READ_BYTES);
        let limit = limit.min(buffer.remaining());
        let mut space = ReadBuf::new(buffer.initialize_unfilled_to(limit));
        ready!(Pin::new(&mut this.stream).poll_read(context, &mut space))?;
        let count = space.filled().len();
        this.advance(space.filled())?;
        buffer.advance(count);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Inbound {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
