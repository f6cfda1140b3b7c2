//! Command line of the filbertbay daemon: runs an instance or checks its settings.

use std::path::{Path, PathBuf};
use std::rc::Rc;

use bpaf::Bpaf;
use filbertbay::settings::Settings;
use filbertbay::{daemon, log, loss};
use miette::{IntoDiagnostic, Result};
use tokio::signal::unix::{SignalKind, signal};

/// Entry instance of filbertbay, a database proxy with session consistency.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Runs the instance until SIGTERM; a second SIGTERM ends it at once.
    #[bpaf(command)]
    Run {
        /// File with the settings, in JSON
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
    /// Runs an entry instance on the users' platform until SIGTERM.
    #[bpaf(command)]
    Entry {
        /// Only checks the settings, and ends with 0 if they can be used
        check: bool,
        /// File with the settings, in JSON
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
    /// Shows which members of each service may hold acknowledged commits.
    #[bpaf(command("replica-sets"))]
    ReplicaSets {
        /// File with the settings of an entry instance, in JSON
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
    /// Gives up the logs of members that will not come back; commits that no other member has are lost.
    #[bpaf(command("accept-loss"))]
    AcceptLoss {
        /// File with the settings of an entry instance, in JSON
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
        /// Service of the members
        #[bpaf(argument("SERVICE"))]
        service: String,
        /// Who decides this
        #[bpaf(argument("NAME"))]
        author: String,
        /// Why the members will not come back
        #[bpaf(argument("TEXT"))]
        reason: String,
        /// Member to give up, as `no successor chosen` names it in the log; may be repeated
        #[bpaf(
            long("member"),
            argument("MEMBER"),
            some("name the members to give up")
        )]
        members: Vec<String>,
    },
    /// Checks a settings file and ends with 0 if it can be used.
    #[bpaf(command)]
    Check {
        /// File with the settings, in JSON
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
}

fn main() -> Result<()> {
    match command().run() {
        Command::Entry { check, settings } => entry(&settings, check),
        Command::ReplicaSets { settings } => loss::show(&settings),
        Command::AcceptLoss {
            settings,
            service,
            author,
            reason,
            members,
        } => loss::accept(&settings, &service, &members, &author, &reason),
        Command::Run { settings } => run(Settings::read(&settings)?),
        Command::Check { settings } => {
            Settings::read(&settings)?;
            println!("{}: settings can be used", settings.display());
            Ok(())
        }
    }
}

/// Runs an entry instance on one thread, because its machine has only a fraction of a core.
fn entry(path: &Path, check: bool) -> Result<()> {
    let settings = filbertbay_entry::settings::Settings::read(path)?;
    if check {
        println!("{}: settings can be used", path.display());
        return Ok(());
    }
    let log = log::new_logger(log::Format::Json, &settings.name, &settings.data_centre);
    let drivers = filbertbay_platform::drivers(&settings).into_diagnostic()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .into_diagnostic()?;
    let acceptor = Rc::new(filbertbay_platform::caller::LineAcceptor);
    let instance = filbertbay_entry::daemon::run(settings, path.to_owned(), drivers, acceptor, log);
    tokio::task::LocalSet::new()
        .block_on(&runtime, instance)
        .into_diagnostic()
}

fn run(settings: Settings) -> Result<()> {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    if settings.traffic_threads > 0 {
        builder.worker_threads(settings.traffic_threads);
    }
    let runtime = builder.enable_all().build().into_diagnostic()?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: Settings) -> Result<()> {
    let log = log::new_logger(settings.log, &settings.name, &settings.data_centre);
    let mut terminate = signal(SignalKind::terminate()).into_diagnostic()?;
    let mut interrupt = signal(SignalKind::interrupt()).into_diagnostic()?;
    let daemon = daemon::spawn(settings, log).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    tokio::select! {
        () = daemon.shutdown() => {}
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
