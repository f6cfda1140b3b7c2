//! Loopback TCP proxy that injects network faults into the connections through it.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
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
}

/// Handle to a running proxy in front of one address.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    condition: Rc<Cell<NetworkCondition>>,
    connections: Rc<RefCell<JoinSet<()>>>,
}

impl Proxy {
    /// Starts a proxy on a free port that forwards connections to `target`.
    pub async fn bind(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let proxy = Self {
            address: listener.local_addr().unwrap(),
            condition: Rc::default(),
            connections: Rc::default(),
        };
        let accepting = proxy.clone();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let condition = Rc::clone(&accepting.condition);
                let mut connections = accepting.connections.borrow_mut();
                while connections.try_join_next().is_some() {}
                connections.spawn_local(forward(stream, target, condition));
            }
        });
        proxy
    }

    /// Sets the network condition of open and new connections.
    pub fn set_condition(&self, condition: NetworkCondition) {
        self.condition.set(condition);
    }
}

async fn forward(caller: TcpStream, target: SocketAddr, condition: Rc<Cell<NetworkCondition>>) {
    if condition.get() == NetworkCondition::Reset {
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
    };
    let responses = Forwarder {
        carries_responses: true,
        condition,
        is_blackholed,
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
            if condition == NetworkCondition::Reset {
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
            if to.write_all(&chunk[..count]).await.is_err() {
                return;
            }
        }
    }
}
