//! Startup of a caller: encryption, parameters and the key.

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

use super::answer::{self, Refusal, State};
use super::guard::{self, Guard, Identity};
use super::session::{Purpose, Session, Start, TOKEN_PARAMETER};
use super::{Caller, SessionContext, cancel};

/// Longest message of a startup, in bytes.
const MAX_STARTUP_BYTES: usize = 10_000;

/// First size of a caller's buffers, in bytes; they grow with the messages.
const BUFFER_BYTES: usize = 1 << 10;

/// Bytes of an answer that are written at once.
const FLUSH_BYTES: usize = 8 << 10;

/// Shortest message of a startup: a length and a code.
const MIN_STARTUP_BYTES: usize = 8;

/// Longest message of a caller after its startup, in bytes.
const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// Code of a request for TLS.
const TLS_REQUEST: u32 = 80_877_103;

/// Code of a request for GSSAPI encryption.
const GSS_REQUEST: u32 = 80_877_104;

/// Code of a cancel request.
const CANCEL_REQUEST: u32 = 80_877_102;

/// Major version of the protocol.
const MAJOR: u16 = 3;

/// Time from the connection to the end of the startup, where no other is set.
pub const STARTUP_TIMEOUT: Duration = Duration::from_secs(10);

/// Startup parameter by which a caller states the age that its reads accept.
const STALENESS_PARAMETER: &str = sql::STALENESS_SETTING;

