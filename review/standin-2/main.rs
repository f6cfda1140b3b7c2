//! Stand-ins of the platform, the members and the clients for the scripts of this review, and the
//! scripts' cases. Standard library only; all addresses are loopback addresses.
//!
//! Usage: `standin-2 CASE RECORD`, from the top of the repository, with TROUBLE=0 for the run without the
//! disruption. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod client;
mod daemon;
mod forwarded_answers;
mod forgotten_member;
mod json;
mod late_order;
mod member;
mod metrics_growth;
mod record;
mod refusals;
mod startups;
mod state_of_connections;
mod store;

use std::path::PathBuf;

use record::Record;

/// Problem because of which a case could not run.
struct CannotRun(String);

/// Ends the case; unwinding ends the processes that it started.
pub fn cannot_run(problem: &str) -> ! {
    std::panic::resume_unwind(Box::new(CannotRun(problem.to_owned())))
}

/// What a case needs.
pub struct Stage {
    pub record: Record,
    /// Whether the disruption is played.
    pub trouble: bool,
    /// Temporary folder.
    pub folder: String,
}

/// Verdict of a case.
pub enum Verdict {
    Held,
    Broken(String),
}

/// Configuration with a route of each kind to each service; the hosts are `KIND-SERVICE`.
pub fn config(version: u64, services: &[&str], max_connections: usize, tenants: &[(&str, &str)]) -> String {
    let route = |service: &str, host: &str, kind: &str, staleness: u64| {
        format!(
            "{{\"name\":\"r-{host}-{service}\",\"host\":\"{host}-{service}\",\"prefix\":\"/\",\"type\":\"{kind}\",\
             \"timeout_ms\":1500,\"target_latency_ms\":600,\"priority\":1,\"service\":\"{service}\",\"attempts\":2,\
             \"max_staleness_ms\":{staleness},\"anonymous\":false,\"allowed_regions\":[]}}"
        )
    };
    let routes: Vec<String> = services
        .iter()
        .flat_map(|service| {
            [
                route(service, "primary", "primary", 0),
                route(service, "bounded", "bounded_staleness", 1500),
                route(service, "own", "read_your_writes", 2500),
            ]
        })
        .collect();
    let services = services.iter().map(|service| {
        format!(
            "{{\"name\":\"{service}\",\"health_path\":\"/health\",\"max_conns\":{max_connections},\"protocol\":\"h1\",\
             \"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0,\"sync_replicas\":0}}"
        )
    });
    let services: Vec<String> = services.collect();
    let tenants: Vec<String> = tenants
        .iter()
        .map(|(name, key)| {
            format!(
                "{{\"name\":\"{name}\",\"api_keys\":[\"{key}\"],\"priority\":1,\"rate_per_s\":500,\"burst\":500,\
                 \"allowed_regions\":[]}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"tx_idle_ms\":3000}},\"tenants\":[{}]}}",
        routes.join(","),
        services.join(","),
        tenants.join(",")
    )
}

/// Runs the case, and returns the exit status.
fn play() -> u8 {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        cannot_run("usage: standin-2 CASE RECORD");
    };
    let folder: PathBuf = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    if let Err(error) = std::fs::create_dir_all(&folder) {
        cannot_run(&error.to_string());
    }
    let stage = Stage {
        record: Record::create(path),
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
        folder: folder.display().to_string(),
    };
    let trouble = if stage.trouble { "with" } else { "without" };
    stage.record.say(&format!("case {case}, {trouble} the disruption"));
    let verdict = match case.as_str() {
        "late-order" => late_order::run(&stage),
        "forgotten-member" => forgotten_member::run(&stage),
        "unfetched-metrics" => metrics_growth::run(&stage),
        "connection-state" => state_of_connections::run(&stage),
        "refusals" => refusals::run(&stage),
        "forwarded-answers" => forwarded_answers::run(&stage),
        "long-keys" => startups::run(&stage, true),
        "long-databases" => startups::run(&stage, false),
        other => cannot_run(&format!("no case {other:?}")),
    };
    if std::env::var("KEEP").is_err() {
        // A folder that stays behind does no harm.
        let _ = std::fs::remove_dir_all(&folder);
    } else {
        println!("logs in {}", folder.display());
    }
    match verdict {
        Verdict::Held => {
            stage.record.say("the rule held");
            0
        }
        Verdict::Broken(what) => {
            stage.record.say(&format!("BROKEN: {what}"));
            1
        }
    }
}

fn main() {
    let status = std::panic::catch_unwind(play).unwrap_or_else(|problem| {
        let reason = problem.downcast_ref::<CannotRun>().map_or("a panic", |problem| problem.0.as_str());
        eprintln!("the case can't run: {reason}");
        2
    });
    // Threads of the stand-ins may still run.
    std::process::exit(i32::from(status))
}
