//! Actor that drives the membership table.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_coordination::contact::ContactTracker;
use filbertbay_coordination::membership::{Action, Config, Event, MembershipUpdate, Table};
use filbertbay_coordination::share::Holder;
use filbertbay_protocol::peer::{Heartbeat, PROTOCOL_VERSION, Relay};
use filbertbay_state::document::Availability;
use filbertbay_state::instance::Instance;
use filbertbay_transport::peer::PeerPool;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use xtra::WeakAddress;
use xtra::prelude::*;

use super::{configuration, share};
use crate::published::Published;
use crate::share::Shares;

/// Longest wait for the answer of a probe, its relays included.
const PROBE_DEADLINE: Duration = Duration::from_secs(1);

/// Time between two looks at the table's deadlines.
const TICK: Duration = Duration::from_millis(100);

/// Actor that probes other instances and answers their probes.
#[derive(Debug)]
pub struct Membership {
    table: Table,
    rng: StdRng,
    pool: Arc<PeerPool>,
    published: Arc<Published>,
    configuration: Address<configuration::Configuration>,
    changes: u64,
    /// Whether the whole table of some other instance was taken in.
    is_synced: bool,
    contact: ContactTracker,
    shares: Arc<Shares>,
    silence_limit: Option<Duration>,
}

impl Membership {
    /// Spawns the actor with a table that holds this instance alone.
    pub fn spawn(
        pool: Arc<PeerPool>,
        published: Arc<Published>,
        configuration: Address<configuration::Configuration>,
        shares: Arc<Shares>,
        silence_limit: Option<Duration>,
    ) -> Address<Self> {
        let own = published.own().clone();
        let data_centre = Arc::clone(&own.data_centre);
        let actor = Self {
            table: Table::new(Instant::now(), own, Config::default()),
            rng: StdRng::from_os_rng(),
            pool,
            published,
            configuration,
            changes: 0,
            is_synced: false,
            contact: ContactTracker::new(Instant::now(), data_centre),
            shares,
            silence_limit,
        };
        let address = xtra::spawn_tokio(actor, Mailbox::bounded(super::MAILBOX));
        tokio::spawn(tick(address.downgrade()));
        address
    }

    fn heartbeat(&mut self, to: &str) -> Heartbeat {
        Heartbeat {
            protocol: PROTOCOL_VERSION,
            from: self.table.own().clone(),
            config_version: self.published.snapshot().version().0,
            platform_contact_age: self.contact.platform_age(Instant::now()),
            allocation_epoch: self.shares.allocation().epoch,
            updates: self.table.updates_for(to),
        }
    }

    fn act(&mut self, address: &WeakAddress<Self>, action: Action) {
        match action {
            Action::Probe {
                to,
                probe_id: probe,
            } => {
                let heartbeat = self.heartbeat(&to.name);
                tokio::spawn(send_probe(
                    Arc::clone(&self.pool),
                    address.clone(),
                    to.peer_address,
                    probe,
                    heartbeat,
                ));
            }
            Action::Relay {
                via,
                to,
                probe_id: probe,
            } => {
                let relay = Relay {
                    heartbeat: self.heartbeat(&to.name),
                    to: to.name,
                };
                tokio::spawn(send_relay(
                    Arc::clone(&self.pool),
                    address.clone(),
                    via,
                    probe,
                    relay,
                ));
            }
        }
    }

    fn publish(&mut self) {
        if self.changes == self.table.change_count() {
            return;
        }
        self.changes = self.table.change_count();
        let instances: Vec<Instance> = self.table.live().cloned().collect();
        metrics::gauge!("filbertbay_instances_live").set(instances.len() as f64);
        self.published.set_instances(instances);
    }

    /// Lets callers with a key in while changes of the configuration can't go unheard for too long.
    fn publish_contact(&mut self, now: Instant) {
        if let Some(heard) = self.published.platform_heard() {
            self.contact.record_platform_contact(heard);
        }
        let snapshot = self.published.snapshot();
        let serving = snapshot
            .data_centres
            .iter()
            .filter(|one| one.availability == Availability::In);
        let data_centres = serving.map(|one| one.name.as_ref());
        let silence = self.contact.isolation_time(now, data_centres);
        metrics::gauge!("filbertbay_configuration_silence_seconds").set(silence.as_secs_f64());
        let is_cut_off = self.silence_limit.is_some_and(|limit| silence > limit);
        self.published.set_cut_off(is_cut_off);
    }

