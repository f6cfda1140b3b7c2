//! Options of the TCP connections of an instance.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Time after which a connection with unacknowledged data is closed. An open connection may stop
/// carrying data for good while new ones work.
const USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Idle time after which keepalive probes are sent.
const KEEPALIVE_TIME: Duration = Duration::from_secs(15);

/// Time between two keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// Disables Nagle's algorithm and sets the user timeout and keepalive of a connection.
///
/// # Errors
///
/// Returns an error if the operating system rejects an option.
pub fn configure(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_TIME)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)
}
