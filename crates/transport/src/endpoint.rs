//! Connections to members of database groups.
//!
//! A connection authenticates with the proxy's own credentials and never with those of a caller.
//! An instance that can't reach a member forwards over another instance; such a connection differs
//! only in an additional startup parameter, see [`Target::member`].
//!
//! [`ControlConnection`] carries status queries and orders that concern the member itself.

mod control;

pub use self::control::{ControlConnection, parse_row};

use std::net::{Shutdown, SocketAddr};
use std::os::fd::AsFd;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use futures::{SinkExt, StreamExt};
use pgwire::messages::Message;
use pgwire::messages::cancel::CancelRequest;
use pgwire::messages::simplequery::Query;
use pgwire::messages::startup::{Password, SecretKey, SslRequest, Startup};
use rustls::pki_types::ServerName;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Framed;

use crate::stream::Stream;
use crate::tls::Identity;
use crate::wire::{Codec, Frame, kind};

/// Maximum length in bytes of a message from an endpoint.
pub const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// Timeout of a cancel request, including connecting.
pub const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of bytes read in response to a cancel request; endpoints should send none.
const MAX_CANCEL_RESPONSE_BYTES: u64 = 1024;

/// Startup parameter that names the member to which a peer should connect.
pub const MEMBER_PARAMETER: &str = "filbertbay.member";

/// Kind of an [`Error`].
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "snake_case")]
#[non_exhaustive]
pub enum ErrorKind {
    /// The endpoint could not be reached, or not in time.
    Unreachable,
    /// The endpoint refused the connection.
    Refused,
    /// The connection failed or was closed by the endpoint.
    Broken,
    /// The endpoint violated the protocol or uses an unsupported part of it.
    Malformed,
}

/// Error of an endpoint connection.
#[derive(Debug, thiserror::Error)]
#[error("endpoint {address}: {kind}: {message}")]
pub struct Error {
    kind: ErrorKind,
    address: SocketAddr,
    message: String,
    sqlstate: Option<String>,
}

impl Error {
    fn new<M>(kind: ErrorKind, address: SocketAddr, message: M) -> Self
    where
        M: Into<String>,
    {
        let message = message.into();
        Self {
            kind,
            address,
            message,
            sqlstate: None,
        }
    }

    /// Returns the kind of the error.
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }

    /// Returns the SQLSTATE with which the endpoint refused the connection, if it sent one.
    pub fn sqlstate(&self) -> Option<&str> {
        self.sqlstate.as_deref()
    }
}

/// Address and credentials of a connection to an endpoint.
#[derive(Clone)]
pub struct Target {
    /// Address to connect to.
    pub address: SocketAddr,
    /// Database to connect to.
    pub database: Arc<str>,
    /// User to authenticate as.
    pub user: Arc<str>,
    /// Password of the user; the only supported method is cleartext authentication.
    pub password: Arc<str>,
    /// Name of this instance, sent as `application_name`.
    pub application: Arc<str>,
    /// Member to reach, if the address is that of a peer that forwards to it.
    pub member: Option<Arc<str>>,
    /// TLS identity to present; without one the connection is in plaintext.
    pub tls: Option<Arc<Identity>>,
}

impl std::fmt::Debug for Target {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Target")
            .field("address", &self.address)
            .field("member", &self.member)
            .finish_non_exhaustive()
    }
}

impl Target {
    fn startup(&self) -> Startup {
        let mut startup = Startup::new();
        let parameters = &mut startup.parameters;
        let mut put = |name: &str, value: &str| parameters.insert(name.into(), value.into());
        put("user", &self.user);
        put("database", &self.database);
        put("application_name", &self.application);
        put("client_encoding", "UTF8");
        if let Some(member) = &self.member {
            put(MEMBER_PARAMETER, member);
        }
        startup
    }
}

/// Address and key of the cancel requests for one connection.
#[derive(Clone, Debug)]
pub struct CancelKey {
    address: SocketAddr,
    pid: i32,
    secret: i32,
    tls: Option<Arc<Identity>>,
}

impl CancelKey {
    /// Requests cancellation of the statement that runs on the connection, and waits until the
    /// endpoint has accepted the request.
    ///
    /// # Errors
    ///
    /// Returns an error if the request could not be delivered within [`CANCEL_TIMEOUT`].
    pub async fn cancel(&self) -> Result<(), Error> {
        let fail = |error: String| Error::new(ErrorKind::Unreachable, self.address, error);
        timeout(CANCEL_TIMEOUT, self.deliver())
            .await
            .map_err(|_| fail("cancel request timed out".into()))?
    }

    async fn deliver(&self) -> Result<(), Error> {
        let fail =
            |error: std::io::Error| Error::new(ErrorKind::Broken, self.address, error.to_string());
        let socket = TcpStream::connect(self.address).await.map_err(fail)?;
        let stream = match &self.tls {
            Some(identity) => negotiate_tls(identity, socket, self.address).await?,
            None => Stream::Plain(socket),
        };
        self.send(stream).await.map_err(fail)
    }

