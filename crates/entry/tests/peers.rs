//! Links to instances that do not answer.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use filbertbay_entry::peer::{CallError, Peers};
use socket2::{Domain, Socket, Type};
use tokio::task::LocalSet;

/// Calls that go to the silent address at once.
const CALLS: usize = 60;

/// Returns a listener whose queue is full, so that new connections hang as behind a partition.
fn dark() -> (Socket, SocketAddr, Vec<Socket>) {
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    listener.bind(&any.into()).unwrap();
    listener.listen(0).unwrap();
    let address = listener.local_addr().unwrap().as_socket().unwrap();
    let fill = (0..4).map(|_| {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_nonblocking(true).unwrap();
        // The first ones fill the queue, the others hang.
        let _ = socket.connect(&address.into());
        socket
    });
    let fill = fill.collect();
    (listener, address, fill)
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

/// Seen on hunt-cac6-3 of adalat-sahulat: each call waited for the attempts of all before it.
#[test]
fn calls_to_a_dark_instance_do_not_queue() {
    run(async || {
        let (_listener, address, _fill) = dark();
        let peers = Rc::new(Peers::default());
        let begun = Instant::now();
        let calls = (0..CALLS).map(|_| peers.view(address, 0));
        let answers = futures::future::join_all(calls).await;
        assert!(
            answers
                .iter()
                .all(|answer| matches!(answer, Err(CallError::Unanswered)))
        );
        assert!(
            begun.elapsed() < Duration::from_secs(2),
            "{:?}",
            begun.elapsed()
        );
    });
}

#[test]
fn an_address_without_a_process_is_told_apart() {
    run(async || {
        let free = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = free.local_addr().unwrap();
        drop(free);
        let peers = Peers::default();
        let answer = peers.view(address, 0).await;
        assert!(matches!(answer, Err(CallError::Absent)), "{answer:?}");
    });
}
