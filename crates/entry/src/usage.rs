//! Counts operations for usage reports, pushes the counts to the instance that reports, and reports
//! those of all instances while this instance holds the usage lock.
//!
//! See docs/design/usage.md.

mod reporter;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use filbertbay_coordination::usage::{Clocks, Collector, Counted, Meter, Push, Schedule};
use rand::Rng;
use slog::{debug, info};

use self::reporter::Reporter;
use crate::catalog::is_anonymous;
use crate::clock::Clock;
use crate::instance::Instance;
use crate::peer::UsageReply;
use crate::settings::Settings;
use crate::task;
use crate::view::USAGE_LOCK_KEY;

/// Interval between two pushes of counts. What an instance counted since its last push is lost when its
/// process is killed.
const PUSH_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which a push that was not acknowledged is repeated, and at which counts that are complete
/// are looked for.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Usage counts of one instance.
pub struct Usage {
    clock: WallClock,
    meter: RefCell<Option<Meter>>,
    /// Counts of all instances, with the fencing token, while this instance holds the usage lock.
    collector: RefCell<Option<(u64, Collector)>>,
    clocks: RefCell<Clocks>,
}

impl std::fmt::Debug for Usage {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Usage").finish_non_exhaustive()
    }
}

/// Estimate of true time that later changes of the time of day do not affect.
#[derive(Debug)]
struct WallClock {
    started_at: Instant,
    /// Time of day when the process started.
    start: Duration,
    /// Correction towards the clocks of the other instances, in milliseconds.
    correction_ms: Cell<i64>,
}

impl WallClock {
    fn start(clock: Clock) -> Self {
        let start = SystemTime::now().duration_since(UNIX_EPOCH);
        let start = start.unwrap_or_default();
        Self {
            started_at: clock.started_at(),
            start: start.saturating_sub(clock.uptime()),
            correction_ms: Cell::new(0),
        }
    }

    /// Returns the time since the Unix epoch.
    fn at(&self, now: Instant) -> Duration {
        let uncorrected = self.start + now.saturating_duration_since(self.started_at);
        let correction_ms = self.correction_ms.get();
        let size = Duration::from_millis(correction_ms.unsigned_abs());
        if correction_ms < 0 {
            uncorrected.saturating_sub(size)
        } else {
            uncorrected + size
        }
    }

    fn set_back(&self, error_ms: i64) {
        self.correction_ms.set(self.correction_ms.get() - error_ms);
    }
}

/// Operation that was counted when its first statement was sent to an endpoint.
#[derive(Debug)]
pub struct CountedOperation {
    counted: Option<(Counted, Arc<str>)>,
}

impl Usage {
    /// Creates the counts of an instance; nothing is counted without settings for it.
    pub fn new(settings: &Settings, clock: Clock) -> Self {
        let schedule = settings.usage.map(|usage| {
            Schedule::new(
                Duration::from_secs(usage.window_s),
                Duration::from_secs(usage.late_s),
            )
        });
        let clock = WallClock::start(clock);
        let now = clock.at(clock.started_at);
        Self {
            meter: RefCell::new(schedule.map(|schedule| Meter::new(schedule, now))),
            clock,
            collector: RefCell::default(),
            clocks: RefCell::default(),
        }
    }

    /// Counts an operation of a workspace whose only or first statement is sent to an endpoint now.
    ///
    /// Further statements of a transaction and those of callers without a key don't count.
    pub fn count(&self, now: Instant, workspace: &Arc<str>) -> CountedOperation {
        let mut meter = self.meter.borrow_mut();
        let meter = meter.as_mut().filter(|_| !is_anonymous(workspace));
        let counted = meter.map(|meter| {
            let counted = meter.count(self.clock.at(now), workspace);
            (counted, Arc::clone(workspace))
        });
        CountedOperation { counted }
    }

    /// Takes back an operation whose statement the endpoint did not run.
    pub fn retract(&self, operation: &CountedOperation) {
        if let Some((counted, workspace)) = &operation.counted
            && let Some(meter) = self.meter.borrow_mut().as_mut()
        {
            meter.retract(*counted, workspace);
        }
    }

    /// Adds the counts of an instance if this one reports under the fencing token of the push.
    pub fn receive(&self, instance: &Instance, push: &Push) -> Option<UsageReply> {
        let mut collector = self.collector.borrow_mut();
        let (fence, collector) = collector.as_mut()?;
        if *fence != push.fence {
            return None;
        }
        collector.receive(push);
        let now = self.clock.at(instance.now());
        let ahead = push.now.as_millis() as i64 - now.as_millis() as i64;
        let mut clocks = self.clocks.borrow_mut();
        clocks.record(&push.instance, ahead);
        let clock_error_ms = clocks.error(ahead);
        Some(UsageReply { clock_error_ms })
    }

