//! Calls between instances, as tarpc over TCP.
//!
//! | call | purpose |
//! |---|---|
//! | `view` | snapshot of the store, for instances that can't reach it |
//! | `follow` | the same as a long poll, for the instances of a large data centre that do not watch the store |
//! | `vouch` | renews the store lease of an instance that can't reach the store |
//! | `leave` | releases a primary that is being changed |
//! | `reach` | whether another instance gets answers from an endpoint |
//! | `share` | messages of the rate limiters about loans of tokens |
//! | `watermarks` | exchanges the positions of primaries that prove the freshness of replicas |
//! | `forward`, `forward_next`, `forward_end` | runs statements on connections of the called instance |
//!
//! Forwarded statements have a connection of their own, so that slow ones delay no other call.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_coordination::share::Message;
use filbertbay_state::position::Position;
use futures::StreamExt;
use serde::{Deserialize, Serialize};
use slog::info;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{client, context};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::LengthDelimitedCodec;

use crate::forward::{self, ForwardError, ForwardReply, Forwarded, ForwardedStatement};
use crate::freshness;
use crate::instance::Instance;
use crate::store::{Item, Lease};
use crate::succession;

/// Largest message; a listing of the store consists of at most a few values of a megabyte.
const MAX_FRAME_BYTES: usize = 16 << 20;

/// Requests of one connection that are handled concurrently.
const MAX_CONCURRENT_REQUESTS: usize = 256;

/// Timeout of a connection attempt, more than three round trips between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after a failed connection attempt during which calls fail without another attempt.
const RECONNECT_DELAY: Duration = Duration::from_millis(250);

/// Timeout of a call with rate limiter messages.
const SHARE_TIMEOUT: Duration = Duration::from_millis(150);

/// Timeout of an exchange of watermarks between two instances of a data centre.
const WATERMARK_TIMEOUT: Duration = Duration::from_millis(300);

/// Timeout of a call for a snapshot, which may be some hundred kilobytes.
const VIEW_TIMEOUT: Duration = Duration::from_millis(800);

/// Time for which a follow call collects further changes before it answers.
const BATCH_DELAY: Duration = Duration::from_millis(100);

/// Timeout of a call to release a primary; the callee aborts statements in flight after 200 ms.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(700);

/// Timeout of a call that checks an endpoint.
const REACH_TIMEOUT: Duration = Duration::from_millis(700);

/// Revision seen, in a call for a view, that asks only for the newest revision known. A listing of a
/// large fleet has a hundred kilobytes, and half of the instances are asked for a confirmation.
pub const NO_ITEMS: u64 = u64::MAX;

/// Snapshot of an instance's view of the store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ViewSnapshot {
    /// All items, or `None` if the caller's are not older.
    pub items: Option<Vec<Item>>,
    /// Revision up to which all changes are known; the newest known one in an answer to [`NO_ITEMS`].
    pub revision: u64,
    /// Time since this was last known to be the state of the store.
    pub age: Duration,
}

/// Whether an instance gets answers from an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Reach {
    /// The endpoint answered recently or to a status query.
    Answers,
    /// The endpoint did not answer.
    Silent,
}

/// Position of a primary that one instance passes on to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Watermark {
    /// Service of the primary.
    pub service: Arc<str>,
    /// Primary that stated the position.
    pub endpoint: Arc<str>,
    /// Revision of the record that names the primary.
    pub revision: u64,
    /// Position that the primary stated.
    pub position: Position,
    /// When the primary was asked: a time on the receiver's clock in a request, the age at the time of
    /// the answer in an answer.
    pub asked: Duration,
}

/// Answer to an exchange of watermarks.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WatermarkReply {
    /// Incarnation of the answering process, whose clock starts at zero.
    pub incarnation: u64,
    /// Time of the answering process's clock.
    pub now: Duration,
    /// Latest watermarks that the answering process knows.
    pub watermarks: Vec<Watermark>,
}

