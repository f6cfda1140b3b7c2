//! Startup of a connection: encryption, parameters and authentication.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use bytes::{Buf, BytesMut};
use filbertbay_protocol::sql;
use filbertbay_state::key::Digest;
use filbertbay_state::snapshot::Snapshot;
use filbertbay_state::version::Version;
use filbertbay_transport::endpoint::MEMBER_PARAMETER;
use filbertbay_transport::stream::Stream;
use filbertbay_transport::tls;
use filbertbay_transport::wire::{Codec, Frame, kind};
use futures::{SinkExt, StreamExt};
use pgwire::messages::Message;
use pgwire::messages::response::TransactionStatus;
use pgwire::messages::startup::{
    Authentication, BackendKeyData, NegotiateProtocolVersion, SecretKey, Startup,
};
use strum::AsRefStr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_util::codec::Framed;

use super::answer::{self, Refusal, SqlState};
use super::guard::{self, Identity, SessionMonitor};
use super::session::{Session, SessionKind, SessionParameters, TOKEN_PARAMETER};
use super::{Caller, SessionContext, cancel};

/// Largest message of a startup, in bytes.
const MAX_STARTUP_BYTES: usize = 10_000;

/// Initial size of a caller's buffers, in bytes; they grow with the messages.
const BUFFER_BYTES: usize = 1 << 10;

/// Buffered response bytes that trigger a write.
const FLUSH_BYTES: usize = 8 << 10;

/// Smallest message of a startup, in bytes: a length and a code.
const MIN_STARTUP_BYTES: usize = 8;

/// Largest message of a caller after its startup, in bytes.
const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// Request code for TLS.
const TLS_REQUEST: u32 = 80_877_103;

/// Request code for GSSAPI encryption.
const GSS_REQUEST: u32 = 80_877_104;

/// Request code of a cancel request.
const CANCEL_REQUEST: u32 = 80_877_102;

/// Supported major version of the protocol.
const PROTOCOL_MAJOR_VERSION: u16 = 3;

/// Default of the longest time from the connection to the end of the startup.
pub const STARTUP_TIMEOUT: Duration = Duration::from_secs(10);

/// Startup parameter that sets the maximum staleness of the session's reads.
const STALENESS_PARAMETER: &str = sql::STALENESS_SETTING;

