//! Startup, settings reload and graceful shutdown of an entry instance.

use std::path::{Path, PathBuf};
use std::rc::{Rc, Weak};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use filbertbay_coordination::drain::Schedule;
use slog::{Logger, info, warn};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::JoinHandle;

use crate::caller::Caller;
use crate::instance::{Drivers, Instance, Phase};
use crate::memory::Input;
use crate::session;
use crate::settings::Settings;
use crate::{era, forward, freshness, health, peer, quota, succession, usage, watcher};

/// Interval at which the number of open sessions is polled during shutdown.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which the settings file is reread, since it may change without a SIGHUP.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(5);

/// File descriptors reserved for connections to endpoints, other instances and the store.
const RESERVED_DESCRIPTORS: usize = 600;

/// Delay after a failed accept, for example while file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Wraps accepted TCP connections in the protocol of the callers.
pub trait Acceptor {
    /// Returns the caller that speaks over `stream` and charges what it receives to `input`.
    fn adopt(&self, stream: tokio::net::TcpStream, input: Rc<Input>) -> Box<dyn Caller>;
}

/// Runs an entry instance until SIGTERM.
///
/// # Errors
///
/// Returns an error if a listener can't be bound or a signal handler can't be installed.
pub async fn run(
    settings: Settings,
    path: PathBuf,
    drivers: Drivers,
    acceptor: Rc<dyn Acceptor>,
    log: Logger,
) -> std::io::Result<()> {
    health::recorder();
    let mut terminate = signal(SignalKind::terminate())?;
    let mut reload = signal(SignalKind::hangup())?;
    let handle = spawn(settings, drivers, acceptor, log).await?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = reload.recv() => reload_settings(&handle.instance, &path, true),
            () = tokio::time::sleep(SETTINGS_INTERVAL) => reload_settings(&handle.instance, &path, false),
        }
    }
    handle.stop().await;
    Ok(())
}

/// Handle of a running instance.
pub struct Handle {
    instance: Rc<Instance>,
    session_tokens: Rc<()>,
    accept_task: JoinHandle<()>,
}

impl std::fmt::Debug for Handle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Handle").finish_non_exhaustive()
    }
}

/// Starts an entry instance on the current `LocalSet`.
///
/// # Errors
///
/// Returns an error if a listener can't be bound.
pub async fn spawn(
    settings: Settings,
    drivers: Drivers,
    acceptor: Rc<dyn Acceptor>,
    log: Logger,
) -> std::io::Result<Handle> {
    let caller_listener = TcpListener::bind(settings.callers).await?;
    let readiness = TcpListener::bind(settings.readiness).await?;
    let peers = TcpListener::bind(settings.peers).await?;
    let metrics = TcpListener::bind(settings.metrics).await?;
    let readiness_path = settings.readiness_path.clone();
    let max_sessions = settings
        .file_limit
        .saturating_sub(RESERVED_DESCRIPTORS)
        .max(1);
    let instance = Instance::new(settings, drivers, incarnation(), log);
    let version = env!("CARGO_PKG_VERSION");
    info!(instance.log, "started"; "version" => version, "incarnation" => instance.incarnation);
    peer::serve(peers, Rc::clone(&instance));
    watcher::spawn(&instance);
    quota::spawn(&instance);
    freshness::spawn(&instance);
    forward::lease::spawn(&instance);
    succession::spawn(&instance);
    usage::spawn(&instance);
    era::spawn(&instance);
    health::serve_readiness(readiness, &readiness_path, &instance);
    health::serve_metrics(metrics, &instance);
    let session_tokens = Rc::new(());
    let token = Rc::downgrade(&session_tokens);
    let accept_task = accept(
        caller_listener,
        Rc::clone(&instance),
        acceptor,
        token,
        max_sessions,
    );
    let accept_task = tokio::task::spawn_local(accept_task);
    Ok(Handle {
        instance,
        session_tokens,
        accept_task,
    })
}

impl Handle {
    /// Returns the shared state of the instance.
    pub fn instance(&self) -> &Rc<Instance> {
        &self.instance
    }

    /// Drains the sessions within the grace period, then removes the instance's entry from the store.
    pub async fn stop(self) {
        shut_down(&self.instance, &self.session_tokens, self.accept_task).await;
    }
}

