//! PostgreSQL client sessions, from startup to close.
//!
//! A session reads messages, classifies their statements, checks out an endpoint connection and
//! relays messages in both directions. The control thread decides through [`policy::Policy`] which
//! statements may run and which results may be acknowledged.

pub mod answer;
pub mod cancel;
pub mod guard;
pub mod policy;
pub mod relay;
pub mod session;
pub mod startup;
pub mod work;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use filbertbay_coordination::replica;
use filbertbay_protocol::token::Signer;
use filbertbay_state::key::Digest;
use filbertbay_transport::stream::Stream;
use filbertbay_transport::tls;
use filbertbay_transport::wire::Codec;
use metrics::{counter, gauge};
use slog::{Logger, debug, warn};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::time::{sleep, timeout};
use tokio_util::codec::Framed;

use self::answer::{Refusal, SqlState};
use self::guard::Phase;
use self::policy::Policy;
use self::startup::{ListenerKind, StartupError};
use crate::pool::Pool;

/// Delay before the next accept after an accept error, such as running out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Longest time to send the error to a refused caller and close its connection.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);

/// Message stream of a caller's connection.
pub type Caller = Framed<Stream, Codec>;

/// Dependencies and settings that all sessions of a listener share.
#[derive(Clone, Debug)]
pub struct SessionContext {
    /// Policy that admits statements and confirms results.
    pub policy: Arc<dyn Policy>,
    /// Pool of endpoint connections.
    pub pool: Arc<Pool>,
    /// Signer of session tokens.
    pub signer: Arc<Signer>,
    /// Settings of replica selection.
    pub replicas: replica::Config,
    /// Data centre of this instance.
    pub data_centre: Arc<str>,
    /// Sessions by their cancel keys.
    pub registry: Arc<cancel::Registry>,
    /// Longest time from the accept of a connection to the end of its startup.
    pub startup_timeout: Duration,
    /// Digest of the password that peers send.
    pub peer_secret: Digest,
    /// TLS identity of the listener; without one, connections are in plaintext.
    pub tls: Option<Arc<tls::Identity>>,
    /// Phase of the instance: serving or draining.
    pub phase: watch::Receiver<Phase>,
    /// Logger.
    pub log: Logger,
}

impl SessionContext {
    /// Returns the context for sessions of peers, which are drained after those of callers.
    #[must_use]
    pub fn for_peers(
        &self,
        phase: watch::Receiver<Phase>,
        tls: Option<Arc<tls::Identity>>,
    ) -> Self {
        Self {
            tls,
            phase,
            ..self.clone()
        }
    }
}

/// Handle of a running listener and its sessions.
#[derive(Debug)]
pub struct Handle {
    address: SocketAddr,
    permits: Arc<Semaphore>,
    max_callers: u32,
    accept_task: tokio::task::JoinHandle<()>,
}

/// Starts accepting callers, or peers on the listener of [`ListenerKind::Peers`].
///
/// # Errors
///
/// Returns an error if the local address of the listener can't be read.
pub fn spawn(
    context: Arc<SessionContext>,
    listener_kind: ListenerKind,
    listener: TcpListener,
    max_callers: usize,
) -> std::io::Result<Handle> {
    let address = listener.local_addr()?;
    let max_callers = u32::try_from(max_callers)
        .unwrap_or(u32::MAX)
        .min(Semaphore::MAX_PERMITS as u32);
    let permits = Arc::new(Semaphore::new(max_callers as usize));
    let accept_task = tokio::spawn(accept(
        context,
        listener_kind,
        listener,
        Arc::clone(&permits),
    ));
    Ok(Handle {
        address,
        permits,
        max_callers,
        accept_task,
    })
}

impl Handle {
    /// Returns the local address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections; open sessions continue.
    pub fn stop_accepting(&self) {
        self.accept_task.abort();
    }

    /// Waits until every session has ended.
    pub async fn wait_for_sessions(&self) {
        let _ = self.permits.acquire_many(self.max_callers).await;
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.accept_task.abort();
    }
}

async fn accept(
    context: Arc<SessionContext>,
    listener_kind: ListenerKind,
    listener: TcpListener,
    permits: Arc<Semaphore>,
) {
    loop {
        let (socket, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                warn!(context.log, "accept failed"; "error" => %error);
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let context = Arc::clone(&context);
        match Arc::clone(&permits).try_acquire_owned() {
            Ok(permit) => drop(tokio::spawn(serve(
                context,
                listener_kind,
                socket,
                peer,
                permit,
            ))),
            Err(_) => drop(tokio::spawn(refuse_connection(socket))),
        }
    }
}

async fn serve(
    context: Arc<SessionContext>,
    listener_kind: ListenerKind,
    socket: TcpStream,
    peer: SocketAddr,
    _permit: OwnedSemaphorePermit,
) {
    let callers = gauge!("filbertbay_callers", "door" => listener_kind.as_ref().to_owned());
    callers.increment(1.0);
    match timeout(
        context.startup_timeout,
        startup::run(&context, listener_kind, socket),
    )
    .await
    {
        Ok(Ok(Some(session))) => session.run().await,
        Ok(Ok(None)) => {}
        Ok(Err(StartupError::Refused(mut stream, refusal))) => {
            let sqlstate: &'static str = refusal.sqlstate.into();
            counter!("filbertbay_startups_refused_total", "sqlstate" => sqlstate).increment(1);
            debug!(context.log, "startup refused"; "peer" => %peer, "sqlstate" => sqlstate);
            let sent = stream.write_all(refusal.fatal().bytes().as_ref()).await;
            let _ = (sent, timeout(REFUSAL_TIMEOUT, stream.shutdown()).await);
        }
        Ok(Err(StartupError::Disconnected)) | Err(_) => {
            debug!(context.log, "startup not finished"; "peer" => %peer);
        }
    }
    callers.decrement(1.0);
}

/// Refuses a connection because the instance has reached its limit of callers.
async fn refuse_connection(mut socket: TcpStream) {
    counter!("filbertbay_startups_refused_total", "sqlstate" => "53300").increment(1);
    let refusal = Refusal::new(SqlState::TooManyConnections, "too many callers");
    let sent = async {
        socket.write_all(refusal.fatal().bytes()).await?;
        socket.shutdown().await
    };
    let _ = timeout(REFUSAL_TIMEOUT, sent).await;
}
