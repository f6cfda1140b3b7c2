//! Connections to members of database groups.
//!
//! A connection presents the proxy's own credentials; nothing that a caller presented goes there.
//! An instance that forwards over another one uses the same connection with one more startup
//! parameter, see [`Target::member`].
//!
//! [`ControlConnection`] is a connection for questions and orders about the member itself.

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

/// Longest message that an endpoint may send, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// Longest wait for the end of a cancel request.
pub const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest answer to a cancel request that is read; endpoints should send none.
const MAX_CANCEL_ANSWER_BYTES: u64 = 1024;

/// Startup parameter that names the member whose connection a peer asks for.
pub const MEMBER_PARAMETER: &str = "filbertbay.member";

/// What went wrong with an endpoint connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "snake_case")]
#[non_exhaustive]
pub enum ErrorKind {
    /// The endpoint could not be reached in time.
    Unreachable,
    /// The endpoint refused the connection.
    Refused,
    /// The connection broke.
    Broken,
    /// The endpoint sent what the protocol does not allow.
    Malformed,
}

/// Failure of an endpoint connection.
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

    /// Returns what went wrong.
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }

    /// Returns the SQLSTATE that the endpoint answered, if it answered one.
    pub fn sqlstate(&self) -> Option<&str> {
        self.sqlstate.as_deref()
    }
}

/// Where and as whom to connect.
#[derive(Clone)]
pub struct Target {
    /// Address to connect to.
    pub address: SocketAddr,
    /// Database to name.
    pub database: Arc<str>,
    /// User to present.
    pub user: Arc<str>,
    /// Password to present.
    pub password: Arc<str>,
    /// Name of this instance, presented as the application.
    pub application: Arc<str>,
    /// Member to reach, when the address is that of a peer which forwards.
    pub member: Option<Arc<str>>,
    /// Identity to present over TLS; without it the connection is in the clear.
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

/// What a cancel request must name.
#[derive(Clone, Debug)]
pub struct CancelKey {
    address: SocketAddr,
    pid: i32,
    secret: i32,
    tls: Option<Arc<Identity>>,
}

impl CancelKey {
    /// Asks the endpoint to cancel what the connection runs, and waits until it has taken the
    /// request.
    ///
    /// # Errors
    ///
    /// Returns an error if the request could not be delivered.
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
            Some(identity) => secure(identity, socket, self.address).await?,
            None => Stream::Plain(socket),
        };
        self.send(stream).await.map_err(fail)
    }

    async fn send(&self, mut stream: Stream) -> std::io::Result<()> {
        let mut buffer = BytesMut::new();
        CancelRequest::new(self.pid, SecretKey::I32(self.secret)).encode(&mut buffer)?;
        stream.write_all(&buffer).await?;
        // The endpoint closes the connection once it has taken the request.
        let mut rest = Vec::new();
        stream
            .take(MAX_CANCEL_ANSWER_BYTES)
            .read_to_end(&mut rest)
            .await?;
        Ok(())
    }
}

/// Second handle of a connection's socket, with which another task can end the connection.
#[derive(Debug)]
pub struct AbortHandle(std::net::TcpStream);

impl AbortHandle {
    fn new(socket: &TcpStream) -> std::io::Result<Self> {
        let handle = socket.as_fd().try_clone_to_owned()?;
        Ok(Self(handle.into()))
    }

    /// Ends the connection at once, whoever uses it.
    pub fn abort(&self) {
        // A socket that the other side has closed already is at its end.
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
    /// Connects and presents the proxy's credentials.
    ///
    /// # Errors
    ///
    /// Returns an error if the endpoint is not ready for statements within `limit`.
    pub async fn open(target: &Target, limit: Duration) -> Result<Self, Error> {
        timeout(limit, Self::start(target))
            .await
            .unwrap_or_else(|_| {
                Err(Error::new(
                    ErrorKind::Unreachable,
                    target.address,
                    "connecting timed out",
                ))
            })
    }

    async fn start(target: &Target) -> Result<Self, Error> {
        let address = target.address;
        let unreachable =
            |error: std::io::Error| Error::new(ErrorKind::Unreachable, address, error.to_string());
        let socket = TcpStream::connect(address).await.map_err(unreachable)?;
        socket.set_nodelay(true).map_err(unreachable)?;
        let abort_handle = Arc::new(AbortHandle::new(&socket).map_err(unreachable)?);
        let mut stream = match &target.tls {
            Some(identity) => secure(identity, socket, address).await?,
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
                kind::AUTHENTICATION => self.answer_authentication(&frame, target).await?,
                kind::BACKEND_KEY => self.take_key(&frame)?,
                kind::PARAMETER_STATUS => self.parameters.push(frame),
                kind::READY => return Ok(()),
                kind::ERROR => return Err(self.refusal(&frame)),
                _ => {}
            }
        }
    }

