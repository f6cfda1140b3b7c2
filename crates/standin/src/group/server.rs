//! PostgreSQL server of one member.

use std::fmt::Debug;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use async_trait::async_trait;
use futures::{Sink, SinkExt, StreamExt};
use pgwire::api::auth::{
    DefaultServerParameterProvider, StartupHandler, finish_authentication, protocol_negotiation,
    save_startup_parameters_to_metadata,
};
use pgwire::api::cancel::DefaultCancelHandler;
use pgwire::api::{
    ClientInfo, ConnectionGuard, ConnectionHandle, ConnectionManager, DefaultClient,
    METADATA_APPLICATION_NAME, NoopHandler, PgWireConnectionState, PidSecretKeyGenerator,
    RandomPidSecretKeyGenerator,
};
use pgwire::error::{ErrorInfo, PgWireError, PgWireResult};
use pgwire::messages::response::{GssEncResponse, SslResponse};
use pgwire::messages::startup::Authentication;
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage, SslNegotiationMetaMessage};
use pgwire::tokio::server::{PgWireMessageServerCodec, process_error, process_message};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::Framed;

use super::function::VERSION;
use super::handler::Prepared;
use super::member::Member;
use super::session::Session;

/// Server of one member, shared by its connections.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) member: Arc<Member>,
    pub(crate) password: Arc<str>,
    pub(crate) connect_time: Duration,
    pub(crate) cancels: Arc<ConnectionManager>,
    pub(crate) keys: RandomPidSecretKeyGenerator,
}

static NEXT_SESSION: AtomicU64 = AtomicU64::new(1);

impl Server {
    /// Accepts connections for as long as the group runs.
    pub(crate) async fn run(self: Arc<Self>, listener: TcpListener) {
        let mut sessions = tokio::task::JoinSet::new();
        loop {
            let accepted = listener.accept().await;
            while sessions.try_join_next().is_some() {}
            let Ok((socket, _)) = accepted else {
                continue;
            };
            if self.member.is_stopped() {
                continue;
            }
            let server = Arc::clone(&self);
            sessions.spawn(async move {
                let member = Arc::clone(&server.member);
                tokio::select! {
                    () = member.stopped() => {}
                    // A broken connection ends its session; nobody is left to tell.
                    _ = server.serve(socket) => {}
                }
            });
        }
    }

    async fn serve(self: Arc<Self>, socket: TcpStream) -> io::Result<()> {
        socket.set_nodelay(true)?;
        let address = socket.peer_addr()?;
        let connection = self.member.connection();
        let origin: Arc<OnceLock<Arc<str>>> = Arc::default();
        let link = Link::new(socket, Arc::clone(&self.member), Arc::clone(&origin));
        let codec = PgWireMessageServerCodec::new(DefaultClient::new(address, false));
        let mut wire: Wire = Framed::new(link, codec);
        let id = NEXT_SESSION.fetch_add(1, Ordering::Relaxed);
        let conversation = Conversation {
            session: Arc::new(Session::new(id, Arc::clone(&self.member))),
            cancel: Arc::new(DefaultCancelHandler::new(Arc::clone(&self.cancels))),
            startup: Arc::new(Startup {
                server: Arc::clone(&self),
                admitted: connection.is_some(),
                origin: Arc::clone(&origin),
            }),
        };
        while let Some(message) = wire.next().await {
            let message = message?;
            self.travel(&message, origin.get()).await;
            let goes_on = match message {
                PgWireFrontendMessage::Terminate(_) => false,
                PgWireFrontendMessage::SslNegotiation(offer) => {
                    negotiate(&mut wire, &offer).await?
                }
                message => conversation.answer(&mut wire, message).await?,
            };
            if !goes_on {
                break;
            }
        }
        Ok(())
    }

    /// Lets the time of a round trip pass before a message that is answered.
    async fn travel(&self, message: &PgWireFrontendMessage, origin: Option<&Arc<str>>) {
        let answered = matches!(
            message,
            PgWireFrontendMessage::Query(_)
                | PgWireFrontendMessage::Sync(_)
                | PgWireFrontendMessage::Flush(_)
        );
        let (true, Some(origin)) = (answered, origin) else {
            return;
        };
        let network = self.member.network();
        let latency = network.latency(origin, self.member.data_centre());
        if !latency.is_zero() {
            tokio::time::sleep(latency * 2).await;
        }
    }
}

/// Handlers of one connection.
struct Conversation {
    session: Arc<Session>,
    cancel: Arc<DefaultCancelHandler>,
    startup: Arc<Startup>,
}

