//! Calls between instances: tarpc over TCP.
//!
//! | call | purpose |
//! |---|---|
//! | `view` | the store as another instance sees it, for one that the store turns away |
//! | `follow` | the same, as soon as it changes, for the many instances of a large data centre |
//! | `vouch` | keeps the entry of such an instance in the store |
//! | `leave` | stops the use of a primary that is being changed |
//! | `reach` | whether another instance gets answers of an endpoint |
//! | `share` | messages of the ledgers of shares |

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_coordination::share::Message;
use futures::StreamExt;
use serde::{Deserialize, Serialize};
use slog::info;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{client, context};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::LengthDelimitedCodec;

use crate::instance::Instance;
use crate::store::{Item, Lease};
use crate::succession;

/// Largest message; the store's listing is at most a few values of a megabyte.
const MAX_FRAME_BYTES: usize = 16 << 20;

/// Requests of one link that are worked on at once.
const MAX_REQUESTS: usize = 64;

/// Longest wait for a link, over three round trips between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after a failed attempt to connect in which no other is made.
const FAILED_PAUSE: Duration = Duration::from_millis(250);

/// Longest wait for an answer about shares.
const SHARE_TIMEOUT: Duration = Duration::from_millis(150);

/// Longest wait for the view, which may be some hundred kilobytes.
const VIEW_TIMEOUT: Duration = Duration::from_millis(800);

/// Time for which changes are gathered before they are passed on.
const GATHER: Duration = Duration::from_millis(100);

/// Longest wait for an instance to leave a primary; it gives up what is in flight after 200 ms.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(700);

/// Longest wait for an instance to try an endpoint.
const REACH_TIMEOUT: Duration = Duration::from_millis(700);

/// The store as an instance sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Sight {
    /// Items, if the asker's are older.
    pub items: Option<Vec<Item>>,
    /// Revision up to which everything is known.
    pub revision: u64,
    /// Time since this was known to be the state of the store.
    pub age: Duration,
}

/// Whether an instance gets answers of an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Reach {
    /// It answered within the last moments.
    Answers,
    /// It did not answer.
    Silent,
}

/// What instances ask each other.
#[tarpc::service]
pub trait Peer {
    /// Returns the store as this instance sees it.
    async fn view(seen: u64) -> Option<Sight>;
    /// Returns the store as this instance sees it once it has something newer, or after the wait.
    async fn follow(seen: u64, wait: Duration) -> Option<Sight>;
    /// Renews the lease of the asker's entry in the store, and tells whether that was done.
    async fn vouch(lease: u64) -> bool;
    /// Stops using the primary of a service, whose record is passed along.
    async fn leave(service: Arc<str>, record: Item) -> bool;
    /// Tells whether this instance gets answers of an endpoint.
    async fn reach(endpoint: Arc<str>) -> Reach;
    /// Handles messages of the ledgers of shares.
    async fn share(from: Arc<str>, messages: Vec<Message>) -> Vec<Message>;
}

#[derive(Clone)]
struct Service(Rc<Instance>);

impl Peer for Service {
    async fn view(self, _: context::Context, seen: u64) -> Option<Sight> {
        sight(&self.0, seen)
    }

    async fn follow(self, _: context::Context, seen: u64, wait: Duration) -> Option<Sight> {
        let mut changed = self.0.view_changed.subscribe();
        let newer = changed.wait_for(|_| self.0.view.borrow().newest() > seen);
        if tokio::time::timeout(wait, newer).await.is_ok() {
            // Changes that come together are passed on together.
            tokio::time::sleep(GATHER).await;
        }
        sight(&self.0, seen)
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
        self.0.take_item(record);
        succession::left(&self.0, &service, revision).await
    }

    async fn reach(self, _: context::Context, endpoint: Arc<str>) -> Reach {
        succession::reach(&self.0, &endpoint).await
    }

    async fn share(
        self,
        _: context::Context,
        from: Arc<str>,
        messages: Vec<Message>,
    ) -> Vec<Message> {
        self.0.quota.receive(self.0.now(), &from, &messages)
    }
}

fn sight(instance: &Instance, seen: u64) -> Option<Sight> {
    let view = instance.view.borrow();
    let age = view.primary_lease.contact_age(instance.now())?;
    let revision = view.revision();
    let items = (view.newest() > seen).then(|| view.listing().items);
    Some(Sight {
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
                    let service = Service(Rc::clone(&instance));
                    tokio::task::spawn_local(serve_link(stream, service));
                }
                Err(error) => {
                    // A failed accept concerns one connection; descriptors may be short for a while.
                    info!(instance.log, "call of an instance not accepted"; "error" => %error);
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            }
        }
    });
}