    async fn send(&self, mut stream: Stream) -> std::io::Result<()> {
        let mut buffer = BytesMut::new();
        CancelRequest::new(self.pid, SecretKey::I32(self.secret)).encode(&mut buffer)?;
        stream.write_all(&buffer).await?;
        // The endpoint closes the connection once it has accepted the request.
        let mut response = Vec::new();
        stream
            .take(MAX_CANCEL_RESPONSE_BYTES)
            .read_to_end(&mut response)
            .await?;
        Ok(())
    }
}

/// Duplicate of a connection's socket, with which another task can shut the connection down.
#[derive(Debug)]
pub struct AbortHandle(std::net::TcpStream);

impl AbortHandle {
    fn new(socket: &TcpStream) -> std::io::Result<Self> {
        let handle = socket.as_fd().try_clone_to_owned()?;
        Ok(Self(handle.into()))
    }

    /// Shuts the connection down immediately, even while another task uses it.
    pub fn abort(&self) {
        // Fails if the endpoint has already closed the connection, which is no error here.
        let _ = self.0.shutdown(Shutdown::Both);
    }
}

/// Open connection to an endpoint.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    abort_handle: Arc<AbortHandle>,
    stream: Framed<Stream, Codec>,
    cancel_key: CancelKey,
    parameters: Vec<Frame>,
}

impl Connection {
    /// Connects to `target` and authenticates.
    ///
    /// # Errors
    ///
    /// Returns an error if the endpoint does not accept statements within `connect_timeout`.
    pub async fn open(target: &Target, connect_timeout: Duration) -> Result<Self, Error> {
        timeout(connect_timeout, Self::connect(target))
            .await
            .unwrap_or_else(|_| {
                Err(Error::new(
                    ErrorKind::Unreachable,
                    target.address,
                    "connecting timed out",
                ))
            })
    }

    async fn connect(target: &Target) -> Result<Self, Error> {
        let address = target.address;
        let unreachable =
            |error: std::io::Error| Error::new(ErrorKind::Unreachable, address, error.to_string());
        let socket = TcpStream::connect(address).await.map_err(unreachable)?;
        socket.set_nodelay(true).map_err(unreachable)?;
        let abort_handle = Arc::new(AbortHandle::new(&socket).map_err(unreachable)?);
        let mut stream = match &target.tls {
            Some(identity) => negotiate_tls(identity, socket, address).await?,
            None => Stream::Plain(socket),
        };
        let mut buffer = BytesMut::new();
        target
            .startup()
            .encode(&mut buffer)
            .map_err(|error| Error::new(ErrorKind::Malformed, address, error.to_string()))?;
        stream.write_all(&buffer).await.map_err(unreachable)?;
        let mut connection = Self {
            address,
            abort_handle,
            stream: Framed::new(stream, Codec::new(MAX_MESSAGE_BYTES)),
            cancel_key: CancelKey {
                address,
                pid: 0,
                secret: 0,
                tls: target.tls.clone(),
            },
            parameters: Vec::new(),
        };
        connection.authenticate(target).await?;
        Ok(connection)
    }

    async fn authenticate(&mut self, target: &Target) -> Result<(), Error> {
        loop {
            let frame = self.receive().await?;
            match frame.kind() {
                kind::AUTHENTICATION => self.handle_authentication(&frame, target).await?,
                kind::BACKEND_KEY => self.set_cancel_key(&frame)?,
                kind::PARAMETER_STATUS => self.parameters.push(frame),
                kind::READY => return Ok(()),
                kind::ERROR => return Err(self.refused(&frame)),
                _ => {}
            }
        }
    }

    async fn handle_authentication(&mut self, frame: &Frame, target: &Target) -> Result<(), Error> {
        const OK: u32 = 0;
        const CLEARTEXT: u32 = 3;
        match read_u32(frame.body(), 0) {
            Some(OK) => Ok(()),
            Some(CLEARTEXT) => {
                let message = Password::new(target.password.as_ref().to_owned());
                self.send_message(&message).await
            }
            _ => Err(self.malformed("authentication method is not supported")),
        }
    }

    fn set_cancel_key(&mut self, frame: &Frame) -> Result<(), Error> {
        let pid = read_u32(frame.body(), 0);
        let secret = read_u32(frame.body(), 4);
        let (Some(pid), Some(secret)) = (pid, secret) else {
            return Err(self.malformed("backend key data is too short"));
        };
        self.cancel_key.pid = pid.cast_signed();
        self.cancel_key.secret = secret.cast_signed();
        Ok(())
    }

    /// Returns the address of the endpoint, or of the peer that forwards to it.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the handle with which another task can shut the connection down.
    pub fn abort_handle(&self) -> &Arc<AbortHandle> {
        &self.abort_handle
    }

    /// Returns the key for cancel requests to this connection.
    pub fn cancel_key(&self) -> &CancelKey {
        &self.cancel_key
    }