impl Conversation {
    /// Answers one message, and tells whether the connection goes on.
    async fn answer(&self, wire: &mut Wire, message: PgWireFrontendMessage) -> io::Result<bool> {
        let is_cancel = matches!(message, PgWireFrontendMessage::CancelRequest(_));
        let is_extended = message.is_extended_query();
        let processed = process_message(
            message,
            wire,
            Arc::clone(&self.startup),
            Arc::clone(&self.session),
            Arc::clone(&self.session),
            Arc::new(NoopHandler),
            Arc::clone(&self.cancel),
        );
        let Err(cause) = processed.await else {
            return Ok(!is_cancel);
        };
        let is_fatal = cause.is_fatal();
        process_error(wire, cause, is_extended).await?;
        self.session.settle(wire.transaction_status()).await;
        Ok(!is_fatal && !is_cancel)
    }
}

/// Refuses an offer of encryption; the startup message follows on the same connection.
async fn negotiate(wire: &mut Wire, offer: &SslNegotiationMetaMessage) -> io::Result<bool> {
    let refusal = match offer {
        SslNegotiationMetaMessage::PostgresSsl(_) => {
            PgWireBackendMessage::SslResponse(SslResponse::Refuse)
        }
        SslNegotiationMetaMessage::PostgresGss(_) => {
            PgWireBackendMessage::GssEncResponse(GssEncResponse::Refuse)
        }
        SslNegotiationMetaMessage::None => {
            wire.set_state(PgWireConnectionState::AwaitingStartup);
            return Ok(true);
        }
    };
    wire.send(refusal).await?;
    Ok(true)
}

type Wire = Framed<Link, PgWireMessageServerCodec<Arc<Prepared>>>;

/// Startup of one connection.
struct Startup {
    server: Arc<Server>,
    admitted: bool,
    origin: Arc<OnceLock<Arc<str>>>,
}

#[async_trait]
impl StartupHandler for Startup {
    async fn on_startup<C>(
        &self,
        client: &mut C,
        message: PgWireFrontendMessage,
    ) -> PgWireResult<()>
    where
        C: ClientInfo + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        match message {
            PgWireFrontendMessage::Startup(startup) => {
                protocol_negotiation(client, &startup).await?;
                save_startup_parameters_to_metadata(client, &startup);
                let network = self.server.member.network();
                let name = client.metadata().get(METADATA_APPLICATION_NAME);
                if let Some(place) = name.and_then(|name| network.origin(name)) {
                    // Startup comes once in a connection.
                    let _ = self.origin.set(place);
                }
                if !self.admitted {
                    return Err(fatal("53300", "sorry, too many clients already"));
                }
                client.set_state(PgWireConnectionState::AuthenticationInProgress);
                let ask = PgWireBackendMessage::Authentication(Authentication::CleartextPassword);
                client.send(ask).await?;
                Ok(())
            }
            PgWireFrontendMessage::PasswordMessageFamily(message) => {
                let password = message.into_password()?;
                if password.password != *self.server.password {
                    return Err(fatal("28P01", "password authentication failed"));
                }
                tokio::time::sleep(self.server.connect_time).await;
                self.register(client);
                let mut parameters = DefaultServerParameterProvider::default();
                VERSION.clone_into(&mut parameters.server_version);
                finish_authentication(client, &parameters).await
            }
            _ => Err(fatal("08P01", "unexpected message during startup")),
        }
    }
}

impl Startup {
    /// Gives the connection the key that cancel requests name.
    fn register<C>(&self, client: &mut C)
    where
        C: ClientInfo,
    {
        let (pid, key) = self.server.keys.generate(client);
        client.set_pid_and_secret_key(pid, key.clone());
        let (handle, guard) = self.server.cancels.register(pid, key);
        let extensions = client.session_extensions();
        extensions.insert::<Arc<ConnectionHandle>>(handle);
        extensions.insert::<ConnectionGuard>(guard);
    }
}

fn fatal(code: &str, message: &str) -> PgWireError {
    let info = ErrorInfo::new("FATAL".to_owned(), code.to_owned(), message.to_owned());
    PgWireError::UserError(Box::new(info))
}

type Change = Pin<Box<dyn Future<Output = ()> + Send + Sync>>;

/// Socket that carries nothing while its link is cut.
struct Link {
    socket: TcpStream,
    member: Arc<Member>,
    origin: Arc<OnceLock<Arc<str>>>,
    change: Change,
}

impl Link {
    fn new(socket: TcpStream, member: Arc<Member>, origin: Arc<OnceLock<Arc<str>>>) -> Self {
        let change = Box::pin(member.network().subscribe());
        Self {
            socket,
            member,
            origin,
            change,
        }
    }

    fn poll_open(&mut self, context: &mut Context<'_>) -> Poll<()> {
        loop {
            let network = Arc::clone(self.member.network());
            let origin = self.origin.get();
            if !origin.is_some_and(|origin| network.is_link_cut(origin, self.member.end())) {
                return Poll::Ready(());
            }
            ready!(self.change.as_mut().poll(context));
            self.change = Box::pin(network.subscribe());
        }
    }
}

impl AsyncRead for Link {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(self.poll_open(context));
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.socket).poll_read(context, buffer))?;
        self.member.record(&buffer.filled()[before..]);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Link {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_open(context));
        Pin::new(&mut self.socket).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(context)
    }
}
