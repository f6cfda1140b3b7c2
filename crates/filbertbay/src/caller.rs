//! Callers: PostgreSQL sessions from startup to end.
//!
//! A session takes messages, classifies their statements, leases an endpoint connection and relays
//! messages in both directions. What it may do is decided by control, behind [`policy::Policy`].

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

use self::answer::{Refusal, State};
use self::guard::Phase;
use self::policy::Policy;
use self::startup::{Failure, ListenerKind};
use crate::pool::Pool;

/// Wait after the listener has failed, such as for want of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Time that a refused caller has to take the reason.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);

/// Messages of a caller.
pub type Caller = Framed<Stream, Codec>;

/// What all sessions of an instance share.
#[derive(Clone, Debug)]
pub struct SessionContext {
    /// What control decides.
    pub policy: Arc<dyn Policy>,
    /// Endpoint connections.
    pub pool: Arc<Pool>,
    /// Signer of session tokens.
    pub signer: Arc<Signer>,
    /// How replicas are chosen.
    pub replicas: replica::Config,
    /// Data centre of this instance.
    pub data_centre: Arc<str>,
    /// Sessions by their cancel keys.
    pub registry: Arc<cancel::Registry>,
    /// Time from a caller's connection to the end of its startup.
    pub startup_timeout: Duration,
    /// Digest of the password that other instances present.
    pub peer_secret: Digest,
    /// TLS towards the other side of the listener.
    pub tls: Option<Arc<tls::Identity>>,
    /// Phase of the instance.
    pub phase: watch::Receiver<Phase>,
    /// Log.
    pub log: Logger,
}

impl SessionContext {
    /// Returns what sessions of other instances share; they end later than those of callers.
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

/// Listener for callers.
#[derive(Debug)]
pub struct Handle {
    address: SocketAddr,
    permits: Arc<Semaphore>,
    max_callers: u32,
    accept_task: tokio::task::JoinHandle<()>,
}

/// Starts to accept callers, or other instances on a listener of their own.
///
/// # Errors
///
/// Returns an error if the listener has no address.
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
    /// Returns the address that callers connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops to accept callers; sessions go on.
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
        startup::open(&context, listener_kind, socket),
    )
    .await
    {
        Ok(Ok(Some(session))) => session.run().await,
        Ok(Ok(None)) => {}
        Ok(Err(Failure::Refused(mut stream, refusal))) => {
            let state: &'static str = refusal.state.into();
            counter!("filbertbay_startups_refused_total", "sqlstate" => state).increment(1);
            debug!(context.log, "startup refused"; "peer" => %peer, "sqlstate" => state);
            let farewell = stream.write_all(refusal.fatal().bytes().as_ref()).await;
            let _ = (farewell, timeout(REFUSAL_TIMEOUT, stream.shutdown()).await);
        }
        Ok(Err(Failure::Gone)) | Err(_) => {
            debug!(context.log, "startup not finished"; "peer" => %peer);
        }
    }
    callers.decrement(1.0);
}

/// Tells a caller that the instance is full.
async fn refuse_connection(mut socket: TcpStream) {
    counter!("filbertbay_startups_refused_total", "sqlstate" => "53300").increment(1);
    let refusal = Refusal::new(State::TooMany, "too many callers");
    let farewell = async {
        socket.write_all(refusal.fatal().bytes()).await?;
        socket.shutdown().await
    };
    let _ = timeout(REFUSAL_TIMEOUT, farewell).await;
}
