//! Watermarks of primaries on one instance, and their exchange within a data centre.
//!
//! In a large fleet an instance rarely hears from the primary of a service itself, and without a recent
//! watermark it would send every read there. The instances of a large data centre therefore report
//! their latest watermarks to those that watch the store, and receive what the others reported. A
//! small data centre needs none: its instances hear from each primary often enough.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_coordination::freshness::{RemoteClock, WatermarkHistory};
use filbertbay_state::position::Position;
use slog::debug;

use crate::instance::Instance;
use crate::peer::{Watermark, WatermarkReply};
use crate::task;
use crate::watcher;

/// Interval of the exchange while statements arrive.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(300);

/// Age above which a watermark is not passed on; most routes tolerate data that is older than this.
const MAX_SHARED_AGE: Duration = Duration::from_millis(1_200);

/// Watermarks in one message, the latest first.
const MAX_SHARED: usize = 64;

/// Time since the last read for which the exchange goes on.
const ACTIVE_FOR: Duration = Duration::from_secs(3);

/// Watermarks of the primary of one service.
#[derive(Debug)]
struct ServiceWatermarks {
    history: WatermarkHistory,
    endpoint: Arc<str>,
    revision: u64,
}

/// Watermarks of all primaries on one instance.
#[derive(Debug, Default)]
pub struct Watermarks {
    services: RefCell<BTreeMap<Arc<str>, ServiceWatermarks>>,
    last_read_at: Cell<Option<Instant>>,
}

impl Watermarks {
    /// Records the position that `endpoint`, primary under the record of the given revision, returned
    /// for a query sent at `asked`.
    pub fn record(
        &self,
        service: &Arc<str>,
        endpoint: &str,
        revision: u64,
        asked: Instant,
        position: Position,
    ) {
        let mut services = self.services.borrow_mut();
        let watermarks = services
            .entry(Arc::clone(service))
            .or_insert_with(|| ServiceWatermarks {
                history: WatermarkHistory::default(),
                endpoint: endpoint.into(),
                revision,
            });
        watermarks.history.record(asked, position);
        if watermarks.endpoint.as_ref() != endpoint {
            watermarks.endpoint = endpoint.into();
        }
        watermarks.revision = revision;
    }

    /// Returns the lowest position that proves that a replica's data is younger than `age`, if known.
    pub fn min_position(&self, service: &str, now: Instant, age: Duration) -> Option<Position> {
        self.last_read_at.set(Some(now));
        let services = self.services.borrow();
        services.get(service)?.history.min_position(now, age)
    }

    /// Returns the latest watermark of each service that is young enough to be passed on, with its time
    /// as converted by `convert`.
    fn latest<F>(&self, now: Instant, convert: F) -> Vec<Watermark>
    where
        F: Fn(Instant) -> Option<Duration>,
    {
        let services = self.services.borrow();
        let mut recent: Vec<(Instant, Watermark)> = services
            .iter()
            .filter_map(|(service, watermarks)| {
                let (asked, position) = watermarks.history.latest()?;
                let is_recent = now.saturating_duration_since(asked) <= MAX_SHARED_AGE;
                let watermark = Watermark {
                    service: Arc::clone(service),
                    endpoint: Arc::clone(&watermarks.endpoint),
                    revision: watermarks.revision,
                    position,
                    asked: convert(asked).filter(|_| is_recent)?,
                };
                Some((asked, watermark))
            })
            .collect();
        recent.sort_by_key(|(asked, _)| std::cmp::Reverse(*asked));
        recent.truncate(MAX_SHARED);
        recent.into_iter().map(|(_, watermark)| watermark).collect()
    }

    /// Returns whether a replica was considered for a read recently.
    fn is_in_use(&self, now: Instant) -> bool {
        let last = self.last_read_at.get();
        last.is_some_and(|at| now.saturating_duration_since(at) < ACTIVE_FOR)
    }
}

/// Records the watermarks that another instance reports on this instance's clock, and returns those
/// known here. A report for another incarnation of this instance is ignored.
pub fn handle_report(
    instance: &Instance,
    incarnation: u64,
    reported: &[Watermark],
) -> WatermarkReply {
    let now = instance.now();
    let started_at = instance.clock.started_at();
    // Answered first, so that the caller does not get its own watermarks back.
    let known = instance
        .watermarks
        .latest(now, |asked| Some(now.saturating_duration_since(asked)));
    if incarnation == instance.incarnation {
        for watermark in reported {
            if let Some(asked) = started_at.checked_add(watermark.asked) {
                record(instance, watermark, asked.min(now));
            }
        }
    }
    WatermarkReply {
        incarnation: instance.incarnation,
        now: now.saturating_duration_since(started_at),
        watermarks: known,
    }
}

/// Spawns the task that exchanges watermarks with the watchers of the data centre.
pub fn spawn(instance: &Rc<Instance>) {
    let shared = Rc::clone(instance);
    task::spawn(&instance.log, "watermarks", move || {
        exchange_all(Rc::clone(&shared))
    });
}

async fn exchange_all(instance: Rc<Instance>) {
    let mut clocks: BTreeMap<SocketAddr, (u64, RemoteClock)> = BTreeMap::new();
    loop {
        tokio::time::sleep(EXCHANGE_INTERVAL).await;
        if !instance.watermarks.is_in_use(instance.now()) {
            continue;
        }
        let Some(watcher) = watcher::choose_watcher(&instance) else {
            continue;
        };
        exchange(&instance, watcher, &mut clocks).await;
    }
}

/// Reports this instance's watermarks to a watcher and records those that it returns.
async fn exchange(
    instance: &Instance,
    watcher: SocketAddr,
    clocks: &mut BTreeMap<SocketAddr, (u64, RemoteClock)>,
) {
    let sent_at = instance.now();
    let (incarnation, own) = match clocks.get(&watcher) {
        Some((incarnation, clock)) => {
            let convert = |asked| clock.not_later_than(asked);
            (*incarnation, instance.watermarks.latest(sent_at, convert))
        }
        None => (0, Vec::new()),
    };
    match instance.peers.watermarks(watcher, incarnation, own).await {
        Ok(reply) => {
            let clock = RemoteClock::new(instance.now(), reply.now);
            clocks.insert(watcher, (reply.incarnation, clock));
            for watermark in &reply.watermarks {
                // The answer was made after the call was sent, so this is not later than the truth.
                if let Some(asked) = sent_at.checked_sub(watermark.asked) {
                    record(instance, watermark, asked);
                }
            }
        }
        Err(error) => {
            clocks.remove(&watcher);
            debug!(instance.log, "watermarks not exchanged"; "peer" => %watcher, "error" => %error);
        }
    }
}

fn record(instance: &Instance, watermark: &Watermark, asked: Instant) {
    instance.record_position(
        &watermark.service,
        &watermark.endpoint,
        watermark.revision,
        asked,
        watermark.position,
    );
}