/// RPC service that every instance provides to the other instances.
#[tarpc::service]
pub trait Peer {
    /// Returns a snapshot of this instance's view, with items if it knows a revision above `seen`.
    async fn view(seen: u64) -> Option<ViewSnapshot>;
    /// Returns a snapshot as soon as this instance knows a revision above `seen`, or after `wait`.
    async fn follow(seen: u64, wait: Duration) -> Option<ViewSnapshot>;
    /// Renews the store lease of the caller's entry, and returns whether that succeeded.
    async fn vouch(lease: u64) -> bool;
    /// Applies the record of a service's primary, and returns whether this instance has released the
    /// previous primary.
    async fn leave(service: Arc<str>, record: Item) -> bool;
    /// Returns whether this instance gets answers from an endpoint.
    async fn reach(endpoint: Arc<str>) -> Reach;
    /// Handles rate limiter messages and returns the replies to the caller.
    async fn share(from: Arc<str>, messages: Vec<Message>) -> Vec<Message>;
    /// Records watermarks whose times are on the clock of `incarnation` of this instance, and returns
    /// those that this instance knows.
    async fn watermarks(incarnation: u64, reported: Vec<Watermark>) -> WatermarkReply;
    /// Runs a statement on a connection of this instance, and keeps that for the transaction that the
    /// statement began.
    async fn forward(statement: Forwarded) -> Result<ForwardReply, ForwardError>;
    /// Runs the next statement of a forwarded transaction.
    async fn forward_next(
        lease: u64,
        statement: ForwardedStatement,
    ) -> Result<ForwardReply, ForwardError>;
    /// Rolls a forwarded transaction back.
    async fn forward_end(lease: u64);
}

/// Serves the calls of one connection of another instance.
#[derive(Clone)]
struct Service(Rc<Instance>, forward::ConnectionId);

impl Peer for Service {
    async fn view(self, _: context::Context, seen: u64) -> Option<ViewSnapshot> {
        snapshot_newer_than(&self.0, seen)
    }

    async fn follow(self, _: context::Context, seen: u64, wait: Duration) -> Option<ViewSnapshot> {
        let mut changed = self.0.view_changed.subscribe();
        let newer = changed.wait_for(|_| self.0.view.borrow().newest_revision() > seen);
        if tokio::time::timeout(wait, newer).await.is_ok() {
            // Changes in quick succession are sent together.
            tokio::time::sleep(BATCH_DELAY).await;
        }
        snapshot_newer_than(&self.0, seen)
    }

    async fn vouch(self, _: context::Context, lease: u64) -> bool {
        let renewed = self.0.drivers.store.renew(Lease(lease)).await;
        if let Err(error) = &renewed {
            info!(self.0.log, "lease of another instance not renewed"; "error" => %error);
        }
        renewed.is_ok()
    }

    async fn leave(self, _: context::Context, service: Arc<str>, record: Item) -> bool {
        let revision = record.revision;
        self.0.apply_item(record);
        succession::wait_until_released(&self.0, &service, revision).await
    }

    async fn reach(self, _: context::Context, endpoint: Arc<str>) -> Reach {
        succession::check_reachability(&self.0, &endpoint).await
    }

    async fn share(
        self,
        _: context::Context,
        from: Arc<str>,
        messages: Vec<Message>,
    ) -> Vec<Message> {
        self.0.quota.handle_messages(self.0.now(), &from, &messages)
    }

    async fn watermarks(
        self,
        _: context::Context,
        incarnation: u64,
        reported: Vec<Watermark>,
    ) -> WatermarkReply {
        freshness::handle_report(&self.0, incarnation, &reported)
    }

    async fn forward(
        self,
        _: context::Context,
        statement: Forwarded,
    ) -> Result<ForwardReply, ForwardError> {
        forward::lease::handle_first(&self.0, self.1, statement).await
    }

