//! Calls to other instances, over connections that are opened on first use.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_coordination::share::Message;
use filbertbay_coordination::succession::extent::Extent;
use filbertbay_coordination::usage::Push;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{client, context};
use tokio::net::TcpStream;

use super::{PeerClient, Reach, UsageReply, ViewSnapshot, Watermark, WatermarkReply, codec};
use crate::forward::{ForwardError, ForwardReply, Forwarded, ForwardedStatement};
use crate::store::{Item, Lease};

/// Timeout of a connection attempt, more than three round trips between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after a failed connection attempt during which calls fail without another attempt.
const RECONNECT_DELAY: Duration = Duration::from_millis(250);

/// Timeout of a call with rate limiter messages.
const SHARE_TIMEOUT: Duration = Duration::from_millis(150);

/// Timeout of an exchange of watermarks between two instances of a data centre.
const WATERMARK_TIMEOUT: Duration = Duration::from_millis(300);

/// Timeout of a call with usage counts. Many instances push theirs at the same time.
const USAGE_TIMEOUT: Duration = Duration::from_millis(800);

/// Timeout of a call for a snapshot, which may be some hundred kilobytes.
const VIEW_TIMEOUT: Duration = Duration::from_millis(800);

/// Timeout of a call to release a primary; the callee aborts statements in flight after 200 ms.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(700);

/// Timeout of a call that checks an endpoint.
const REACH_TIMEOUT: Duration = Duration::from_millis(700);

/// Error of a call to another instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum CallError {
    /// The connection was refused: no process listens at the address, or a partition resets
    /// connections.
    Refused,
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
    /// Returns a snapshot of another instance's view, with items if it knows any that are not in `known`;
    /// `None` if it has no contact with the store yet.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer arrived.
    pub async fn view(
        &self,
        to: SocketAddr,
        known: Extent,
    ) -> Result<Option<ViewSnapshot>, CallError> {
        self.call(to, VIEW_TIMEOUT, async move |client, context| {
            client.view(context, known).await
        })
        .await
    }

    /// Like [`Peers::view`], but returns no items.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer arrived.
    pub async fn confirm(&self, to: SocketAddr) -> Result<Option<ViewSnapshot>, CallError> {
        self.call(to, VIEW_TIMEOUT, async move |client, context| {
            client.confirm(context).await
        })
        .await
    }

    /// Returns whether an instance answers within `timeout`.
    pub async fn is_alive(&self, to: SocketAddr, timeout: Duration) -> bool {
        let answer = self.call(to, timeout, async move |client, context| {
            client.confirm(context).await
        });
        answer.await.is_ok()
    }

    /// Like [`Peers::view`], but waits up to `wait` for an item that is not in `known`.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer arrived.
    pub async fn follow(
        &self,
        to: SocketAddr,
        known: Extent,
        wait: Duration,
    ) -> Result<Option<ViewSnapshot>, CallError> {
        self.call(to, wait + VIEW_TIMEOUT, async move |client, context| {
            client.follow(context, known, wait).await
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
            client.vouch(context, lease).await
        })
        .await
    }

    /// Sends the record of a service's primary, and returns whether the instance has released the
    /// previous primary.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer arrived.
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

    /// Pushes usage counts to the instance that reports them.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer arrived.
    pub async fn usage(&self, to: SocketAddr, push: Push) -> Result<Option<UsageReply>, CallError> {
        self.call(to, USAGE_TIMEOUT, async move |client, context| {
            client.usage(context, push).await
        })
        .await
    }

    /// Returns the records of primaries and the allocation of lanes that another instance knows, or none
    /// if they have the digest `known`.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer arrived.
    pub async fn records(&self, to: SocketAddr, known: u64) -> Result<Vec<Item>, CallError> {
        self.call(to, VIEW_TIMEOUT, async move |client, context| {
            client.records(context, known).await
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
            return Err(CallError::Refused);
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
