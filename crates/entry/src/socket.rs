//! Options of TCP connections.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Time after which a connection whose data is not acknowledged is closed. Connections may go silent
/// for good while new ones work.
const USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Silence after which a connection is probed.
const KEEPALIVE_TIME: Duration = Duration::from_secs(15);

/// Time between two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// Sets the options that every connection of an instance has.
///
/// # Errors
///
/// Returns an error if the system refuses an option.
pub fn configure(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_TIME)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)
}
