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
//! | `usage` | pushes usage counts to the instance that reports them |
//! | `records` | records that an instance remembers, after the store has returned from a copy |
//! | `forward`, `forward_next`, `forward_end` | runs statements on connections of the called instance |
//! | `confirm` | what the called instance knows of the store, without items |
//!
//! Forwarded statements have a connection of their own, so that slow ones delay no other call.

mod inbound;
mod outbound;

pub use self::outbound::{CallError, Client, Peers, Unanswered};

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use filbertbay_coordination::share::Message;
use filbertbay_coordination::succession::extent::Extent;
use filbertbay_coordination::usage::Push;
use filbertbay_state::position::Position;
use futures::StreamExt;
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use tarpc::context;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tokio::net::TcpListener;
use tokio_util::codec::LengthDelimitedCodec;

use self::inbound::Inbound;
use crate::forward::{self, ForwardError, ForwardReply, Forwarded, ForwardedStatement};
use crate::freshness;
use crate::instance::Instance;
use crate::memory::Budget;
use crate::store::{Item, Lease};
use crate::succession;

/// Largest request; a listing of watermarks of a large fleet has some hundred kilobytes.
const MAX_REQUEST_BYTES: usize = 4 << 20;

/// Connections from other instances take at most the file limit divided by this.
const DESCRIPTOR_DIVISOR: usize = 4;

/// Largest message; a listing of the store consists of at most a few values of a megabyte.
const MAX_FRAME_BYTES: usize = 16 << 20;

/// Requests of one connection that are handled concurrently.
const MAX_CONCURRENT_REQUESTS: usize = 256;

/// Time for which a follow call collects further changes before it answers.
const BATCH_DELAY: Duration = Duration::from_millis(100);

/// Snapshot of an instance's view of the store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ViewSnapshot {
    /// All items, or `None` if the caller knows them or did not ask for them.
    pub items: Option<Vec<Item>>,
    /// Writes of the store that the answering instance knows.
    pub extent: Extent,
    /// Time since this was last known to be the state of the store.
    pub age: Duration,
    /// Whether the answering process may confirm the primary leases of others.
    pub can_confirm: bool,
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

/// Acknowledgement of usage counts.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct UsageReply {
    /// Time by which the clock of the caller is ahead of the median of all instances, in milliseconds;
    /// zero if the difference does not matter.
    pub clock_error_ms: i64,
}

/// RPC service that every instance provides to the other instances.
#[tarpc::service]
pub trait Peer {
    /// Returns a snapshot of this instance's view, with items if it knows any that are not in `known`.
    async fn view(known: Extent) -> Option<ViewSnapshot>;
    /// Returns a snapshot as soon as this instance knows an item that is not in `known`, or after `wait`.
    async fn follow(known: Extent, wait: Duration) -> Option<ViewSnapshot>;
    /// Renews the store lease of the caller's entry, and returns whether that succeeded.
    async fn vouch(lease: Lease) -> bool;
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
    /// Adds usage counts to those to be reported; `None` if this instance does not hold the usage lock
    /// with the fencing token of the push.
    async fn usage(push: Push) -> Option<UsageReply>;
    /// Returns the records of primaries and the allocation of lanes that this instance knows, or none
    /// if they have the digest `known`.
    async fn records(known: u64) -> Vec<Item>;
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
    /// Returns a snapshot without items. A listing of a large fleet has a hundred kilobytes, and half of
    /// the instances are asked for a confirmation.
    async fn confirm() -> Option<ViewSnapshot>;
}

/// Serves the calls of one connection of another instance.
#[derive(Clone)]
struct Service(Rc<Instance>, forward::ConnectionId);

impl Peer for Service {
    async fn view(self, _: context::Context, known: Extent) -> Option<ViewSnapshot> {
        snapshot(&self.0, Some(&known))
    }

    async fn follow(
        self,
        _: context::Context,
        known: Extent,
        wait: Duration,
    ) -> Option<ViewSnapshot> {
        let mut changed = self.0.view_changed.subscribe();
        let newer = changed.wait_for(|_| !known.covers(&self.0.view.borrow().extent()));
        if tokio::time::timeout(wait, newer).await.is_ok() {
            // Changes in quick succession are sent together.
            tokio::time::sleep(BATCH_DELAY).await;
        }
        snapshot(&self.0, Some(&known))
    }

    async fn vouch(self, _: context::Context, lease: Lease) -> bool {
        let renewed = self.0.drivers.store.renew(lease).await;
        if let Err(error) = &renewed {
            info!(self.0.log, "lease of another instance not renewed"; "error" => %error);
        }
        renewed.is_ok()
    }

    async fn leave(self, _: context::Context, service: Arc<str>, record: Item) -> bool {
        let revision = record.revision;
        self.0.apply_item(record);
        let is_released = succession::wait_until_released(&self.0, &service, revision).await;
        info!(self.0.log, "release of a primary requested"; "service" => service.as_ref(),
            "record_revision" => revision, "released" => is_released,
            "statements" => self.0.primary_uses.count(&service));
        is_released
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

    async fn usage(self, _: context::Context, push: Push) -> Option<UsageReply> {
        self.0.usage.receive(&self.0, &push)
    }

    async fn records(self, _: context::Context, known: u64) -> Vec<Item> {
        let view = self.0.view.borrow();
        if view.records_digest() == known {
            return Vec::new();
        }
        view.own_records()
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

    async fn confirm(self, _: context::Context) -> Option<ViewSnapshot> {
        snapshot(&self.0, None)
    }
}

/// Returns a snapshot of the view, with items if they are asked for and not all in `known`.
fn snapshot(instance: &Instance, known: Option<&Extent>) -> Option<ViewSnapshot> {
    let view = instance.view.borrow();
    let age = view.primary_lease.contact_age(instance.now())?;
    let extent = view.extent();
    let is_newer = known.is_some_and(|known| !known.covers(&extent));
    let items = is_newer.then(|| view.listing().items);
    Some(ViewSnapshot {
        items,
        extent,
        age,
        can_confirm: view.primary_lease.can_confirm(),
    })
}

/// Serves other instances until the process ends.
pub fn serve(listener: TcpListener, instance: Rc<Instance>) {
    let settings = instance.settings();
    let budget = Budget::new(settings.peer_memory());
    let max_connections = settings.file_limit / DESCRIPTOR_DIVISOR;
    let tokens = Rc::new(());
    tokio::task::spawn_local(async move {
        loop {
            match listener.accept().await {
                Ok((_, from)) if Rc::strong_count(&tokens) > max_connections => {
                    count_closed("connections");
                    warn!(instance.log, "connection to the port of instances turned away, too many";
                        "from" => %from, "limit" => max_connections);
                }
                Ok((stream, _)) => {
                    let connection = instance.forwards.leases.next_connection();
                    let service = Service(Rc::clone(&instance), connection);
                    let (stream, token) = (Inbound::new(stream, &budget), Rc::clone(&tokens));
                    tokio::task::spawn_local(async move {
                        serve_connection(stream, service).await;
                        drop(token);
                    });
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

fn count_closed(cause: &'static str) {
    metrics::counter!("filbertbay_peers_closed_total", "cause" => cause).increment(1);
}

async fn serve_connection(stream: Inbound, service: Service) {
    if let Err(error) = stream.configure() {
        info!(service.0.log, "socket options of a peer connection not set"; "error" => %error);
    }
    let (instance, connection) = (Rc::clone(&service.0), service.1);
    let mut codec = codec();
    codec.max_frame_length(MAX_REQUEST_BYTES);
    let framed = codec.new_framed(stream);
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
