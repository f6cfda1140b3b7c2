//! Malformed, oversized and arbitrary input from callers.

#![allow(
    clippy::needless_pass_by_value,
    reason = "quickcheck passes its arguments by value"
)]

mod common;

use std::net::SocketAddr;
use std::sync::LazyLock;

use bytes::{BufMut, BytesMut};
use common::{
    DEADLINE, Fixture, KEY, Options, STARTUP_TIMEOUT, connect, spawn, sqlstate, wait_until,
};
use pgwire::messages::Message;
use pgwire::messages::startup::{Password, Startup};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::runtime::Runtime;
use tokio::time::timeout;
use tokio_postgres::Client;

/// Sends bytes, shuts the write side down and returns the bytes received until the instance closes.
async fn exchange(address: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).await.expect("accepted");
    // The instance may close before it has read everything.
    let _ = stream.write_all(bytes).await;
    let _ = stream.shutdown().await;
    let mut response = Vec::new();
    let _ = timeout(DEADLINE, stream.read_to_end(&mut response))
        .await
        .expect("closed in time");
    response
}

fn startup_message() -> BytesMut {
    let mut startup = Startup::new();
    for (name, value) in [("user", "shop"), ("database", "orders")] {
        startup.parameters.insert(name.into(), value.into());
    }
    let mut bytes = BytesMut::new();
    startup.encode(&mut bytes).expect("short");
    bytes
}

fn startup_and_password() -> BytesMut {
    let mut bytes = startup_message();
    Password::new(KEY.to_owned())
        .encode(&mut bytes)
        .expect("short");
    bytes
}

fn contains(bytes: &[u8], text: &str) -> bool {
    bytes
        .windows(text.len())
        .any(|window| window == text.as_bytes())
}

/// Instance shared by all cases of a property.
struct Instance {
    runtime: Runtime,
    fixture: Fixture,
    client: Client,
}

static INSTANCE: LazyLock<Instance> = LazyLock::new(|| {
    let runtime = Runtime::new().expect("a runtime");
    let fixture = runtime.block_on(spawn(Options::default()));
    let client = runtime.block_on(fixture.connect());
    Instance {
        runtime,
        fixture,
        client,
    }
});

/// Returns a login followed by messages of known kinds with arbitrary bodies.
fn login_with_frames(bytes: &[u8], kinds: &[u8]) -> BytesMut {
    const KINDS: &[u8] = b"QPBDECHSXpdcf";
    const BODY: usize = 24;
    let body = &bytes[..bytes.len() % BODY];
    let mut frames = startup_and_password();
    for kind in kinds {
        frames.put_u8(KINDS[usize::from(*kind) % KINDS.len()]);
        frames.put_u32(body.len() as u32 + 4);
        frames.put_slice(body);
    }
    frames
}

#[test]
fn arbitrary_bytes_do_not_affect_other_sessions() {
    fn property(bytes: Vec<u8>, kinds: Vec<u8>) -> bool {
        let instance = &*INSTANCE;
        let address = instance.fixture.callers.address();
        instance.runtime.block_on(async {
            exchange(address, &bytes).await;
            exchange(address, &[&startup_and_password()[..], &bytes].concat()).await;
            exchange(address, &login_with_frames(&bytes, &kinds)).await;
            instance.client.query_one("SELECT 1", &[]).await.is_ok()
        })
    }
    check::runner(60).quickcheck(property as fn(Vec<u8>, Vec<u8>) -> bool);
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_startups_are_refused_as_protocol_violations() {
    let fixture = spawn(Options::default()).await;
    let address = fixture.callers.address();
    let long = [&u32::MAX.to_be_bytes()[..], b"GET / HTTP/1.1"].concat();
    let old = [&8_u32.to_be_bytes()[..], &[0, 2, 0, 0]].concat();
    for bytes in [long, old] {
        let response = exchange(address, &bytes).await;
        assert!(contains(&response, "08P01"), "{response:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_oversized_message_ends_the_session_with_a_fatal_error() {
    let fixture = spawn(Options::default()).await;
    let mut bytes = startup_and_password();
    bytes.put_u8(b'Q');
    bytes.put_u32(1 << 30);
    let response = exchange(fixture.callers.address(), &bytes).await;
    assert!(contains(&response, "08P01"), "{response:?}");
    assert!(contains(&response, "FATAL"), "{response:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_beyond_the_limit_are_refused() {
    let fixture = spawn(Options {
        max_callers: 2,
        ..Options::default()
    })
    .await;
    let first = fixture.connect().await;
    let _second = fixture.connect().await;
    let refused = connect(&fixture.config()).await.expect_err("full");
    assert_eq!(sqlstate(&refused), "53300");
    drop(first);
    wait_until("a free place", async || {
        connect(&fixture.config()).await.is_ok()
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_caller_is_closed_after_the_startup_timeout() {
    let fixture = spawn(Options {
        max_callers: 1,
        ..Options::default()
    })
    .await;
    let mut silent = TcpStream::connect(fixture.callers.address())
        .await
        .expect("accepted");
    silent.write_all(&startup_message()).await.expect("sent");
    let mut response = Vec::new();
    let ended = timeout(
        STARTUP_TIMEOUT + DEADLINE,
        silent.read_to_end(&mut response),
    )
    .await;
    assert!(ended.is_ok(), "the connection is still open");
    wait_until("a free place", async || {
        connect(&fixture.config()).await.is_ok()
    })
    .await;
}
