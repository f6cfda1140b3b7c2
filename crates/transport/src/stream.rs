//! Byte streams, in plaintext or over TLS.
//!
//! Callers and endpoints may be connected either way; [`Stream`] lets the rest of the proxy read
//! and write both.

use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio_rustls::TlsStream;

/// TCP connection with or without TLS.
#[derive(Debug)]
pub enum Stream {
    /// Plaintext.
    Plain(TcpStream),
    /// Over TLS.
    Tls(Box<TlsStream<TcpStream>>),
}

impl Stream {
    /// Returns the underlying TCP socket.
    pub fn socket(&self) -> &TcpStream {
        match self {
            Self::Plain(socket) => socket,
            Self::Tls(stream) => stream.get_ref().0,
        }
    }
}

macro_rules! delegate {
    ($self:ident, $method:ident($($argument:expr),*)) => {
        match $self.get_mut() {
            Self::Plain(stream) => Pin::new(stream).$method($($argument),*),
            Self::Tls(stream) => Pin::new(stream.as_mut()).$method($($argument),*),
        }
    };
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        delegate!(self, poll_read(context, buffer))
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        delegate!(self, poll_write(context, bytes))
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        delegate!(self, poll_flush(context))
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        delegate!(self, poll_shutdown(context))
    }
}
