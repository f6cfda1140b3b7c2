//! Crowds of misbehaving clients against a process of `filbertbay entry`.
//!
//! Each test plays one kind of client with lowered limits, and checks that the process lives, that its
//! peak of resident memory and its descriptors stay within the settings, and that an ordinary request is
//! answered while the crowd is still connected. A test waits for conditions, and measures no times.

#[path = "../../../platform/tests/common/mod.rs"]
mod common;
mod crowd;

use std::net::SocketAddr;
use std::time::Duration;

use common::{Caller, KEY, TestCluster, run};
use crowd::{Daemon, free_address};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::{Mutex, MutexGuard};
use tokio::task::JoinSet;

/// Memory of the machine in the settings, a quarter of that of the users' machines.
const MEMORY_MB: usize = 64;

/// Clients of a crowd. Their messages together fill the memory of the settings.
const CROWD: usize = 64;

/// Descriptors in the settings: 600 are reserved, the rest is for callers.
const FILE_LIMIT: usize = 700;

/// Longest legal message, with room for its words.
const LARGE_BYTES: usize = (1 << 20) - 64;

/// Time in the settings for one message or one answer.
const CALLER_TIMEOUT_MS: u64 = 3_000;

/// Time for which a crowd plays before the process is checked.
const PLAY_TIME: Duration = Duration::from_secs(2);

/// Tests measure a process, so one runs at a time.
static SERIAL: Mutex<()> = Mutex::const_new(());

struct Stage {
    cluster: TestCluster,
    daemon: Daemon,
    callers: SocketAddr,
    peers: SocketAddr,
    _turn: MutexGuard<'static, ()>,
}

impl Stage {
    async fn set() -> Self {
        let turn = SERIAL.lock().await;
        let cluster = TestCluster::start().await;
        let (callers, peers) = (free_address(), free_address());
        let settings = json!({
            "name": "quimper-1", "data_centre": "quimper", "data_centres": {"quimper": "bretagne"},
            "callers": callers, "readiness": free_address(), "readiness_path": "/ready",
            "peers": peers, "metrics": free_address(), "seeds": [],
            "store": cluster.platform.address, "failover": cluster.platform.address,
            "grace_s": 6, "leave_ms": 7000, "file_limit": FILE_LIMIT,
            "memory_mb": MEMORY_MB, "caller_timeout_ms": CALLER_TIMEOUT_MS
        });
        let daemon = Daemon::start("entry", &settings);
        let stage = Self {
            cluster,
            daemon,
            callers,
            peers,
            _turn: turn,
        };
        stage.wait_until_served().await;
        stage
    }