/// Returns the incarnation of this process: the wall clock in milliseconds. Each start gets a
/// higher number, unless the clock was set back by more than the time since the previous start. A
/// lower number delays the takeover of the previous incarnation's lanes, as for a dead instance,
/// but violates no guarantee.
fn incarnation() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(1, |elapsed| elapsed.as_millis() as u64)
}

async fn accept(
    listener: TcpListener,
    instance: Rc<Instance>,
    acceptor: Rc<dyn Acceptor>,
    session_tokens: Weak<()>,
    max_sessions: usize,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let Some(token) = session_tokens.upgrade() else {
                    return;
                };
                if session_count(&token) > max_sessions {
                    metrics::counter!("filbertbay_callers_closed_total", "cause" => "connections")
                        .increment(1);
                    warn!(instance.log, "caller turned away, too many connections"; "limit" => max_sessions);
                    continue;
                }
                if let Err(error) = crate::socket::configure(&stream) {
                    info!(instance.log, "options of a caller's connection not set"; "error" => %error);
                }
                let input = Input::new(&instance.drivers.memory, instance.clock);
                let caller = acceptor.adopt(stream, Rc::clone(&input));
                let session = session::serve(Rc::clone(&instance), caller, input);
                tokio::task::spawn_local(async move {
                    session.await;
                    drop(token);
                });
            }
            Err(error) => {
                warn!(instance.log, "caller not accepted"; "error" => %error);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Rereads the settings file and applies the settings that can change at run time.
///
/// Logs unchanged settings only if the reload `is_requested` by a signal.
fn reload_settings(instance: &Rc<Instance>, path: &Path, is_requested: bool) {
    let settings = match Settings::read(path) {
        Ok(settings) => settings,
        Err(error) => {
            warn!(instance.log, "settings not reloaded"; "error" => %error);
            return;
        }
    };
    let current = instance.settings();
    if *current == settings {
        if is_requested {
            info!(instance.log, "settings unchanged");
        }
        return;
    }
    let needs_restart = current.callers != settings.callers
        || current.peers != settings.peers
        || current.readiness != settings.readiness
        || current.metrics != settings.metrics
        || current.store != settings.store
        || current.failover != settings.failover
        || current.usage != settings.usage;
    info!(instance.log, "settings reloaded"; "needs_restart" => needs_restart);
    *instance.settings.borrow_mut() = Rc::new(settings);
}

/// Drains the sessions within the grace period, then removes this instance's entry from the store.
async fn shut_down(instance: &Rc<Instance>, session_tokens: &Rc<()>, accept_task: JoinHandle<()>) {
    let started_at = instance.now();
    let grace = instance.settings().grace();
    info!(instance.log, "stopping"; "sessions" => session_count(session_tokens),
        "grace_ms" => grace.as_millis() as u64);
    let schedule = Schedule::new(started_at, grace);
    instance.phase.send_replace(Phase::Draining(schedule));
    while instance.now() < schedule.accept_until() {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    // A caller accepted after this point would be disconnected by the exit of the process.
    accept_task.abort();
    let _ = accept_task.await;
    let is_in_use = || session_count(session_tokens) > 0 || instance.forwards.leases.is_in_use();
    while is_in_use() && instance.now() < schedule.exit_at() {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    let open_sessions = session_count(session_tokens);
    let is_idle = !is_in_use();
    let unanswered = instance.unanswered_statements.get();
    let withdrawal = async {
        usage::finish(instance).await;
        if let Err(error) = watcher::withdraw(instance, is_idle).await {
            info!(instance.log, "entry of this instance not removed"; "error" => %error);
        }
    };
    let withdrawn = tokio::time::timeout(schedule.exit_time(), withdrawal).await;
    info!(instance.log, "stopped"; "sessions_cut" => open_sessions, "statements_cut" => unanswered,
        "withdrawn" => withdrawn.is_ok(),
        "took_ms" => instance.now().saturating_duration_since(started_at).as_millis() as u64);
}

/// Returns the number of open sessions. Each holds one token; the daemon holds another.
fn session_count(session_tokens: &Rc<()>) -> usize {
    Rc::strong_count(session_tokens) - 1
}
