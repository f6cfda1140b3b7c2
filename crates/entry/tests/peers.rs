//! Calls to instances that do not answer.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use filbertbay_entry::peer::{CallError, Peers};
use socket2::{Domain, Socket, Type};
use tokio::task::LocalSet;

/// Concurrent calls to the unresponsive address.
const CALLS: usize = 60;

/// Returns a listener whose accept queue is full, so that new connections hang as in a partition.
fn unresponsive_listener() -> (Socket, SocketAddr, Vec<Socket>) {
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    listener.bind(&any.into()).unwrap();
    listener.listen(0).unwrap();
    let address = listener.local_addr().unwrap().as_socket().unwrap();
    let pending = (0..4).map(|_| {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_nonblocking(true).unwrap();
        // The first connections fill the queue, the rest hang.
        let _ = socket.connect(&address.into());
        socket
    });
    let pending = pending.collect();
    (listener, address, pending)
}

fn run<F, R>(test: F)
where
    F: FnOnce() -> R,
    R: Future<Output = ()>,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, test());
}

/// Guards against calls that connect one after another: each call waited for the connection attempts
/// of all calls before it (seen in run hunt-cac6-3 of adalat-sahulat).
#[test]
fn calls_to_an_unresponsive_instance_fail_within_one_connection_attempt() {
    run(async || {
        let (_listener, address, _pending) = unresponsive_listener();
        let peers = Rc::new(Peers::default());
        let start = Instant::now();
        let calls = (0..CALLS).map(|_| peers.view(address, 0));
        let answers = futures::future::join_all(calls).await;
        assert!(
            answers
                .iter()
                .all(|answer| matches!(answer, Err(CallError::Unanswered)))
        );
        assert!(
            start.elapsed() < Duration::from_secs(2),
            "{:?}",
            start.elapsed()
        );
    });
}

#[test]
fn a_refused_connection_is_reported_as_refused() {
    run(async || {
        let address = check::free_address();
        let peers = Peers::default();
        let answer = peers.view(address, 0).await;
        assert!(matches!(answer, Err(CallError::Refused)), "{answer:?}");
    });
}