/// Run-time parameters that callers are told where no endpoint has told others.
const PARAMETERS: &[(&str, &str)] = &[
    ("server_version", "17.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("IntervalStyle", "postgres"),
    ("TimeZone", "UTC"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
];

/// Listener through which a connection came.
#[derive(Clone, Copy, Debug, Eq, PartialEq, AsRefStr)]
#[strum(serialize_all = "snake_case")]
pub enum ListenerKind {
    /// The one for callers.
    Callers,
    /// The one for other instances, which present the endpoints' credentials.
    Peers,
}

/// End of a startup without a session.
#[derive(Debug)]
pub enum Failure {
    /// The caller has gone or broke the protocol beyond an answer.
    Gone,
    /// The caller is told why.
    Refused(Box<Stream>, Refusal),
}

impl From<std::io::Error> for Failure {
    fn from(_: std::io::Error) -> Self {
        Self::Gone
    }
}

impl From<tls::Error> for Failure {
    fn from(_: tls::Error) -> Self {
        Self::Gone
    }
}

/// Takes a caller through its startup; `None` stands for a cancel request, which is done.
///
/// # Errors
///
/// Returns an error if the caller has gone, broke the protocol or presented the wrong key.
pub async fn open(
    context: &Arc<SessionContext>,
    listener_kind: ListenerKind,
    socket: TcpStream,
) -> Result<Option<Session>, Failure> {
    socket.set_nodelay(true)?;
    let mut stream = Stream::Plain(socket);
    let mut is_first = true;
    loop {
        let Some(mut body) = read_startup(&mut stream).await? else {
            let refusal = Refusal::new(State::Protocol, "the startup message is malformed");
            return Err(Failure::Refused(Box::new(stream), refusal));
        };
        let code = (&body[..]).get_u32();
        match code {
            TLS_REQUEST if is_first => stream = secure(context, stream).await?,
            GSS_REQUEST if is_first => stream.write_all(b"N").await?,
            CANCEL_REQUEST => {
                cancel(context, &body).await;
                return Ok(None);
            }
            _ => {
                return Ok(Some(
                    start(context, listener_kind, stream, &mut body).await?,
                ));
            }
        }
        // A caller may ask for GSSAPI first and for TLS then, but not for encryption in encryption.
        is_first = is_first && code == GSS_REQUEST;
    }
}

/// Reads the body of a startup message; `None` if its length is out of range.
async fn read_startup(stream: &mut Stream) -> Result<Option<BytesMut>, Failure> {
    let length = stream.read_u32().await? as usize;
    if !(MIN_STARTUP_BYTES..=MAX_STARTUP_BYTES).contains(&length) {
        return Ok(None);
    }
    let mut body = BytesMut::zeroed(length - size_of::<u32>());
    stream.read_exact(&mut body).await?;
    Ok(Some(body))
}

async fn secure(context: &SessionContext, mut stream: Stream) -> Result<Stream, Failure> {
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
        Stream::Tls(_) => Err(Failure::Gone),
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

async fn start(
    context: &Arc<SessionContext>,
    listener_kind: ListenerKind,
    mut stream: Stream,
    body: &mut BytesMut,
) -> Result<Session, Failure> {
    let startup = match read_parameters(body) {
        Ok(startup) => startup,
        Err(refusal) => return Err(Failure::Refused(Box::new(stream), refusal)),
    };
    negotiate(&mut stream, &startup).await?;
    let is_private = matches!(stream, Stream::Tls(_)) || context.tls.is_none();
    if listener_kind == ListenerKind::Peers && !is_private {
        let refusal = Refusal::new(State::Protocol, "other instances must use TLS");
        return Err(Failure::Refused(Box::new(stream), refusal));
    }
    let codec = Codec::new(MAX_STARTUP_BYTES);
    let mut caller = Framed::with_capacity(stream, codec, BUFFER_BYTES);
    caller.set_backpressure_boundary(FLUSH_BYTES);
    let admitted = match listener_kind {
        ListenerKind::Callers => admit_caller(context, &mut caller, &startup).await?,
        ListenerKind::Peers => admit_peer(context, &mut caller, &startup).await?,
    };
    let (identity, start) = match admitted {
        Ok(admitted) => admitted,
        Err(refusal) => return Err(refused(caller, refusal)),
    };
    caller.codec_mut().set_max_bytes(MAX_MESSAGE_BYTES);
    let policy = Arc::clone(&context.policy);
    let centre = Arc::clone(&context.data_centre);
    let guard = Guard::new(
        policy,
        centre,
        identity,
        context.phase.clone(),
        Instant::now(),
    );
    if let Some(end) = guard.end() {
        let refusal = end.refusal.clone();
        return Err(refused(caller, refusal));
    }
    let registration = context.registry.register();
    welcome(&mut caller, registration.key()).await?;
    Ok(Session::new(
        Arc::clone(context),
        caller,
        guard,
        registration,
        start,
    ))
}

/// What a startup yields, or why it is refused.
type Admitted = Result<(Option<Identity>, Start), Refusal>;

async fn admit_caller(
    context: &SessionContext,
    caller: &mut Caller,
    startup: &Startup,
) -> Result<Admitted, Failure> {
    let request = Request::read(startup);
    let identity = authenticate(context, caller, &request).await?;
    Ok(identity.and_then(|identity| {
        let start = begin(context, &identity, &request)?;
        Ok((Some(identity), start))
    }))
}

/// Takes another instance that presents the endpoints' password and names a member whose seat this
/// instance holds.
async fn admit_peer(
    context: &SessionContext,
    caller: &mut Caller,
    startup: &Startup,
) -> Result<Admitted, Failure> {
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
    let frame = caller.next().await.ok_or(Failure::Gone)??;
    let presented = frame.str_at(0).filter(|_| frame.kind() == kind::PASSWORD);
    let is_known = presented.is_some_and(|text| Digest::of(text).matches(&context.peer_secret));
    if !is_known {
        let message = "the credentials of another instance are expected";
        return Ok(Err(Refusal::new(State::WrongKey, message)));
    }
    let view = context.policy.group(group);
    let seat = view.as_ref().and_then(|view| {
        let member = &view.members[view.member(member)?];
        context.pool.has_seat(&view.name, member).then_some(())
    });
    if seat.is_none() {
        let message = "this instance has no seat of the member";
        return Ok(Err(Refusal::not_run(State::Unavailable, message)));
    }
    let purpose = Purpose::Peer {
        group: group.into(),
        member: member.into(),
    };
    Ok(Ok((
        None,
        Start {
            purpose,
            ..Start::default()
        },
    )))
}

fn refused(caller: Caller, refusal: Refusal) -> Failure {
    Failure::Refused(Box::new(caller.into_inner()), refusal)
}

fn read_parameters(body: &mut BytesMut) -> Result<Startup, Refusal> {
    let malformed = || Refusal::new(State::Protocol, "the startup message is malformed");
    if (&body[..]).get_u16() != MAJOR {
        return Err(Refusal::new(
            State::Protocol,
            "only protocol version 3 is served",
        ));
    }
    let length = body.len() + size_of::<u32>();
    Startup::decode_body(body, length, &pgwire::messages::DecodeContext::default())
        .map_err(|_| malformed())
}

/// Tells a caller that asks for a newer minor version which one it gets.
async fn negotiate(stream: &mut Stream, startup: &Startup) -> Result<(), Failure> {
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

/// What a caller asks for in its startup.
struct Request {
    user: String,
    database: String,
    token: Option<String>,
    staleness: Option<String>,
}

impl Request {
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
                .or_else(|| option(options, name))
        };
        let user = parameters.get("user").cloned().unwrap_or_default();
        let database = parameters.get("database").filter(|name| !name.is_empty());
        Self {
            database: database.unwrap_or(&user).clone(),
            user,
            token: find(TOKEN_PARAMETER),
            staleness: find(STALENESS_PARAMETER),
        }
    }
}

/// Finds a setting such as `-c name=value` or `--name=value` among the startup options.
fn option(options: &str, name: &str) -> Option<String> {
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

/// Checks the key, and answers every wrong name or key alike.
async fn authenticate(
    context: &SessionContext,
    caller: &mut Caller,
    request: &Request,
) -> Result<Result<Identity, Refusal>, Failure> {
    let snapshot = context.policy.snapshot();
    if snapshot.version() == Version(0) {
        // Without a configuration a valid key would look like a wrong one.
        let reason = "the instance has no configuration yet";
        return Ok(Err(Refusal::not_run(State::Unavailable, reason)));
    }
    let identity = |key| Identity {
        workspace: request.user.as_str().into(),
        key,
        route: request.database.as_str().into(),
    };
    let route = snapshot.route(&request.database);
    if route.is_some_and(|route| guard::is_open(&snapshot, route)) {
        let is_known = snapshot.workspace(&request.user).is_some();
        return Ok(if is_known {
            Ok(identity(None))
        } else {
            Err(wrong(request))
        });
    }
    caller
        .send(answer::frame(&Authentication::CleartextPassword))
        .await?;
    let frame = caller.next().await.ok_or(Failure::Gone)??;
    let key = check_key(&snapshot, request, &frame);
    Ok(key
        .map(|key| identity(Some(key)))
        .ok_or_else(|| wrong(request)))
}

fn check_key(snapshot: &Snapshot, request: &Request, frame: &Frame) -> Option<Arc<str>> {
    let presented = frame.str_at(0).filter(|_| frame.kind() == kind::PASSWORD)?;
    let workspace = snapshot.workspace(&request.user)?;
    let key = snapshot.find_key(workspace, presented)?;
    let route = snapshot.route(&request.database)?;
    snapshot.allows(workspace, route).then_some(key)
}

fn wrong(request: &Request) -> Refusal {
    let message = format!(
        "password authentication failed for user \"{}\"",
        request.user
    );
    Refusal::new(State::WrongKey, message)
}

fn begin(
    context: &SessionContext,
    identity: &Identity,
    request: &Request,
) -> Result<Start, Refusal> {
    let refuse = |message: String| Refusal::new(State::Protocol, message);
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
    let staleness = match &request.staleness {
        Some(text) => Some(sql::parse_duration(text).ok_or_else(|| {
            refuse(format!(
                "{STALENESS_PARAMETER} must be an age such as 500ms"
            ))
        })?),
        None => None,
    };
    Ok(Start {
        purpose: Purpose::Caller,
        consistency: consistency.unwrap_or_default(),
        staleness,
    })
}

async fn welcome(caller: &mut Caller, key: cancel::Key) -> Result<(), Failure> {
    caller.feed(answer::frame(&Authentication::Ok)).await?;
    for (name, value) in PARAMETERS {
        caller.feed(answer::parameter(name, value)).await?;
    }
    let secret = SecretKey::I32(key.secret);
    caller
        .feed(answer::frame(&BackendKeyData::new(key.pid, secret)))
        .await?;
    Ok(caller.send(answer::ready(TransactionStatus::Idle)).await?)
}