/// Run-time parameters that are reported to callers at startup, before an endpoint is involved.
const DEFAULT_PARAMETERS: &[(&str, &str)] = &[
    ("server_version", "17.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("IntervalStyle", "postgres"),
    ("TimeZone", "UTC"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
];

/// Kind of clients that a listener accepts.
#[derive(Clone, Copy, Debug, Eq, PartialEq, AsRefStr)]
#[strum(serialize_all = "snake_case")]
pub enum ListenerKind {
    /// Callers, which present a key of a workspace.
    Callers,
    /// Peers, which present the endpoints' password.
    Peers,
}

/// Reason for a startup without a session.
#[derive(Debug)]
pub enum StartupError {
    /// The caller disconnected, or violated the protocol so that no error can be sent.
    Disconnected,
    /// The startup is refused with an error for the caller.
    Refused(Box<Stream>, Refusal),
}

impl From<std::io::Error> for StartupError {
    fn from(_: std::io::Error) -> Self {
        Self::Disconnected
    }
}

impl From<tls::Error> for StartupError {
    fn from(_: tls::Error) -> Self {
        Self::Disconnected
    }
}

/// Performs the startup of a connection; returns `None` after a cancel request, which is forwarded.
///
/// # Errors
///
/// Returns an error if the caller disconnected, violated the protocol or failed to authenticate.
pub async fn run(
    context: &Arc<SessionContext>,
    kind: ListenerKind,
    socket: TcpStream,
) -> Result<Option<Session>, StartupError> {
    socket.set_nodelay(true)?;
    let mut stream = Stream::Plain(socket);
    let mut is_first = true;
    loop {
        let Some(mut body) = read_startup(&mut stream).await? else {
            let refusal = Refusal::new(
                SqlState::ProtocolViolation,
                "the startup message is malformed",
            );
            return Err(StartupError::Refused(Box::new(stream), refusal));
        };
        let code = (&body[..]).get_u32();
        match code {
            TLS_REQUEST if is_first => stream = negotiate_tls(context, stream).await?,
            GSS_REQUEST if is_first => stream.write_all(b"N").await?,
            CANCEL_REQUEST => {
                cancel(context, &body).await;
                return Ok(None);
            }
            _ => return Ok(Some(establish(context, kind, stream, &mut body).await?)),
        }
        // GSSAPI encryption may be requested before TLS, but no encryption within an encrypted
        // stream.
        is_first = is_first && code == GSS_REQUEST;
    }
}

/// Reads the body of a startup message; `None` if its length is out of range.
async fn read_startup(stream: &mut Stream) -> Result<Option<BytesMut>, StartupError> {
    let length = stream.read_u32().await? as usize;
    if !(MIN_STARTUP_BYTES..=MAX_STARTUP_BYTES).contains(&length) {
        return Ok(None);
    }
    let mut body = BytesMut::zeroed(length - size_of::<u32>());
    stream.read_exact(&mut body).await?;
    Ok(Some(body))
}

async fn negotiate_tls(
    context: &SessionContext,
    mut stream: Stream,
) -> Result<Stream, StartupError> {
    let Some(identity) = &context.tls else {
        stream.write_all(b"N").await?;
        return Ok(stream);
    };
    let acceptor = identity.acceptor()?;
    stream.write_all(b"S").await?;
    match stream {
        Stream::Plain(socket) => {
            let accepted = acceptor.accept(socket).await?;
            Ok(Stream::Tls(Box::new(accepted.into())))
        }
        Stream::Tls(_) => Err(StartupError::Disconnected),
    }
}

async fn cancel(context: &SessionContext, body: &BytesMut) {
    let mut rest = &body[..];
    let key = (|| {
        rest.try_get_u32().ok()?;
        let pid = rest.try_get_i32().ok()?;
        let secret = rest.try_get_i32().ok()?;
        Some(cancel::Key { pid, secret })
    })();
    if let Some(key) = key {
        context.registry.cancel(key).await;
    }
}

async fn establish(
    context: &Arc<SessionContext>,
    kind: ListenerKind,
    mut stream: Stream,
    body: &mut BytesMut,
) -> Result<Session, StartupError> {
    let startup = match read_parameters(body) {
        Ok(startup) => startup,
        Err(refusal) => return Err(StartupError::Refused(Box::new(stream), refusal)),
    };
    negotiate_version(&mut stream, &startup).await?;
    let is_tls_satisfied = matches!(stream, Stream::Tls(_)) || context.tls.is_none();
    if kind == ListenerKind::Peers && !is_tls_satisfied {
        let refusal = Refusal::new(SqlState::ProtocolViolation, "other instances must use TLS");
        return Err(StartupError::Refused(Box::new(stream), refusal));
    }
    let codec = Codec::new(MAX_STARTUP_BYTES);
    let mut caller = Framed::with_capacity(stream, codec, BUFFER_BYTES);
    caller.set_backpressure_boundary(FLUSH_BYTES);
    let admitted = match kind {
        ListenerKind::Callers => admit_caller(context, &mut caller, &startup).await?,
        ListenerKind::Peers => admit_peer(context, &mut caller, &startup).await?,
    };
    let (identity, parameters) = match admitted {
        Ok(admitted) => admitted,
        Err(refusal) => return Err(refused(caller, refusal)),
    };
    caller.codec_mut().set_max_bytes(MAX_MESSAGE_BYTES);
    let policy = Arc::clone(&context.policy);
    let data_centre = Arc::clone(&context.data_centre);
    let monitor = SessionMonitor::new(
        policy,
        data_centre,
        identity,
        context.phase.clone(),
        Instant::now(),
    );
    if let Some(termination) = monitor.termination() {
        let refusal = termination.refusal.clone();
        return Err(refused(caller, refusal));
    }
    let registration = context.registry.register();
    finish_startup(&mut caller, registration.key()).await?;
    Ok(Session::new(
        Arc::clone(context),
        caller,
        monitor,
        registration,
        parameters,
    ))
}

/// Identity and session parameters, or the reason for the refusal.
type Admitted = Result<(Option<Identity>, SessionParameters), Refusal>;

async fn admit_caller(
    context: &SessionContext,
    caller: &mut Caller,
    startup: &Startup,
) -> Result<Admitted, StartupError> {
    let request = StartupRequest::read(startup);
    let identity = authenticate(context, caller, &request).await?;
    Ok(identity.and_then(|identity| {
        let parameters = read_session_parameters(context, &identity, &request)?;
        Ok((Some(identity), parameters))
    }))
}

/// Authenticates a peer by the endpoints' password; the peer must name a member of which this
/// instance holds a seat.
async fn admit_peer(
    context: &SessionContext,
    caller: &mut Caller,
    startup: &Startup,
) -> Result<Admitted, StartupError> {
    let text = |name: &str| {
        startup
            .parameters
            .get(name)
            .map(String::as_str)
            .unwrap_or_default()
    };
    let (group, member) = (text("database"), text(MEMBER_PARAMETER));
    caller
        .send(answer::frame(&Authentication::CleartextPassword))
        .await?;
    let frame = caller.next().await.ok_or(StartupError::Disconnected)??;
    let presented = frame.str_at(0).filter(|_| frame.kind() == kind::PASSWORD);
    let is_valid = presented.is_some_and(|text| Digest::of(text).matches(&context.peer_secret));
    if !is_valid {
        let message = "the credentials of another instance are expected";
        return Ok(Err(Refusal::new(SqlState::InvalidKey, message)));
    }
    let view = context.policy.group(group);
    let seat = view.as_ref().and_then(|view| {
        let member = &view.members[view.member(member)?];
        context.pool.has_seat(&view.name, member).then_some(())
    });
    if seat.is_none() {
        let message = "this instance has no seat of the member";
        return Ok(Err(Refusal::not_run(SqlState::Unavailable, message)));
    }
    let kind = SessionKind::Peer {
        group: group.into(),
        member: member.into(),
    };
    Ok(Ok((
        None,
        SessionParameters {
            kind,
            ..SessionParameters::default()
        },
    )))
}

fn refused(caller: Caller, refusal: Refusal) -> StartupError {
    StartupError::Refused(Box::new(caller.into_inner()), refusal)
}

fn read_parameters(body: &mut BytesMut) -> Result<Startup, Refusal> {
    let malformed = || {
        Refusal::new(
            SqlState::ProtocolViolation,
            "the startup message is malformed",
        )
    };
    if (&body[..]).get_u16() != PROTOCOL_MAJOR_VERSION {
        return Err(Refusal::new(
            SqlState::ProtocolViolation,
            "only protocol version 3 is served",
        ));
    }
    let length = body.len() + size_of::<u32>();
    Startup::decode_body(body, length, &pgwire::messages::DecodeContext::default())
        .map_err(|_| malformed())
}

/// Tells a caller that requests a newer minor version or protocol options which version is served.
async fn negotiate_version(stream: &mut Stream, startup: &Startup) -> Result<(), StartupError> {
    let is_option = |name: &&String| name.starts_with("_pq_.");
    let options: Vec<String> = startup
        .parameters
        .keys()
        .filter(is_option)
        .cloned()
        .collect();
    if startup.protocol_number_minor == 0 && options.is_empty() {
        return Ok(());
    }
    let message = answer::frame(&NegotiateProtocolVersion::new(0, options));
    Ok(stream.write_all(message.bytes()).await?)
}

/// Parameters of a startup message.
struct StartupRequest {
    user: String,
    database: String,
    token: Option<String>,
    max_staleness: Option<String>,
}

impl StartupRequest {
    fn read(startup: &Startup) -> Self {
        let parameters = &startup.parameters;
        let options = parameters
            .get("options")
            .map(String::as_str)
            .unwrap_or_default();
        let find = |name: &str| {
            parameters
                .get(name)
                .cloned()
                .or_else(|| find_option(options, name))
        };
        let user = parameters.get("user").cloned().unwrap_or_default();
        let database = parameters.get("database").filter(|name| !name.is_empty());
        Self {
            database: database.unwrap_or(&user).clone(),
            user,
            token: find(TOKEN_PARAMETER),
            max_staleness: find(STALENESS_PARAMETER),
        }
    }
}

/// Finds a setting such as `-c name=value` or `--name=value` among the startup options; the last
/// one applies.
fn find_option(options: &str, name: &str) -> Option<String> {
    let words = options.split_whitespace().map(|word| {
        let word = word.strip_prefix("-c").unwrap_or(word);
        word.strip_prefix("--").unwrap_or(word)
    });
    let value = |word: &str| {
        word.strip_prefix(name)?
            .strip_prefix('=')
            .map(str::to_owned)
    };
    words.filter_map(value).next_back()
}

/// Authenticates a caller. Wrong names and wrong keys get the same error, so that callers can't
/// probe for names.
async fn authenticate(
    context: &SessionContext,
    caller: &mut Caller,
    request: &StartupRequest,
) -> Result<Result<Identity, Refusal>, StartupError> {
    let snapshot = context.policy.snapshot();
    if snapshot.version() == Version(0) {
        // Without a configuration, a valid key would be rejected as wrong.
        let reason = "the instance has no configuration yet";
        return Ok(Err(Refusal::not_run(SqlState::Unavailable, reason)));
    }
    let identity = |key| Identity {
        workspace: request.user.as_str().into(),
        key,
        route: request.database.as_str().into(),
    };
    let route = snapshot.route(&request.database);
    if route.is_some_and(|route| guard::allows_anonymous(&snapshot, route)) {
        let is_valid = snapshot.workspace(&request.user).is_some();
        return Ok(if is_valid {
            Ok(identity(None))
        } else {
            Err(authentication_failed(request))
        });
    }
    caller
        .send(answer::frame(&Authentication::CleartextPassword))
        .await?;
    let frame = caller.next().await.ok_or(StartupError::Disconnected)??;
    let key = check_key(&snapshot, request, &frame);
    Ok(key
        .map(|key| identity(Some(key)))
        .ok_or_else(|| authentication_failed(request)))
}

fn check_key(snapshot: &Snapshot, request: &StartupRequest, frame: &Frame) -> Option<Arc<str>> {
    let presented = frame.str_at(0).filter(|_| frame.kind() == kind::PASSWORD)?;
    let workspace = snapshot.workspace(&request.user)?;
    let key = snapshot.find_key(workspace, presented)?;
    let route = snapshot.route(&request.database)?;
    snapshot.allows(workspace, route).then_some(key)
}

fn authentication_failed(request: &StartupRequest) -> Refusal {
    let message = format!(
        "password authentication failed for user \"{}\"",
        request.user
    );
    Refusal::new(SqlState::InvalidKey, message)
}

fn read_session_parameters(
    context: &SessionContext,
    identity: &Identity,
    request: &StartupRequest,
) -> Result<SessionParameters, Refusal> {
    let refuse = |message: String| Refusal::new(SqlState::ProtocolViolation, message);
    let now = Instant::now();
    let verify = |token: &String| {
        let signer = &context.signer;
        signer.verify(&identity.workspace, token, SystemTime::now(), now)
    };
    let consistency = request
        .token
        .as_ref()
        .filter(|token| !token.is_empty())
        .map(verify);
    let consistency = consistency
        .transpose()
        .map_err(|error| refuse(error.to_string()))?;
    let max_staleness = match &request.max_staleness {
        Some(text) => Some(sql::parse_duration(text).ok_or_else(|| {
            refuse(format!(
                "{STALENESS_PARAMETER} must be an age such as 500ms"
            ))
        })?),
        None => None,
    };
    Ok(SessionParameters {
        kind: SessionKind::Caller,
        consistency: consistency.unwrap_or_default(),
        max_staleness,
    })
}

async fn finish_startup(caller: &mut Caller, key: cancel::Key) -> Result<(), StartupError> {
    caller.feed(answer::frame(&Authentication::Ok)).await?;
    for (name, value) in DEFAULT_PARAMETERS {
        caller.feed(answer::parameter(name, value)).await?;
    }
    let secret = SecretKey::I32(key.secret);
    caller
        .feed(answer::frame(&BackendKeyData::new(key.pid, secret)))
        .await?;
    Ok(caller.send(answer::ready(TransactionStatus::Idle)).await?)
}