    async fn answer_authentication(&mut self, frame: &Frame, target: &Target) -> Result<(), Error> {
        const OK: u32 = 0;
        const CLEARTEXT: u32 = 3;
        match word(frame.body(), 0) {
            Some(OK) => Ok(()),
            Some(CLEARTEXT) => {
                let message = Password::new(target.password.as_ref().to_owned());
                self.send_message(&message).await
            }
            _ => Err(self.malformed("authentication method is not supported")),
        }
    }

    fn take_key(&mut self, frame: &Frame) -> Result<(), Error> {
        let pid = word(frame.body(), 0);
        let secret = word(frame.body(), 4);
        let (Some(pid), Some(secret)) = (pid, secret) else {
            return Err(self.malformed("key of cancel requests is too short"));
        };
        self.cancel_key.pid = pid.cast_signed();
        self.cancel_key.secret = secret.cast_signed();
        Ok(())
    }

    /// Returns the address that the connection leads to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the handle with which another task can end the connection.
    pub fn abort_handle(&self) -> &Arc<AbortHandle> {
        &self.abort_handle
    }

    /// Returns what a cancel request for this connection must name.
    pub fn cancel_key(&self) -> &CancelKey {
        &self.cancel_key
    }

    /// Returns the run-time parameters that the endpoint announced at the start.
    pub fn parameters(&self) -> &[Frame] {
        &self.parameters
    }

    /// Returns whether nothing has been received that nobody has read, and the peer has not
    /// closed the connection.
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
    /// Returns an error if the connection broke or the endpoint sent no valid frame.
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

    /// Returns whether a received message waits in the buffer, at least in part.
    pub fn has_buffered_input(&self) -> bool {
        !self.stream.read_buffer().is_empty()
    }

    /// Queues a message without sending it yet.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection broke.
    pub async fn feed(&mut self, frame: Frame) -> Result<(), Error> {
        let sent = self.stream.feed(frame).await;
        sent.map_err(|error| self.broken(error.to_string()))
    }

    /// Sends every queued message.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection broke.
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

    /// Runs one simple statement and returns its messages up to readiness.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection broke; errors of the statement are among the messages.
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

    fn refusal(&self, frame: &Frame) -> Error {
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

/// Answer to a request for TLS by a side that speaks it.
const TLS_ACCEPTED: u8 = b'S';

/// Asks for TLS and takes it, or fails.
async fn secure(
    identity: &Identity,
    mut socket: TcpStream,
    address: SocketAddr,
) -> Result<Stream, Error> {
    let fail = |reason: String| Error::new(ErrorKind::Unreachable, address, reason);
    let connector = identity
        .connector()
        .map_err(|error| fail(error.to_string()))?;
    let connector = connector.ok_or_else(|| fail("no authorities are set".to_owned()))?;
    let mut request = BytesMut::new();
    let encoded = SslRequest::new().encode(&mut request);
    encoded.map_err(|error| fail(error.to_string()))?;
    socket
        .write_all(&request)
        .await
        .map_err(|error| fail(error.to_string()))?;
    let answer = socket
        .read_u8()
        .await
        .map_err(|error| fail(error.to_string()))?;
    if answer != TLS_ACCEPTED {
        return Err(fail("TLS was refused".to_owned()));
    }
    let name = ServerName::from(address.ip());
    let stream = connector.connect(name, socket).await;
    let stream = stream.map_err(|error| fail(error.to_string()))?;
    Ok(Stream::Tls(Box::new(stream.into())))
}

/// Reads a big-endian word at an offset.
fn word(body: &[u8], offset: usize) -> Option<u32> {
    let bytes = body.get(offset..offset + 4)?;
    Some(u32::from_be_bytes(bytes.try_into().ok()?))
}
