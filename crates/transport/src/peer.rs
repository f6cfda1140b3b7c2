//! Connections between instances: tarpc over TCP, with mutual TLS.
//!
//! Each side presents a certificate signed by one of the fleet's certificate authorities and
//! negotiates [`ALPN`]; the server closes any other connection without a response. Without an
//! identity, connections are in plaintext, which the settings permit only on loopback addresses.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_protocol::peer::{Peer, PeerClient};
use futures::StreamExt;
use rustls::pki_types::ServerName;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{client, context};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Mutex, Semaphore};
use tokio::task::JoinSet;
use tokio_util::codec::LengthDelimitedCodec;

use crate::tls::Identity;

/// ALPN protocol that both sides of a peer connection must negotiate.
pub const ALPN: &[u8] = b"filbertbay-peer/1";

/// Timeout of connecting to a peer, and of the TLS handshake on the server.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum length of a message in bytes: a configuration part of 1 MiB and its framing.
pub const MAX_FRAME_BYTES: usize = (1 << 20) + (1 << 12);

/// Maximum number of connections that a server keeps open; further ones are closed on accept.
const MAX_CONNECTIONS: usize = 2_048;

/// Maximum number of requests in flight on a connection.
const MAX_REQUESTS_PER_CONNECTION: usize = 256;

/// Kind of an [`Error`].
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "snake_case")]
#[non_exhaustive]
pub enum ErrorKind {
    /// No connection could be opened, so the call had no effect.
    Unreachable,
    /// The connection closed or the deadline passed, so the call may have taken effect.
    Unanswered,
}

/// Error of a call to another instance.
#[derive(Debug, thiserror::Error)]
#[error("peer {address}: {kind}: {message}")]
pub struct Error {
    kind: ErrorKind,
    address: SocketAddr,
    message: String,
}

impl Error {
    fn new<M>(kind: ErrorKind, address: SocketAddr, message: &M) -> Self
    where
        M: ToString + ?Sized,
    {
        Self {
            kind,
            address,
            message: message.to_string(),
        }
    }

    /// Returns the kind of the error.
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }
}

/// Server for calls from other instances; dropping it closes its connections.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    _tasks: JoinSet<()>,
}