    async fn forward_next(
        self,
        _: context::Context,
        lease: u64,
        statement: ForwardedStatement,
    ) -> Result<ForwardReply, ForwardError> {
        forward::lease::handle_next(&self.0, self.1, lease, statement).await
    }

    async fn forward_end(self, _: context::Context, lease: u64) {
        forward::lease::handle_end(&self.0, self.1, lease);
    }
}

fn snapshot_newer_than(instance: &Instance, seen: u64) -> Option<ViewSnapshot> {
    let view = instance.view.borrow();
    let age = view.primary_lease.contact_age(instance.now())?;
    let items = (view.newest_revision() > seen).then(|| view.listing().items);
    let revision = if seen == NO_ITEMS {
        view.newest_revision()
    } else {
        view.revision()
    };
    Some(ViewSnapshot {
        items,
        revision,
        age,
    })
}

/// Serves other instances until the process ends.
pub fn serve(listener: TcpListener, instance: Rc<Instance>) {
    tokio::task::spawn_local(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let connection = instance.forwards.leases.next_connection();
                    let service = Service(Rc::clone(&instance), connection);
                    tokio::task::spawn_local(serve_connection(stream, service));
                }
                Err(error) => {
                    // A failed accept concerns one connection; file descriptors may be exhausted.
                    info!(instance.log, "connection from another instance not accepted"; "error" => %error);
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            }
        }
    });
}

async fn serve_connection(stream: TcpStream, service: Service) {
    if let Err(error) = crate::socket::configure(&stream) {
        info!(service.0.log, "socket options of a peer connection not set"; "error" => %error);
    }
    let (instance, connection) = (Rc::clone(&service.0), service.1);
    let framed = codec().new_framed(stream);
    let transport = tarpc::serde_transport::new(framed, Bincode::default());
    let requests = BaseChannel::with_defaults(transport).execute(service.serve());
    requests
        .for_each_concurrent(MAX_CONCURRENT_REQUESTS, |request| request)
        .await;
    forward::lease::handle_disconnect(&instance, connection);
}

fn codec() -> tokio_util::codec::length_delimited::Builder {
    let mut builder = LengthDelimitedCodec::builder();
    builder.max_frame_length(MAX_FRAME_BYTES);
    builder
}

/// Error of a call to another instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum CallError {
    /// The connection was refused, so no process listens at the address.
    Absent,
    /// No connection or no answer within the timeout.
    Unanswered,
}

/// Why a call that was sent has no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Unanswered {
    /// No answer arrived within the timeout.
    TimedOut,
    /// The connection ended.
    Closed,
}

/// Client of another instance over one connection.
#[derive(Clone)]
pub struct Client {
    calls: PeerClient,
    is_closed: Rc<Cell<bool>>,
}

impl std::fmt::Debug for Client {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Client").finish_non_exhaustive()
    }
}

impl Client {
    /// Forwards a statement.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer arrived within `timeout`; the statement may run then.
    pub async fn forward(
        &self,
        timeout: Duration,
        statement: Forwarded,
    ) -> Result<Result<ForwardReply, ForwardError>, Unanswered> {
        self.call(timeout, async move |client, context| {
            client.forward(context, statement).await
        })
        .await
    }

    /// Forwards the next statement of a transaction.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer arrived within `timeout`; the statement may run then.
    pub async fn forward_next(
        &self,
        timeout: Duration,
        lease: u64,
        statement: ForwardedStatement,
    ) -> Result<Result<ForwardReply, ForwardError>, Unanswered> {
        self.call(timeout, async move |client, context| {
            client.forward_next(context, lease, statement).await
        })
        .await
    }

    /// Rolls a forwarded transaction back.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer arrived; the lease ends by its timeout then.
    pub async fn forward_end(&self, lease: u64) -> Result<(), Unanswered> {
        self.call(VIEW_TIMEOUT, async move |client, context| {
            client.forward_end(context, lease).await
        })
        .await
    }

