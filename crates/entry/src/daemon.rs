//! Start, reload and end of an entry instance.

use std::path::{Path, PathBuf};
use std::rc::{Rc, Weak};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use slog::{Logger, info, warn};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::JoinHandle;

use crate::caller::Caller;
use crate::instance::{Drivers, Instance, Phase};
use crate::session;
use crate::settings::Settings;
use crate::{health, peer, quota, succession, watcher};

/// Time before SIGKILL by which the process has ended by itself.
const END_MARGIN: Duration = Duration::from_secs(1);

/// Time after SIGTERM for which callers may still come, as the balancer takes two questions to
/// notice.
const ACCEPT_AFTER_TERM: Duration = Duration::from_secs(3);

/// Time between two looks at the end of the sessions.
const END_STEP: Duration = Duration::from_millis(50);

/// Time between two looks at the settings file, which may change without a signal.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(5);

/// Descriptors that are not for callers: connections to endpoints, instances and the store.
const RESERVED_FILES: usize = 600;

/// Pause after a failed accept, while descriptors are short.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Makes the session side of an accepted connection.
pub trait Acceptor {
    /// Takes a connection over.
    fn adopt(&self, stream: tokio::net::TcpStream) -> Box<dyn Caller>;
}

/// Runs an entry instance until SIGTERM.
///
/// # Errors
///
/// Returns an error if a listener can't be bound or the signals can't be heard.
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
            _ = reload.recv() => reread(&handle.instance, &path, true),
            () = tokio::time::sleep(SETTINGS_INTERVAL) => reread(&handle.instance, &path, false),
        }
    }
    handle.stop().await;
    Ok(())
}

/// Running instance.
pub struct Handle {
    instance: Rc<Instance>,
    live: Rc<()>,
    accepting: JoinHandle<()>,
}

impl std::fmt::Debug for Handle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Handle").finish_non_exhaustive()
    }
}

/// Starts an entry instance on the present `LocalSet`.
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
    let callers = TcpListener::bind(settings.callers).await?;
    let readiness = TcpListener::bind(settings.readiness).await?;
    let peers = TcpListener::bind(settings.peers).await?;
    let metrics = TcpListener::bind(settings.metrics).await?;
    let readiness_path = settings.readiness_path.clone();
    let most = settings.file_limit.saturating_sub(RESERVED_FILES).max(1);
    let instance = Instance::new(settings, drivers, incarnation(), log);
    let version = env!("CARGO_PKG_VERSION");
    info!(instance.log, "started"; "version" => version, "incarnation" => instance.incarnation);
    peer::serve(peers, Rc::clone(&instance));
    watcher::spawn(&instance);
    quota::spawn(&instance);
    succession::spawn(&instance);
    health::serve_readiness(readiness, &readiness_path, &instance);
    health::serve_metrics(metrics, &instance);
    let live = Rc::new(());
    let token = Rc::downgrade(&live);
    let accepting = accept(callers, Rc::clone(&instance), acceptor, token, most);
    let accepting = tokio::task::spawn_local(accepting);
    Ok(Handle {
        instance,
        live,
        accepting,
    })
}

impl Handle {
    /// Returns the state of the instance.
    pub fn instance(&self) -> &Rc<Instance> {
        &self.instance
    }

    /// Lets the balancer and callers leave, and then takes the instance off the list.
    pub async fn stop(self) {
        end(&self.instance, &self.live, self.accepting).await;
    }
}

/// Returns a number that grows with each start, as long as the time of day does not go back by more
/// than the time between two starts; a lower one costs the waits for a dead instance, never a
/// promise.
fn incarnation() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(1, |since| since.as_millis() as u64)
}

async fn accept(
    listener: TcpListener,
    instance: Rc<Instance>,
    acceptor: Rc<dyn Acceptor>,
    live: Weak<()>,
    most: usize,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let Some(token) = live.upgrade() else {
                    return;
                };
                if sessions(&token) > most {
                    warn!(instance.log, "caller turned away, too many connections"; "limit" => most);
                    continue;
                }
                if let Err(error) = crate::socket::configure(&stream) {
                    info!(instance.log, "options of a caller's connection not set"; "error" => %error);
                }
                let session = session::serve(Rc::clone(&instance), acceptor.adopt(stream));
                tokio::task::spawn_local(async move {
                    session.await;
                    drop(token);
                });
            }
            Err(error) => {
                warn!(instance.log, "caller not accepted"; "error" => %error);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Reads the settings again and takes over what can change while the process runs.
fn reread(instance: &Rc<Instance>, path: &Path, is_asked: bool) {
    let settings = match Settings::read(path) {
        Ok(settings) => settings,
        Err(error) => {
            warn!(instance.log, "settings not reloaded"; "error" => %error);
            return;
        }
    };
    let old = instance.settings();
    if *old == settings {
        if is_asked {
            info!(instance.log, "settings unchanged");
        }
        return;
    }
    let needs_restart = old.callers != settings.callers
        || old.peers != settings.peers
        || old.readiness != settings.readiness
        || old.metrics != settings.metrics
        || old.store != settings.store
        || old.failover != settings.failover;
    info!(instance.log, "settings reloaded"; "needs_restart" => needs_restart);
    *instance.settings.borrow_mut() = Rc::new(settings);
}

/// Lets the balancer and callers leave, and then takes this instance off the list.
async fn end(instance: &Rc<Instance>, live: &Rc<()>, accepting: JoinHandle<()>) {
    let since = instance.now();
    let grace = instance.settings().grace();
    info!(instance.log, "stopping"; "sessions" => sessions(live),
        "grace_ms" => grace.as_millis() as u64);
    instance.phase.send_replace(Phase::Draining(since));
    let until = since + grace.saturating_sub(END_MARGIN);
    while instance.now() < (since + ACCEPT_AFTER_TERM).min(until) {
        tokio::time::sleep(END_STEP).await;
    }
    // A caller accepted from here on would be cut by the end of the process.
    accepting.abort();
    let _ = accepting.await;
    while sessions(live) > 0 && instance.now() < until {
        tokio::time::sleep(END_STEP).await;
    }
    let cut = sessions(live);
    let withdrawn = tokio::time::timeout(END_MARGIN / 2, watcher::withdraw(instance)).await;
    info!(instance.log, "stopped"; "sessions_cut" => cut, "withdrawn" => withdrawn.is_ok(),
        "took_ms" => instance.now().saturating_duration_since(since).as_millis() as u64);
}

/// Returns the number of open sessions, each of which holds a token beside the one of the daemon.
fn sessions(live: &Rc<()>) -> usize {
    Rc::strong_count(live) - 1
}