impl Server {
    /// Binds `address` and serves calls with `service`.
    ///
    /// Connections run as local tasks of the calling thread, which is the control thread.
    ///
    /// # Errors
    ///
    /// Returns an error if `address` cannot be bound.
    ///
    /// # Panics
    ///
    /// Panics if called outside a [`tokio::task::LocalSet`].
    pub async fn bind<S>(
        address: SocketAddr,
        identity: Option<Arc<Identity>>,
        service: S,
    ) -> io::Result<Self>
    where
        S: Peer + Clone + 'static,
    {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let mut tasks = JoinSet::new();
        tasks.spawn_local(accept(listener, identity, service));
        Ok(Self {
            address,
            _tasks: tasks,
        })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

async fn accept<S>(listener: TcpListener, identity: Option<Arc<Identity>>, service: S)
where
    S: Peer + Clone + 'static,
{
    let connections = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let mut tasks = JoinSet::new();
    loop {
        while tasks.try_join_next().is_some() {}
        // A failed accept affects only one connection, so the listener continues.
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let Ok(permit) = Arc::clone(&connections).try_acquire_owned() else {
            continue;
        };
        let (identity, service) = (identity.clone(), service.clone());
        tasks.spawn_local(async move {
            let _permit = permit;
            serve_connection(stream, identity, service).await;
        });
    }
}

async fn serve_connection<S>(stream: TcpStream, identity: Option<Arc<Identity>>, service: S)
where
    S: Peer + Clone + 'static,
{
    let _ = stream.set_nodelay(true);
    let Some(identity) = identity else {
        return serve_stream(stream, service).await;
    };
    let Ok(acceptor) = identity.acceptor() else {
        return;
    };
    let handshake = tokio::time::timeout(CONNECT_TIMEOUT, acceptor.accept(stream)).await;
    if let Ok(Ok(stream)) = handshake
        && stream.get_ref().1.alpn_protocol() == Some(ALPN)
    {
        serve_stream(stream, service).await;
    }
}

async fn serve_stream<S, T>(stream: T, service: S)
where
    S: Peer + Clone + 'static,
    T: AsyncRead + AsyncWrite + Unpin + 'static,
{
    let framed = codec().new_framed(stream);
    let transport = tarpc::serde_transport::new(framed, Bincode::default());
    let requests = BaseChannel::with_defaults(transport).execute(service.serve());
    requests
        .for_each_concurrent(MAX_REQUESTS_PER_CONNECTION, |request| request)
        .await;
}

fn codec() -> tokio_util::codec::length_delimited::Builder {
    let mut builder = LengthDelimitedCodec::builder();
    builder.max_frame_length(MAX_FRAME_BYTES);
    builder
}

/// Connections to other instances, one per address.
///
/// A connection is opened by the first call and reopened by the first call after a failure.
#[derive(Debug, Default)]
pub struct PeerPool {
    identity: Option<Arc<Identity>>,
    connections: Mutex<HashMap<SocketAddr, Arc<Mutex<Option<PeerClient>>>>>,
}

impl PeerPool {
    /// Creates a pool without connections.
    pub fn new(identity: Option<Arc<Identity>>) -> Self {
        Self {
            identity,
            connections: Mutex::default(),
        }
    }

    /// Calls the instance at `address` and returns its response.
    ///
    /// `call` receives the client of the connection and the context that carries the deadline of
    /// `timeout` from now. Connecting counts towards it, but is ended by [`CONNECT_TIMEOUT`] alone.
    ///
    /// # Errors
    ///
    /// Returns an error of kind [`ErrorKind::Unreachable`] if no connection could be opened, and of
    /// kind [`ErrorKind::Unanswered`] if no response arrived before the deadline. Any failure other
    /// than a passed deadline also removes the connection from the pool.
    pub async fn call<F, R, T>(
        &self,
        address: SocketAddr,
        timeout: Duration,
        call: F,
    ) -> Result<T, Error>
    where
        F: FnOnce(PeerClient, context::Context) -> R,
        R: Future<Output = Result<T, client::RpcError>>,
    {
        let mut context = context::current();
        context.deadline = Instant::now() + timeout;
        let client = self.client(address).await?;
        match call(client, context).await {
            Ok(response) => Ok(response),
            Err(error) => {
                if !matches!(error, client::RpcError::DeadlineExceeded) {
                    self.remove(address).await;
                }
                Err(Error::new(ErrorKind::Unanswered, address, &error))
            }
        }
    }

    /// Closes the connections to all addresses for which `keep` returns false.
    pub async fn retain<F>(&self, keep: F)
    where
        F: Fn(SocketAddr) -> bool,
    {
        self.connections
            .lock()
            .await
            .retain(|address, _| keep(*address));
    }

    async fn client(&self, address: SocketAddr) -> Result<PeerClient, Error> {
        let connection = Arc::clone(self.connections.lock().await.entry(address).or_default());
        // The lock of the entry lets one call connect while concurrent calls to this address wait.
        let mut slot = connection.lock().await;
        if let Some(client) = slot.as_ref() {
            return Ok(client.clone());
        }
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, self.connect(address)).await;
        let client = connected
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))
            .flatten()
            .map_err(|error| Error::new(ErrorKind::Unreachable, address, &error))?;
        *slot = Some(client.clone());
        Ok(client)
    }

    async fn connect(&self, address: SocketAddr) -> io::Result<PeerClient> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let Some(identity) = &self.identity else {
            return Ok(spawn_client(stream));
        };
        let connector = identity
            .connector()
            .map_err(io::Error::other)?
            .ok_or_else(|| io::Error::other("peer TLS requires certificate authorities"))?;
        let stream = connector
            .connect(ServerName::from(address.ip()), stream)
            .await?;
        Ok(spawn_client(stream))
    }

    async fn remove(&self, address: SocketAddr) {
        self.connections.lock().await.remove(&address);
    }
}

fn spawn_client<T>(stream: T) -> PeerClient
where
    T: AsyncRead + AsyncWrite + Send + Unpin + 'static,
{
    let framed = codec().new_framed(stream);
    let transport = tarpc::serde_transport::new(framed, Bincode::default());
    PeerClient::new(client::Config::default(), transport).spawn()
}