    /// Waits until an ordinary write and a read of it are answered.
    async fn wait_until_served(&self) {
        let served = async {
            loop {
                if self.is_served().await {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        let served = tokio::time::timeout(Duration::from_mins(1), served).await;
        assert!(served.is_ok(), "no ordinary request was answered in 60 s");
    }

    async fn is_served(&self) -> bool {
        let Ok(probe) = TcpStream::connect(self.callers).await else {
            return false;
        };
        drop(probe);
        let request = async {
            let (mut caller, first) = Caller::connect(self.callers, "orders", KEY).await;
            first.starts_with("READY")
                && caller.query("WRITE a1 lily").await[0].starts_with("COMPLETE i-")
                && caller.query("READ a1").await[0] == "ROW lily"
        };
        // A refused request is tried again, as by a client that waits at most its time limit.
        let answered = tokio::time::timeout(Duration::from_secs(5), request).await;
        answered.unwrap_or(false)
    }

    /// Checks the process while the crowd is connected, and again without it.
    async fn check(mut self, crowd: JoinSet<()>) {
        tokio::time::sleep(PLAY_TIME).await;
        self.check_process();
        self.wait_until_served().await;
        self.check_process();
        drop(crowd);
        self.wait_until_served().await;
        self.check_process();
    }

    fn check_process(&mut self) {
        assert!(self.daemon.is_alive(), "the process has ended");
        let (peak, descriptors) = (self.daemon.peak_kib(), self.daemon.descriptors());
        println!("peak {peak} KiB, {descriptors} descriptors");
        assert!(peak <= MEMORY_MB << 10, "peak of {peak} KiB");
        assert!(descriptors <= FILE_LIMIT, "{descriptors} descriptors");
    }

    /// Stores an item of a megabyte, less some words.
    async fn store_large_item(&self) {
        let (mut caller, _) = Caller::connect(self.callers, "orders", KEY).await;
        let answer = caller
            .query(&format!("WRITE big {}", large(LARGE_BYTES)))
            .await;
        assert!(answer[0].starts_with("COMPLETE i-"), "{}", answer[0]);
    }
}

fn large(bytes: usize) -> String {
    "x".repeat(bytes)
}

/// Opens a session with a small receive buffer, and returns its stream.
async fn open(address: SocketAddr) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.set_recv_buffer_size(16 << 10).ok()?;
    let mut stream = socket.connect(address).await.ok()?;
    let start = format!("START orders {KEY}\r\n");
    stream.write_all(start.as_bytes()).await.ok()?;
    let mut ready = [0; 9];
    stream.read_exact(&mut ready).await.ok()?;
    Some(stream)
}

/// Reads and discards what arrives until the connection ends.
async fn drain(stream: &mut TcpStream) {
    let mut buffer = vec![0; 4 << 10];
    while matches!(stream.read(&mut buffer).await, Ok(count) if count > 0) {}
}

/// Sends `bytes` in pieces with a pause after each, then keeps the connection open without reading.
async fn send_in_pieces(stream: &mut TcpStream, bytes: &[u8], piece: usize, pause: Duration) {
    for piece in bytes.chunks(piece) {
        if stream.write_all(piece).await.is_err() {
            return;
        }
        tokio::time::sleep(pause).await;
    }
}

/// Starts a crowd whose clients each run `play` on an open session.
fn start<F, R>(address: SocketAddr, count: usize, play: F) -> JoinSet<()>
where
    F: Fn(usize, TcpStream) -> R + Clone + 'static,
    R: Future<Output = ()>,
{
    let mut crowd = JoinSet::new();
    for number in 0..count {
        let play = play.clone();
        crowd.spawn_local(async move {
            if let Some(stream) = open(address).await {
                play(number, stream).await;
            }
        });
    }
    crowd
}

/// The clients send messages of legal size at the same time, each in one piece.
#[test]
fn entry_many_large_messages_at_once() {
    run(async || {
        let stage = Stage::set().await;
        stage.cluster.group.set_work(Duration::from_millis(100));
        let crowd = start(
            stage.callers,
            CROWD,
            async |number, mut stream: TcpStream| {
                let message = format!("QUERY w{number} WRITE b{number} {}\r\n", large(LARGE_BYTES));
                for _ in 0..4 {
                    if stream.write_all(message.as_bytes()).await.is_err() {
                        return;
                    }
                }
                drain(&mut stream).await;
            },
        );
        stage.check(crowd).await;
    });
}

/// The same in small pieces, so that all messages grow side by side.
#[test]
fn entry_many_large_messages_in_small_pieces() {
    run(async || {
        let stage = Stage::set().await;
        stage.cluster.group.set_work(Duration::from_millis(100));
        let crowd = start(
            stage.callers,
            CROWD,
            async |number, mut stream: TcpStream| {
                let message = format!("QUERY w{number} WRITE b{number} {}\r\n", large(LARGE_BYTES));
                let pause = Duration::from_millis(1);
                send_in_pieces(&mut stream, message.as_bytes(), 8 << 10, pause).await;
                drain(&mut stream).await;
            },
        );
        stage.check(crowd).await;
    });
}

/// The clients send messages without an end.
#[test]
fn entry_messages_far_over_the_limit() {
    run(async || {
        let stage = Stage::set().await;
        let crowd = start(
            stage.callers,
            CROWD,
            async |number, mut stream: TcpStream| {
                let begin = format!("QUERY w{number} WRITE b{number} {}", large(32 << 10));
                let mut sent = stream.write_all(begin.as_bytes()).await;
                let piece = large(64 << 10);
                // 16 MB, sixteen times the limit.
                for _ in 0..256 {
                    if sent.is_err() {
                        return;
                    }
                    sent = stream.write_all(piece.as_bytes()).await;
                }
            },
        );
        stage.check(crowd).await;
    });
}

/// The clients send many small requests ahead, and read no answer.
#[test]
fn entry_requests_sent_ahead_without_reading() {
    run(async || {
        let stage = Stage::set().await;
        let crowd = start(
            stage.callers,
            CROWD,
            async |number, mut stream: TcpStream| {
                let requests = format!("QUERY r{number} READ a1\r\n").repeat(1_000);
                while stream.write_all(requests.as_bytes()).await.is_ok() {}
            },
        );
        stage.check(crowd).await;
    });
}

/// A few clients send large session values ahead, each of legal size, which a session keeps.
#[test]
fn entry_large_session_values_sent_ahead() {
    run(async || {
        let stage = Stage::set().await;
        let crowd = start(stage.callers, 4, async |number, mut stream: TcpStream| {
            for count in 0..CROWD {
                let message = format!(
                    "QUERY s{number}.{count} SET v{count} {}\r\n",
                    large(LARGE_BYTES)
                );
                if stream.write_all(message.as_bytes()).await.is_err() {
                    return;
                }
            }
            drain(&mut stream).await;
        });
        stage.check(crowd).await;
    });
}

/// The clients send most of a large message at once and the rest very slowly.
#[test]
fn entry_slow_senders() {
    run(async || {
        let stage = Stage::set().await;
        let crowd = start(
            stage.callers,
            2 * CROWD,
            async |number, mut stream: TcpStream| {
                let message = format!(
                    "QUERY w{number} WRITE b{number} {}",
                    large(LARGE_BYTES - 4_096)
                );
                if stream.write_all(message.as_bytes()).await.is_err() {
                    return;
                }
                let pause = Duration::from_millis(200);
                send_in_pieces(&mut stream, large(4_000).as_bytes(), 1, pause).await;
            },
        );
        stage.check(crowd).await;
    });
}

/// The clients request large answers and read them very slowly.
#[test]
fn entry_slow_readers_of_large_answers() {
    run(async || {
        let stage = Stage::set().await;
        stage.store_large_item().await;
        let crowd = start(
            stage.callers,
            CROWD,
            async |number, mut stream: TcpStream| {
                for count in 0..16 {
                    let request = format!("QUERY r{number}.{count} READ big\r\n");
                    if stream.write_all(request.as_bytes()).await.is_err() {
                        return;
                    }
                }
                let mut byte = [0];
                while matches!(stream.read(&mut byte).await, Ok(count) if count > 0) {
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
            },
        );
        stage.check(crowd).await;
    });
}

/// The clients stop in the middle of a large message. The process closes their connections.
#[test]
fn entry_stops_half_way() {
    run(async || {
        let stage = Stage::set().await;
        let before = stage.daemon.descriptors();
        let crowd = start(
            stage.callers,
            CROWD,
            async |number, mut stream: TcpStream| {
                let message = format!("QUERY w{number} WRITE b{number} {}", large(LARGE_BYTES / 2));
                let _ = stream.write_all(message.as_bytes()).await;
                std::future::pending::<()>().await;
            },
        );
        tokio::time::sleep(PLAY_TIME).await;
        let closed = async {
            // Connections to endpoints and the store come and go.
            while stage.daemon.descriptors() > before + CROWD / 2 {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        let closed = tokio::time::timeout(Duration::from_mins(1), closed).await;
        assert!(closed.is_ok(), "{} descriptors", stage.daemon.descriptors());
        stage.check(crowd).await;
    });
}

/// Clients that stop in the middle of large messages lose the memory that they hold: a large message of
/// another client is served while they stay connected.
#[test]
fn entry_stopped_clients_release_their_memory() {
    run(async || {
        let stage = Stage::set().await;
        let crowd = start(
            stage.callers,
            CROWD,
            async |number, mut stream: TcpStream| {
                let message = format!("QUERY w{number} WRITE b{number} {}", large(LARGE_BYTES / 2));
                let _ = stream.write_all(message.as_bytes()).await;
                std::future::pending::<()>().await;
            },
        );
        tokio::time::sleep(PLAY_TIME).await;
        let text = format!("WRITE big {}", large(LARGE_BYTES));
        let served = async {
            loop {
                let (mut caller, _) = Caller::connect(stage.callers, "orders", KEY).await;
                let message = format!("QUERY large {text}\r\n");
                let sent = caller.try_send(&message).await;
                if sent && caller.read_line().await.starts_with("COMPLETE i-") {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
        };
        let served = tokio::time::timeout(Duration::from_mins(1), served).await;
        assert!(served.is_ok(), "no large message was served in 60 s");
        stage.check(crowd).await;
    });
}

/// Clients that read too slowly lose the memory that they hold: a large answer to another client is
/// served while they stay.
#[test]
fn entry_slow_readers_release_their_memory() {
    run(async || {
        let stage = Stage::set().await;
        stage.store_large_item().await;
        let crowd = start(
            stage.callers,
            CROWD,
            async |number, mut stream: TcpStream| {
                for count in 0..16 {
                    let request = format!("QUERY r{number}.{count} READ big\r\n");
                    if stream.write_all(request.as_bytes()).await.is_err() {
                        return;
                    }
                }
                let mut byte = [0];
                while matches!(stream.read(&mut byte).await, Ok(count) if count > 0) {
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
            },
        );
        tokio::time::sleep(PLAY_TIME).await;
        let served = async {
            loop {
                let (mut caller, _) = Caller::connect(stage.callers, "orders", KEY).await;
                if caller.query("READ big").await[0].starts_with("ROW xxx") {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
        };
        let served = tokio::time::timeout(Duration::from_mins(1), served).await;
        assert!(served.is_ok(), "no large answer was served in 60 s");
        stage.check(crowd).await;
    });
}

/// More clients than the process has descriptors for connect, and send nothing.
#[test]
fn entry_idle_connections() {
    run(async || {
        let stage = Stage::set().await;
        let mut crowd = JoinSet::new();
        let address = stage.callers;
        for _ in 0..2 * FILE_LIMIT {
            crowd.spawn_local(async move {
                // A client that is turned away comes again.
                while let Ok(mut stream) = TcpStream::connect(address).await {
                    drain(&mut stream).await;
                    tokio::time::sleep(Duration::from_millis(500)).await;
                }
            });
        }
        stage.check(crowd).await;
    });
}

/// Programs that are no instances send the begin of large frames to the port of the other instances.
#[test]
fn entry_half_frames_on_the_peer_port() {
    run(async || {
        let stage = Stage::set().await;
        let mut crowd = JoinSet::new();
        let address = stage.peers;
        for _ in 0..CROWD {
            crowd.spawn_local(async move {
                let mut stream = TcpStream::connect(address).await.unwrap();
                let length: u32 = 16 << 20;
                let _ = stream.write_all(&length.to_be_bytes()).await;
                let piece = vec![0; 64 << 10];
                for _ in 0..32 {
                    if stream.write_all(&piece).await.is_err() {
                        return;
                    }
                }
                std::future::pending::<()>().await;
            });
        }
        stage.check(crowd).await;
    });
}