    async fn call<F, T>(&self, timeout: Duration, call: F) -> Result<T, Unanswered>
    where
        F: AsyncFnOnce(PeerClient, context::Context) -> Result<T, client::RpcError>,
    {
        let mut context = context::current();
        context.deadline = Instant::now() + timeout;
        let answer = tokio::time::timeout(timeout, call(self.calls.clone(), context));
        match answer.await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(client::RpcError::DeadlineExceeded)) | Err(_) => Err(Unanswered::TimedOut),
            Ok(Err(_)) => Err(Unanswered::Closed),
        }
    }
}

/// Connection to one instance.
#[derive(Default)]
struct PeerConnection {
    client: RefCell<Option<Client>>,
    /// Serialises connection attempts; concurrent calls wait for the first one.
    connecting: tokio::sync::Mutex<()>,
    failed_at: Cell<Option<Instant>>,
}

impl PeerConnection {
    /// Returns the client of an open connection.
    fn open_client(&self) -> Option<Client> {
        let client = self.client.borrow().clone();
        client.filter(|client| !client.is_closed.get())
    }

    /// Returns the client, connecting first if there is none.
    async fn client(&self, to: SocketAddr) -> Result<Client, CallError> {
        if let Some(client) = self.open_client() {
            return Ok(client);
        }
        let _turn = self.connecting.lock().await;
        if let Some(client) = self.open_client() {
            return Ok(client);
        }
        // Calls that waited for a failed attempt must not repeat it one after another.
        if self
            .failed_at
            .get()
            .is_some_and(|at| at.elapsed() < RECONNECT_DELAY)
        {
            return Err(CallError::Unanswered);
        }
        match connect(to).await {
            Ok(client) => {
                *self.client.borrow_mut() = Some(client.clone());
                Ok(client)
            }
            Err(error) => {
                self.failed_at.set(Some(Instant::now()));
                Err(error)
            }
        }
    }
}

/// Connections to other instances, opened on first use and reopened after a failure.
#[derive(Default)]
pub struct Peers {
    connections: RefCell<BTreeMap<SocketAddr, Rc<PeerConnection>>>,
    /// Connections for forwarded statements.
    forwards: RefCell<BTreeMap<SocketAddr, Rc<PeerConnection>>>,
}

impl std::fmt::Debug for Peers {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Peers").finish_non_exhaustive()
    }
}

impl Peers {
    /// Returns a snapshot of another instance's view, with items if it knows a revision above `seen`;
    /// `None` if it has no contact with the store yet.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer arrived.
    pub async fn view(&self, to: SocketAddr, seen: u64) -> Result<Option<ViewSnapshot>, CallError> {
        self.call(to, VIEW_TIMEOUT, async move |client, context| {
            client.view(context, seen).await
        })
        .await
    }

    /// Returns whether an instance answers within `timeout`.
    pub async fn is_alive(&self, to: SocketAddr, timeout: Duration) -> bool {
        let answer = self.call(to, timeout, async move |client, context| {
            client.view(context, NO_ITEMS).await
        });
        answer.await.is_ok()
    }

    /// Like [`Peers::view`], but waits up to `wait` for a revision above `seen`.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer arrived.
    pub async fn follow(
        &self,
        to: SocketAddr,
        seen: u64,
        wait: Duration,
    ) -> Result<Option<ViewSnapshot>, CallError> {
        self.call(to, wait + VIEW_TIMEOUT, async move |client, context| {
            client.follow(context, seen, wait).await
        })
        .await
    }

    /// Asks an instance to renew a store lease, and returns whether that succeeded.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer arrived.
    pub async fn vouch(&self, to: SocketAddr, lease: Lease) -> Result<bool, CallError> {
        self.call(to, VIEW_TIMEOUT, async move |client, context| {
            client.vouch(context, lease.0).await
        })
        .await
    }

