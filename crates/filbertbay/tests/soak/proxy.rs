//! Loopback TCP proxy that injects network faults into the connections through it.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinSet;

/// Size of the forwarding buffer in bytes.
const CHUNK_BYTES: usize = 16 * 1024;

/// Interval at which an idle connection checks the network condition.
const CONDITION_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Network condition of a proxy's connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum NetworkCondition {
    /// Data is forwarded without a fault.
    #[default]
    Normal,
    /// Each chunk is delayed by the duration.
    Delayed(Duration),
    /// Responses are dropped. A connection that lost data forwards nothing from then on.
    DropResponses,
    /// Nothing is forwarded, and affected connections forward nothing even after the fault ends.
    Blackhole,
    /// Open and new connections are reset.
    Reset,
    /// Open connections are reset, and nothing listens at the address.
    Refused,
}

/// Handle to a running proxy in front of one address.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    condition: Rc<Cell<NetworkCondition>>,
    changed: Rc<Notify>,
    /// Number of changes of the condition.
    changes: Rc<Cell<u64>>,
    connections: Rc<RefCell<JoinSet<()>>>,
}

/// Text of the same length that replaces another in responses.
type Replacement = Option<(Rc<str>, Rc<str>)>;

impl Proxy {
    /// Starts a proxy on a free port that forwards connections to `target`.
    pub async fn bind(target: SocketAddr) -> Self {
        Self::bind_at(([127, 0, 0, 1], 0).into(), target, None).await
    }

    /// Starts a proxy at an address that forwards connections to `target` and replaces text in the
    /// responses.
    pub async fn bind_at(
        address: SocketAddr,
        target: SocketAddr,
        replacement: Option<(&str, &str)>,
    ) -> Self {
        let listener = TcpListener::bind(address).await.unwrap();
        let proxy = Self {
            address: listener.local_addr().unwrap(),
            condition: Rc::default(),
            changed: Rc::default(),
            changes: Rc::default(),
            connections: Rc::default(),
        };
        let replacement = replacement.map(|(from, to)| (from.into(), to.into()));
        tokio::task::spawn_local(proxy.clone().accept(listener, target, replacement));
        proxy
    }

    async fn accept(self, listener: TcpListener, target: SocketAddr, replacement: Replacement) {
        let mut listener = Some(listener);
        loop {
            if self.condition.get() == NetworkCondition::Refused {
                listener = None;
                self.changed.notified().await;
                continue;
            }
            let bound = match listener.take() {
                Some(bound) => Ok(bound),
                None => TcpListener::bind(self.address).await,
            };
            let Ok(bound) = bound else {
                tokio::time::sleep(CONDITION_POLL_INTERVAL).await;
                continue;
            };
            tokio::select! {
                accepted = bound.accept() => if let Ok((stream, _)) = accepted {
                    let condition = Rc::clone(&self.condition);
                    let mut connections = self.connections.borrow_mut();
                    while connections.try_join_next().is_some() {}
                    connections.spawn_local(forward(stream, target, condition, replacement.clone()));
                },
                () = self.changed.notified() => {}
            }
            listener = Some(bound);
        }
    }

    /// Sets the network condition of open and new connections. Returns the number with which
    /// [`Proxy::lift`] ends it.
    pub fn set_condition(&self, condition: NetworkCondition) -> u64 {
        self.condition.set(condition);
        self.changes.set(self.changes.get() + 1);
        self.changed.notify_one();
        self.changes.get()
    }

    /// Ends a condition unless another one has been imposed since.
    pub fn lift(&self, change: u64) {
        if self.changes.get() == change {
            self.set_condition(NetworkCondition::Normal);
        }
    }
}

/// Returns whether connections are reset under a condition.
fn is_reset(condition: NetworkCondition) -> bool {
    matches!(
        condition,
        NetworkCondition::Reset | NetworkCondition::Refused
    )
}

async fn forward(
    caller: TcpStream,
    target: SocketAddr,
    condition: Rc<Cell<NetworkCondition>>,
    replacement: Replacement,
) {
    if is_reset(condition.get()) {
        return reset_on_close(&caller);
    }
    // The caller sees a reset if the target cannot be reached.
    let Ok(server) = TcpStream::connect(target).await else {
        return reset_on_close(&caller);
    };
    let is_blackholed = Rc::new(Cell::new(false));
    let (from_caller, to_caller) = caller.into_split();
    let (from_server, to_server) = server.into_split();
    let requests = Forwarder {
        carries_responses: false,
        condition: Rc::clone(&condition),
        is_blackholed: Rc::clone(&is_blackholed),
        replacement: None,
    };
    let responses = Forwarder {
        carries_responses: true,
        condition,
        is_blackholed,
        replacement,
    };
    tokio::select! {
        () = requests.run(from_caller, to_server) => {}
        () = responses.run(from_server, to_caller) => {}
    }
}

fn reset_on_close(stream: &TcpStream) {
    // With zero linger, closing the socket sends a reset. Setting it fails only on a dead socket.
    let _ = stream.set_zero_linger();
}

/// Forwards one direction of a connection.
struct Forwarder {
    carries_responses: bool,
    condition: Rc<Cell<NetworkCondition>>,
    is_blackholed: Rc<Cell<bool>>,
    replacement: Replacement,
}

impl Forwarder {
    async fn run(self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
        let mut chunk = vec![0; CHUNK_BYTES];
        loop {
            let read = tokio::time::timeout(CONDITION_POLL_INTERVAL, from.read(&mut chunk)).await;
            let condition = self.condition.get();
            if condition == NetworkCondition::Blackhole {
                self.is_blackholed.set(true);
            }
            if is_reset(condition) {
                return reset_on_close(to.as_ref());
            }
            let count = match read {
                Err(_) => continue,
                Ok(Ok(0)) | Ok(Err(_)) => return,
                Ok(Ok(count)) => count,
            };
            if let NetworkCondition::Delayed(delay) = condition {
                tokio::time::sleep(delay).await;
            }
            let is_dropped = condition == NetworkCondition::DropResponses && self.carries_responses;
            if self.is_blackholed.get() || is_dropped {
                self.is_blackholed.set(true);
                continue;
            }
            if let Some((from, to)) = &self.replacement {
                replace(&mut chunk[..count], from.as_bytes(), to.as_bytes());
            }
            if to.write_all(&chunk[..count]).await.is_err() {
                return;
            }
        }
    }
}

/// Replaces every occurrence of a text by another of the same length.
fn replace(bytes: &mut [u8], from: &[u8], to: &[u8]) {
    let mut start = 0;
    while let Some(offset) = bytes[start..]
        .windows(from.len())
        .position(|one| one == from)
    {
        start += offset;
        bytes[start..start + to.len()].copy_from_slice(to);
        start += to.len();
    }
}