async fn serve_link(stream: TcpStream, service: Service) {
    if let Err(error) = crate::socket::configure(&stream) {
        info!(service.0.log, "options of a link not set"; "error" => %error);
    }
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

/// Why a call to another instance failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum CallError {
    /// No process listens at the address.
    Absent,
    /// No link or no answer in time.
    Unanswered,
}

/// Link to one instance.
#[derive(Default)]
struct Link {
    client: RefCell<Option<PeerClient>>,
    /// Lets one caller connect while the others wait for it.
    connecting: tokio::sync::Mutex<()>,
    failed: Cell<Option<Instant>>,
}

impl Link {
    /// Returns the client, after connecting if need be.
    async fn client(&self, to: SocketAddr) -> Result<PeerClient, CallError> {
        if let Some(client) = self.client.borrow().as_ref() {
            return Ok(client.clone());
        }
        let _turn = self.connecting.lock().await;
        if let Some(client) = self.client.borrow().as_ref() {
            return Ok(client.clone());
        }
        // Callers that queued behind a failed attempt must not repeat it one after the other.
        if self
            .failed
            .get()
            .is_some_and(|at| at.elapsed() < FAILED_PAUSE)
        {
            return Err(CallError::Unanswered);
        }
        match connect(to).await {
            Ok(client) => {
                *self.client.borrow_mut() = Some(client.clone());
                Ok(client)
            }
            Err(error) => {
                self.failed.set(Some(Instant::now()));
                Err(error)
            }
        }
    }
}

/// Links to other instances, opened on first use and after each failure.
#[derive(Default)]
pub struct Peers {
    links: RefCell<BTreeMap<SocketAddr, Rc<Link>>>,
}

impl std::fmt::Debug for Peers {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Peers").finish_non_exhaustive()
    }
}

impl Peers {
    /// Asks for the store as another instance sees it.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer came.
    pub async fn view(&self, to: SocketAddr, seen: u64) -> Result<Option<Sight>, CallError> {
        self.call(to, VIEW_TIMEOUT, async move |client, context| {
            client.view(context, seen).await
        })
        .await
    }

    /// Waits for something newer at another instance, for `wait` at most.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer came.
    pub async fn follow(
        &self,
        to: SocketAddr,
        seen: u64,
        wait: Duration,
    ) -> Result<Option<Sight>, CallError> {
        self.call(to, wait + VIEW_TIMEOUT, async move |client, context| {
            client.follow(context, seen, wait).await
        })
        .await
    }

    /// Asks an instance to renew a lease.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer came.
    pub async fn vouch(&self, to: SocketAddr, lease: Lease) -> Result<bool, CallError> {
        self.call(to, VIEW_TIMEOUT, async move |client, context| {
            client.vouch(context, lease.0).await
        })
        .await
    }

    /// Asks an instance to stop using the primary of a service.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer came; [`CallError::Absent`] proves that no process runs.
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

    /// Asks an instance whether it gets answers of an endpoint.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer came.
    pub async fn reach(&self, to: SocketAddr, endpoint: Arc<str>) -> Result<Reach, CallError> {
        self.call(to, REACH_TIMEOUT, async move |client, context| {
            client.reach(context, endpoint).await
        })
        .await
    }

    /// Passes messages of shares on, and returns the answers.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer came.
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

    async fn call<F, T>(&self, to: SocketAddr, timeout: Duration, call: F) -> Result<T, CallError>
    where
        F: AsyncFnOnce(PeerClient, context::Context) -> Result<T, client::RpcError>,
    {
        let mut context = context::current();
        context.deadline = Instant::now() + timeout;
        let link = Rc::clone(self.links.borrow_mut().entry(to).or_default());
        let answer = tokio::time::timeout(timeout, async {
            let client = link.client(to).await?;
            call(client, context)
                .await
                .map_err(|_| CallError::Unanswered)
        });
        let answer = answer.await.unwrap_or(Err(CallError::Unanswered));
        if answer.is_err() {
            // A link that stayed silent once may stay so; the next call opens another.
            *link.client.borrow_mut() = None;
        }
        answer
    }
}

async fn connect(to: SocketAddr) -> Result<PeerClient, CallError> {
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
    Ok(PeerClient::new(client::Config::default(), transport).spawn())
}