    /// Sends the record of a service's primary, and returns whether the instance has released the
    /// previous primary.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer arrived; [`CallError::Absent`] proves that no process runs.
    pub async fn leave(
        &self,
        to: SocketAddr,
        service: Arc<str>,
        record: Item,
    ) -> Result<bool, CallError> {
        self.call(to, LEAVE_TIMEOUT, async move |client, context| {
            client.leave(context, service, record).await
        })
        .await
    }

    /// Asks an instance whether it gets answers from an endpoint.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer arrived.
    pub async fn reach(&self, to: SocketAddr, endpoint: Arc<str>) -> Result<Reach, CallError> {
        self.call(to, REACH_TIMEOUT, async move |client, context| {
            client.reach(context, endpoint).await
        })
        .await
    }

    /// Sends rate limiter messages, and returns the replies.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer arrived.
    pub async fn share(
        &self,
        to: SocketAddr,
        from: Arc<str>,
        messages: Vec<Message>,
    ) -> Result<Vec<Message>, CallError> {
        self.call(to, SHARE_TIMEOUT, async move |client, context| {
            client.share(context, from, messages).await
        })
        .await
    }

    /// Reports watermarks whose times are on the clock of `incarnation` of the called instance, and
    /// returns those that it knows.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer arrived.
    pub async fn watermarks(
        &self,
        to: SocketAddr,
        incarnation: u64,
        reported: Vec<Watermark>,
    ) -> Result<WatermarkReply, CallError> {
        self.call(to, WATERMARK_TIMEOUT, async move |client, context| {
            client.watermarks(context, incarnation, reported).await
        })
        .await
    }

    /// Returns a client for forwarded statements, connecting first if there is none.
    ///
    /// # Errors
    ///
    /// Returns an error if no connection could be opened, so that nothing was sent.
    pub async fn forward_client(&self, to: SocketAddr) -> Result<Client, CallError> {
        let connection = Rc::clone(self.forwards.borrow_mut().entry(to).or_default());
        connection.client(to).await
    }

    /// Opens a new connection for the next forwarded statement in place of that of `failed`.
    /// Transactions go on over the old one.
    pub fn replace_forward_client(&self, to: SocketAddr, failed: &Client) {
        if let Some(connection) = self.forwards.borrow().get(&to) {
            let mut client = connection.client.borrow_mut();
            client.take_if(|client| Rc::ptr_eq(&client.is_closed, &failed.is_closed));
        }
    }

    async fn call<F, T>(&self, to: SocketAddr, timeout: Duration, call: F) -> Result<T, CallError>
    where
        F: AsyncFnOnce(PeerClient, context::Context) -> Result<T, client::RpcError>,
    {
        let mut context = context::current();
        context.deadline = Instant::now() + timeout;
        let connection = Rc::clone(self.connections.borrow_mut().entry(to).or_default());
        let answer = tokio::time::timeout(timeout, async {
            let client = connection.client(to).await?;
            call(client.calls, context)
                .await
                .map_err(|_| CallError::Unanswered)
        });
        let answer = answer.await.unwrap_or(Err(CallError::Unanswered));
        if answer.is_err() {
            // A connection that failed to answer may be dead; the next call opens another.
            *connection.client.borrow_mut() = None;
        }
        answer
    }
}

async fn connect(to: SocketAddr) -> Result<Client, CallError> {
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await;
    let stream = match connected {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            return Err(CallError::Absent);
        }
        Ok(Err(_)) | Err(_) => return Err(CallError::Unanswered),
    };
    crate::socket::configure(&stream).map_err(|_| CallError::Unanswered)?;
    let framed = codec().new_framed(stream);
    let transport = tarpc::serde_transport::new(framed, Bincode::default());
    let new = PeerClient::new(client::Config::default(), transport);
    let is_closed = Rc::new(Cell::new(false));
    let closed = Rc::clone(&is_closed);
    tokio::task::spawn_local(async move {
        // The calls in flight report the error.
        let _ = new.dispatch.await;
        closed.set(true);
    });
    Ok(Client {
        calls: new.client,
        is_closed,
    })
}
