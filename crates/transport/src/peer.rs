//! Control links between instances: tarpc over TCP, with mutual TLS.
//!
//! Both sides present a certificate of the fleet's authorities and agree on the protocol by ALPN;
//! a peer without one gets no answer. Without an identity the link is in the clear, which settings
//! allow on loopback addresses alone.

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

/// Protocol that both sides of a control link agree on.
pub const ALPN: &[u8] = b"filbertbay-peer/1";

/// Longest time to open a link.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest message on a link, in bytes: one configuration part and its frame.
pub const MAX_FRAME_BYTES: usize = (1 << 20) + (1 << 12);

/// Links that a server keeps open at once.
const MAX_LINKS: usize = 2_048;

/// Requests that one link runs at once.
const MAX_REQUESTS: usize = 256;

/// What went wrong with a call to another instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "snake_case")]
#[non_exhaustive]
pub enum ErrorKind {
    /// No link could be opened; the call had no effect.
    Unreachable,
    /// The link ended or the deadline passed; the call may have taken effect.
    Unanswered,
}

/// Failure of a call to another instance.
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

    /// Returns what went wrong.
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }
}

/// Running server of control links; links end when it is dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    _tasks: JoinSet<()>,
}

impl Server {
    /// Binds an address and answers calls with `service`.
    ///
    /// Links run on the local task set of the calling thread, which is the control thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
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
    let links = Arc::new(Semaphore::new(MAX_LINKS));
    let mut tasks = JoinSet::new();
    loop {
        while tasks.try_join_next().is_some() {}
        // A failed accept concerns one connection; the listener goes on.
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let Ok(permit) = Arc::clone(&links).try_acquire_owned() else {
            continue;
        };
        let (identity, service) = (identity.clone(), service.clone());
        tasks.spawn_local(async move {
            let _permit = permit;
            serve_link(stream, identity, service).await;
        });
    }
}

async fn serve_link<S>(stream: TcpStream, identity: Option<Arc<Identity>>, service: S)
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
        .for_each_concurrent(MAX_REQUESTS, |request| request)
        .await;
}

fn codec() -> tokio_util::codec::length_delimited::Builder {
    let mut builder = LengthDelimitedCodec::builder();
    builder.max_frame_length(MAX_FRAME_BYTES);
    builder
}

/// Control links to other instances, opened on first use and after each failure.
#[derive(Debug, Default)]
pub struct PeerPool {
    identity: Option<Arc<Identity>>,
    links: Mutex<HashMap<SocketAddr, Arc<Mutex<Option<PeerClient>>>>>,
}

impl PeerPool {
    /// Creates a pool without links.
    pub fn new(identity: Option<Arc<Identity>>) -> Self {
        Self {
            identity,
            links: Mutex::default(),
        }
    }

    /// Calls an instance; the answer counts only within `timeout`.
    ///
    /// `call` gets the client of the link and the context that carries the deadline.
    ///
    /// # Errors
    ///
    /// Returns an error of kind [`ErrorKind::Unreachable`] if no link could be opened, and of kind
    /// [`ErrorKind::Unanswered`] if no answer came in time.
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
            Ok(answer) => Ok(answer),
            Err(error) => {
                if !matches!(error, client::RpcError::DeadlineExceeded) {
                    self.forget(address).await;
                }
                Err(Error::new(ErrorKind::Unanswered, address, &error))
            }
        }
    }

    /// Closes the links to every address that `keep` refuses.
    pub async fn retain<F>(&self, keep: F)
    where
        F: Fn(SocketAddr) -> bool,
    {
        self.links.lock().await.retain(|address, _| keep(*address));
    }

    async fn client(&self, address: SocketAddr) -> Result<PeerClient, Error> {
        let link = Arc::clone(self.links.lock().await.entry(address).or_default());
        // Holding the link's own lock lets one caller connect while the others wait for it.
        let mut slot = link.lock().await;
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
            .ok_or_else(|| io::Error::other("peer TLS needs authorities"))?;
        let stream = connector
            .connect(ServerName::from(address.ip()), stream)
            .await?;
        Ok(spawn_client(stream))
    }

    async fn forget(&self, address: SocketAddr) {
        self.links.lock().await.remove(&address);
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