    /// Corrects the clock of this instance, which is ahead of the median by `error_ms`.
    fn correct_clock(&self, instance: &Instance, error_ms: i64) {
        if error_ms != 0 {
            info!(instance.log, "clock of usage windows corrected"; "ahead_ms" => error_ms);
            self.clock.set_back(error_ms);
        }
    }

    /// Forgets the counts of windows that the store has a report of.
    fn forget_sealed(&self, instance: &Instance) {
        let view = instance.view.borrow();
        if let Some((record, _)) = view.usage_record()
            && let Some(meter) = self.meter.borrow_mut().as_mut()
        {
            meter.forget_through(record.sealed_through);
        }
    }
}

/// Spawns the tasks that push counts and report them, if the settings ask for reports.
pub fn spawn(instance: &Rc<Instance>) {
    let Some(usage) = instance.settings().usage else {
        return;
    };
    let shared = Rc::clone(instance);
    task::spawn(&instance.log, "usage push", move || {
        push_all(Rc::clone(&shared))
    });
    let shared = Rc::clone(instance);
    task::spawn(&instance.log, "usage report", move || {
        Reporter::new(Rc::clone(&shared), usage).run()
    });
}

/// Pushes the counts to the instance that reports, for as long as the process runs.
async fn push_all(instance: Rc<Instance>) {
    let mut pushed_at = instance.now();
    // Instances that started together must not push at the same moments.
    let phase = rand::rng().random_range(0.0..1.0);
    tokio::time::sleep(TICK_INTERVAL.mul_f64(phase)).await;
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
        instance.usage.forget_sealed(&instance);
        let now = instance.now();
        let Some((name, fence)) = reporter(&instance) else {
            continue;
        };
        let is_behind = {
            let meter = instance.usage.meter.borrow();
            let time = instance.usage.clock.at(now);
            meter
                .as_ref()
                .is_some_and(|meter| meter.is_behind(fence, time))
        };
        if is_behind || now >= pushed_at + PUSH_INTERVAL {
            pushed_at = now;
            push(&instance, &name, fence).await;
        }
    }
}

/// Returns the instance that holds the usage lock and its fencing token.
fn reporter(instance: &Instance) -> Option<(Arc<str>, u64)> {
    let view = instance.view.borrow();
    let (holder, fence) = view.lock_holder(USAGE_LOCK_KEY)?;
    Some((Arc::clone(&holder.instance), *fence))
}

/// Pushes the counts that the reporter does not know. Returns whether it has them.
async fn push(instance: &Rc<Instance>, reporter: &str, fence: u64) -> bool {
    let usage = &instance.usage;
    let settings = instance.settings();
    let now = usage.clock.at(instance.now());
    let push = {
        let mut meter = usage.meter.borrow_mut();
        let meter = meter.as_mut();
        meter.map(|meter| meter.push(&settings.name, instance.incarnation, fence, now))
    };
    let Some(push) = push else {
        return true;
    };
    let reply = if *reporter == *settings.name {
        usage.receive(instance, &push)
    } else {
        let address = {
            let view = instance.view.borrow();
            view.peers().get(reporter).map(|peer| peer.address)
        };
        let Some(address) = address else {
            return false;
        };
        match instance.peers.usage(address, push.clone()).await {
            Ok(reply) => reply,
            Err(error) => {
                debug!(instance.log, "usage counts not pushed"; "peer" => reporter, "error" => %error);
                return false;
            }
        }
    };
    let Some(reply) = reply else {
        return false;
    };
    if let Some(meter) = usage.meter.borrow_mut().as_mut() {
        meter.acknowledge(&push);
    }
    usage.correct_clock(instance, reply.clock_error_ms);
    true
}

/// Pushes the last counts of an instance that shuts down. Returns when they are acknowledged.
///
/// The caller limits the time.
pub async fn finish(instance: &Rc<Instance>) {
    if instance.settings().usage.is_none() {
        return;
    }
    loop {
        if let Some((name, fence)) = reporter(instance)
            && push(instance, &name, fence).await
        {
            return;
        }
        tokio::time::sleep(TICK_INTERVAL).await;
    }
}
