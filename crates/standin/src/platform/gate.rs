//! Listener that can be taken down: it then refuses connections and cuts the open ones.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use axum::serve::Listener;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::sync::{CancellationToken, WaitForCancellationFutureOwned};

/// Pause before the address is bound again.
const REBIND_PAUSE: Duration = Duration::from_millis(10);

/// Listener that follows the "down" fault.
pub(super) struct Gate {
    listener: Option<TcpListener>,
    address: SocketAddr,
    down: watch::Receiver<bool>,
    /// Cancelled when the connections of the present up time are cut.
    cut: CancellationToken,
}

impl Gate {
    pub(super) fn new(
        listener: TcpListener,
        address: SocketAddr,
        down: watch::Receiver<bool>,
    ) -> Self {
        Self {
            listener: Some(listener),
            address,
            down,
            cut: CancellationToken::new(),
        }
    }

    /// Closes the listener, cuts its connections, and binds again once the fault is over.
    async fn stay_down(&mut self) {
        self.listener = None;
        self.cut.cancel();
        self.cut = CancellationToken::new();
        if self.down.wait_for(|down| !down).await.is_err() {
            std::future::pending::<()>().await;
        }
        while self.listener.is_none() {
            self.listener = TcpListener::bind(self.address).await.ok();
            tokio::time::sleep(REBIND_PAUSE).await;
        }
    }
}

impl Drop for Gate {
    fn drop(&mut self) {
        self.cut.cancel();
    }
}

impl Listener for Gate {
    type Io = Stream;
    type Addr = SocketAddr;

    async fn accept(&mut self) -> (Stream, SocketAddr) {
        loop {
            if *self.down.borrow_and_update() {
                self.stay_down().await;
            }
            let Some(listener) = &self.listener else {
                continue;
            };
            tokio::select! {
                accepted = listener.accept() => {
                    if let Ok((stream, address)) = accepted {
                        return (Stream::new(stream, &self.cut), address);
                    }
                }
                _ = self.down.changed() => {}
            }
        }
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        Ok(self.address)
    }
}

/// Connection that ends when its gate goes down.
pub(super) struct Stream {
    inner: TcpStream,
    cut: Pin<Box<WaitForCancellationFutureOwned>>,
}

impl Stream {
    fn new(inner: TcpStream, cut: &CancellationToken) -> Self {
        let cut = Box::pin(cut.clone().cancelled_owned());
        Self { inner, cut }
    }

    fn check(&mut self, context: &mut Context<'_>) -> io::Result<()> {
        match self.cut.as_mut().poll(context) {
            Poll::Ready(()) => Err(io::ErrorKind::ConnectionReset.into()),
            Poll::Pending => Ok(()),
        }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.check(context)?;
        Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check(context)?;
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