    /// Takes note of the sender, and passes its version on to the configuration actor.
    async fn hear(&mut self, heartbeat: &Heartbeat) {
        let from = &heartbeat.from.instance;
        self.contact.record_message(
            Instant::now(),
            &from.data_centre,
            heartbeat.platform_contact_age,
        );
        if heartbeat.allocation_epoch > self.shares.allocation().epoch {
            let (pool, shares) = (Arc::clone(&self.pool), Arc::clone(&self.shares));
            tokio::spawn(share::pull(pool, shares, from.clone()));
        }
        let heard = configuration::Heard {
            from: heartbeat.from.instance.clone(),
            version: heartbeat.config_version,
        };
        // Probes repeat the version, so a full mailbox may drop this one.
        let _ = self.configuration.send(heard).detach().await;
    }
}

async fn tick(address: WeakAddress<Membership>) {
    let mut interval = tokio::time::interval(TICK);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if address.send(Tick).await.is_err() {
            return;
        }
    }
}

async fn send_probe(
    pool: Arc<PeerPool>,
    address: WeakAddress<Membership>,
    to: SocketAddr,
    probe: u64,
    heartbeat: Heartbeat,
) {
    let answer = pool
        .call(to, PROBE_DEADLINE, |client, context| async move {
            client.probe(context, heartbeat).await
        })
        .await;
    if let Ok(Some(heartbeat)) = answer {
        let _ = address.send(Answered { probe, heartbeat }).await;
    }
}

async fn send_relay(
    pool: Arc<PeerPool>,
    address: WeakAddress<Membership>,
    via: Instance,
    probe: u64,
    relay: Relay,
) {
    let answer = pool
        .call(
            via.peer_address,
            PROBE_DEADLINE,
            |client, context| async move { client.relay(context, relay).await },
        )
        .await;
    if let Ok(Some(heartbeat)) = answer {
        let _ = address.send(Answered { probe, heartbeat }).await;
    }
}

impl Actor for Membership {
    type Stop = ();

    async fn stopped(self) {}
}

/// Looks at the table's deadlines.
#[derive(Debug)]
struct Tick;

impl Handler<Tick> for Membership {
    type Return = ();

    async fn handle(&mut self, _: Tick, context: &mut Context<Self>) {
        let address = context.mailbox().address();
        for action in self.table.tick(Instant::now(), &mut self.rng) {
            self.act(&address, action);
        }
        self.publish();
        self.publish_contact(Instant::now());
    }
}

/// Probe of another instance, to be answered.
#[derive(Debug)]
pub struct Probed(pub Heartbeat);

impl Handler<Probed> for Membership {
    type Return = Option<Heartbeat>;

    async fn handle(&mut self, message: Probed, _: &mut Context<Self>) -> Option<Heartbeat> {
        let heartbeat = message.0;
        if heartbeat.protocol != PROTOCOL_VERSION {
            return None;
        }
        self.hear(&heartbeat).await;
        let Heartbeat { from, updates, .. } = heartbeat;
        let name = Arc::clone(&from.instance.name);
        self.table
            .on_event(Instant::now(), Event::ProbeReceived { from, updates });
        Some(self.heartbeat(&name))
    }
}

/// Answer to a probe of this instance.
#[derive(Debug)]
struct Answered {
    probe: u64,
    heartbeat: Heartbeat,
}

impl Handler<Answered> for Membership {
    type Return = ();

    async fn handle(&mut self, message: Answered, _: &mut Context<Self>) {
        if message.heartbeat.protocol != PROTOCOL_VERSION {
            return;
        }
        self.hear(&message.heartbeat).await;
        let Heartbeat {
            from, mut updates, ..
        } = message.heartbeat;
        updates.push(from);
        self.table.on_event(
            Instant::now(),
            Event::ProbeAcknowledged {
                probe_id: message.probe,
                updates,
            },
        );
    }
}

/// Introduces this instance at an address of which nothing else is known.
#[derive(Debug)]
pub struct Greet(pub SocketAddr);

/// Number of a probe that the table did not send; only the rumours of its answer count.
const GREETING: u64 = u64::MAX;

impl Handler<Greet> for Membership {
    type Return = ();