    /// Returns the parameter status messages that the endpoint sent before it became ready.
    pub fn parameters(&self) -> &[Frame] {
        &self.parameters
    }

    /// Returns true if no received data is unread and the endpoint has not closed the connection.
    ///
    /// May consume a byte of unread data, so a connection that is not reusable must be dropped.
    pub fn is_reusable(&self) -> bool {
        let mut byte = [0; 1];
        let unread = self.stream.get_ref().socket().try_read(&mut byte);
        self.stream.read_buffer().is_empty()
            && matches!(unread, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
    }

    /// Receives the next message.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection failed or the endpoint sent an invalid frame.
    pub async fn receive(&mut self) -> Result<Frame, Error> {
        match self.stream.next().await {
            Some(Ok(frame)) => Ok(frame),
            Some(Err(error)) if error.kind() == std::io::ErrorKind::InvalidData => {
                Err(self.malformed(error.to_string()))
            }
            Some(Err(error)) => Err(self.broken(error.to_string())),
            None => Err(self.broken("closed by the endpoint")),
        }
    }

    /// Returns true if the buffer holds a received message, or a part of one.
    pub fn has_buffered_input(&self) -> bool {
        !self.stream.read_buffer().is_empty()
    }

    /// Queues a message; [`Connection::flush`] sends it.
    ///
    /// Messages already queued are sent first if they fill the buffer.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection failed.
    pub async fn feed(&mut self, frame: Frame) -> Result<(), Error> {
        let sent = self.stream.feed(frame).await;
        sent.map_err(|error| self.broken(error.to_string()))
    }

    /// Sends all queued messages.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection failed.
    pub async fn flush(&mut self) -> Result<(), Error> {
        let sent = SinkExt::<Frame>::flush(&mut self.stream).await;
        sent.map_err(|error| self.broken(error.to_string()))
    }

    async fn send_message<M>(&mut self, message: &M) -> Result<(), Error>
    where
        M: Message,
    {
        let frame =
            Frame::from_message(message).map_err(|error| self.malformed(error.to_string()))?;
        self.feed(frame).await?;
        self.flush().await
    }

    /// Runs `sql` as a simple query and returns all messages up to and including ready for query.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection failed. An error of the statement is one of the messages.
    pub async fn query(&mut self, sql: &str) -> Result<Vec<Frame>, Error> {
        self.send_message(&Query::new(sql.to_owned())).await?;
        let mut frames = Vec::new();
        loop {
            let frame = self.receive().await?;
            let ready = frame.kind() == kind::READY;
            frames.push(frame);
            if ready {
                return Ok(frames);
            }
        }
    }

    fn refused(&self, frame: &Frame) -> Error {
        let message = frame.error_field(b'M').unwrap_or("no reason given");
        let mut error = Error::new(ErrorKind::Refused, self.address, message);
        error.sqlstate = frame.error_field(b'C').map(str::to_owned);
        error
    }

    fn malformed<M>(&self, message: M) -> Error
    where
        M: Into<String>,
    {
        Error::new(ErrorKind::Malformed, self.address, message)
    }

    fn broken<M>(&self, message: M) -> Error
    where
        M: Into<String>,
    {
        Error::new(ErrorKind::Broken, self.address, message)
    }
}

/// Response to a TLS request by an endpoint that supports TLS.
const TLS_ACCEPTED: u8 = b'S';

/// Negotiates TLS; fails if the endpoint refuses it, without falling back to plaintext.
async fn negotiate_tls(
    identity: &Identity,
    mut socket: TcpStream,
    address: SocketAddr,
) -> Result<Stream, Error> {
    let fail = |reason: String| Error::new(ErrorKind::Unreachable, address, reason);
    let connector = identity
        .connector()
        .map_err(|error| fail(error.to_string()))?;
    let connector =
        connector.ok_or_else(|| fail("no certificate authorities are set".to_owned()))?;
    let mut request = BytesMut::new();
    let encoded = SslRequest::new().encode(&mut request);
    encoded.map_err(|error| fail(error.to_string()))?;
    socket
        .write_all(&request)
        .await
        .map_err(|error| fail(error.to_string()))?;
    let response = socket
        .read_u8()
        .await
        .map_err(|error| fail(error.to_string()))?;
    if response != TLS_ACCEPTED {
        return Err(fail("TLS was refused".to_owned()));
    }
    let name = ServerName::from(address.ip());
    let stream = connector.connect(name, socket).await;
    let stream = stream.map_err(|error| fail(error.to_string()))?;
    Ok(Stream::Tls(Box::new(stream.into())))
}

/// Reads a big-endian integer at `offset`, or returns `None` if the body ends before its end.
fn read_u32(body: &[u8], offset: usize) -> Option<u32> {
    let bytes = body.get(offset..offset + 4)?;
    Some(u32::from_be_bytes(bytes.try_into().ok()?))
}