    async fn handle(&mut self, message: Greet, context: &mut Context<Self>) {
        let heartbeat = self.heartbeat("");
        let address = context.mailbox().address();
        let pool = Arc::clone(&self.pool);
        tokio::spawn(sync(Arc::clone(&pool), address.clone(), message.0));
        tokio::spawn(send_probe(pool, address, message.0, GREETING, heartbeat));
    }
}

/// Asks for an instance that is not removed, by its name.
#[derive(Debug)]
pub struct Find(pub Arc<str>);

impl Handler<Find> for Membership {
    type Return = Option<Instance>;

    async fn handle(&mut self, message: Find, _: &mut Context<Self>) -> Option<Instance> {
        self.table
            .present()
            .find(|instance| instance.name == message.0)
            .cloned()
    }
}

/// The platform's list of instances, as just read.
#[derive(Debug)]
pub struct Listed(pub Vec<Instance>);

/// Listed instances that are asked for their table when this one joins.
const SYNC_PEERS: usize = 3;

impl Handler<Listed> for Membership {
    type Return = ();

    async fn handle(&mut self, message: Listed, context: &mut Context<Self>) {
        let now = Instant::now();
        self.contact.record_platform_contact(now);
        if !self.is_synced {
            let own = &self.published.own().name;
            let others = message.0.iter().filter(|one| one.name != *own);
            for to in others.choose_multiple(&mut self.rng, SYNC_PEERS) {
                let address = context.mailbox().address();
                tokio::spawn(sync(Arc::clone(&self.pool), address, to.peer_address));
            }
        }
        self.table.on_event(now, Event::PlatformList(message.0));
        self.publish();
    }
}

async fn sync(pool: Arc<PeerPool>, address: WeakAddress<Membership>, to: SocketAddr) {
    let answer = pool
        .call(to, PROBE_DEADLINE, |client, context| async move {
            client.members(context).await
        })
        .await;
    if let Ok(updates) = answer {
        let _ = address.send(Synced(updates)).await;
    }
}

/// The whole table of another instance.
#[derive(Debug)]
struct Synced(Vec<MembershipUpdate>);

impl Handler<Synced> for Membership {
    type Return = ();

    async fn handle(&mut self, message: Synced, _: &mut Context<Self>) {
        self.is_synced = true;
        let event = Event::ProbeAcknowledged {
            probe_id: GREETING,
            updates: message.0,
        };
        self.table.on_event(Instant::now(), event);
        self.publish();
    }
}

/// Asks for the rumours of all instances that are present.
#[derive(Debug)]
pub struct Members;

impl Handler<Members> for Membership {
    type Return = Vec<MembershipUpdate>;

    async fn handle(&mut self, _: Members, _: &mut Context<Self>) -> Vec<MembershipUpdate> {
        self.table.snapshot()
    }
}

/// Marks this instance as leaving.
#[derive(Debug)]
pub struct Leave;

impl Handler<Leave> for Membership {
    type Return = ();

    async fn handle(&mut self, _: Leave, _: &mut Context<Self>) {
        self.table.leave(Instant::now());
        self.publish();
    }
}

/// Asks which instances are present and when they were heard.
#[derive(Debug)]
pub struct Census;

/// Instances that are not removed, and the contact with the platform.
#[derive(Clone, Debug)]
pub struct Count {
    /// Instances and when a message of theirs last came in.
    present: Vec<(Instance, Option<Instant>)>,
    /// Time since the platform answered this instance or one that it heard of.
    pub platform_age: Option<Duration>,
}

impl Count {
    /// Tells whether a holder of shares is present.
    pub fn is_present(&self, holder: &Holder) -> bool {
        self.find(holder).is_some()
    }

    /// Returns when a message of a holder of shares last came in.
    pub fn heard(&self, holder: &Holder) -> Option<Instant> {
        self.find(holder).and_then(|(_, heard)| *heard)
    }

    fn find(&self, holder: &Holder) -> Option<&(Instance, Option<Instant>)> {
        self.present
            .iter()
            .find(|(one, _)| holder.is_incarnation(&one.name, one.incarnation))
    }
}

impl Handler<Census> for Membership {
    type Return = Count;

    async fn handle(&mut self, _: Census, _: &mut Context<Self>) -> Count {
        let present = self.table.present();
        let heard = |instance: &Instance| self.table.last_message_at(&instance.name);
        Count {
            present: present.map(|one| (one.clone(), heard(one))).collect(),
            platform_age: self.contact.platform_age(Instant::now()),
        }
    }
}
