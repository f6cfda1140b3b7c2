//! Actor that runs the SWIM membership protocol for this instance.
//!
//! It sends the probes that the membership [`Table`] schedules, acknowledges those of peers, and
//! publishes the live instances. Heartbeats also carry the configuration version, the epoch of the
//! lane allocation and the age of the sender's last platform contact.

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
use crate::published::PublishedState;
use crate::share::Shares;

/// Timeout of a direct or relayed probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time between two ticks of the table.
const TICK: Duration = Duration::from_millis(100);

/// Actor that probes peers and answers their probes.
#[derive(Debug)]
pub struct MembershipActor {
    table: Table,
    rng: StdRng,
    pool: Arc<PeerPool>,
    published: Arc<PublishedState>,
    configuration: Address<configuration::ConfigurationActor>,
    published_changes: u64,
    /// Whether the complete table of a peer has been received.
    has_peer_table: bool,
    contacts: ContactTracker,
    shares: Arc<Shares>,
    isolation_limit: Option<Duration>,
}

impl MembershipActor {
    /// Spawns the actor with a table that contains only this instance.
    pub fn spawn(
        pool: Arc<PeerPool>,
        published: Arc<PublishedState>,
        configuration: Address<configuration::ConfigurationActor>,
        shares: Arc<Shares>,
        isolation_limit: Option<Duration>,
    ) -> Address<Self> {
        let own = published.local_instance().clone();
        let data_centre = Arc::clone(&own.data_centre);
        let actor = Self {
            table: Table::new(Instant::now(), own, Config::default()),
            rng: StdRng::from_os_rng(),
            pool,
            published,
            configuration,
            published_changes: 0,
            has_peer_table: false,
            contacts: ContactTracker::new(Instant::now(), data_centre),
            shares,
            isolation_limit,
        };
        let address = xtra::spawn_tokio(actor, Mailbox::bounded(super::MAILBOX_CAPACITY));
        tokio::spawn(tick(address.downgrade()));
        address
    }

    fn heartbeat(&mut self, to: &str) -> Heartbeat {
        Heartbeat {
            protocol: PROTOCOL_VERSION,
            from: self.table.own().clone(),
            config_version: self.published.snapshot().version().0,
            platform_contact_age: self.contacts.platform_age(Instant::now()),
            allocation_epoch: self.shares.allocation().epoch,
            updates: self.table.updates_for(to),
        }
    }

    fn execute(&mut self, address: &WeakAddress<Self>, action: Action) {
        match action {
            Action::Probe { to, probe_id } => {
                let heartbeat = self.heartbeat(&to.name);
                tokio::spawn(send_probe(
                    Arc::clone(&self.pool),
                    address.clone(),
                    to.peer_address,
                    probe_id,
                    heartbeat,
                ));
            }
            Action::Relay { via, to, probe_id } => {
                let relay = Relay {
                    heartbeat: self.heartbeat(&to.name),
                    to: to.name,
                };
                tokio::spawn(send_relay(
                    Arc::clone(&self.pool),
                    address.clone(),
                    via,
                    probe_id,
                    relay,
                ));
            }
        }
    }

    fn publish_instances(&mut self) {
        if self.published_changes == self.table.change_count() {
            return;
        }
        self.published_changes = self.table.change_count();
        let instances: Vec<Instance> = self.table.live().cloned().collect();
        metrics::gauge!("filbertbay_instances_live").set(instances.len() as f64);
        self.published.set_instances(instances);
    }

    /// Publishes whether this instance may have missed configuration changes for longer than the
    /// limit, in which case callers with a key are refused.
    fn publish_isolation(&mut self, now: Instant) {
        if let Some(contact) = self.published.last_platform_contact() {
            self.contacts.record_platform_contact(contact);
        }
        let snapshot = self.published.snapshot();
        let available = snapshot
            .data_centres
            .iter()
            .filter(|data_centre| data_centre.availability == Availability::In);
        let data_centres = available.map(|data_centre| data_centre.name.as_ref());
        let isolation = self.contacts.isolation_time(now, data_centres);
        metrics::gauge!("filbertbay_configuration_silence_seconds").set(isolation.as_secs_f64());
        let is_isolated = self.isolation_limit.is_some_and(|limit| isolation > limit);
        self.published.set_isolated(is_isolated);
    }

    /// Records a peer's heartbeat, and starts pulls of a newer configuration or allocation.
    async fn record_heartbeat(&mut self, heartbeat: &Heartbeat) {
        let from = &heartbeat.from.instance;
        self.contacts.record_message(
            Instant::now(),
            &from.data_centre,
            heartbeat.platform_contact_age,
        );
        if heartbeat.allocation_epoch > self.shares.allocation().epoch {
            let (pool, shares) = (Arc::clone(&self.pool), Arc::clone(&self.shares));
            tokio::spawn(share::pull_record(pool, shares, from.clone()));
        }
        let version = configuration::PeerVersion {
            from: heartbeat.from.instance.clone(),
            version: heartbeat.config_version,
        };
        // The reply is not awaited. A lost message is harmless, as every probe repeats the version.
        let _ = self.configuration.send(version).detach().await;
    }
}

async fn tick(address: WeakAddress<MembershipActor>) {
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
    address: WeakAddress<MembershipActor>,
    to: SocketAddr,
    probe_id: u64,
    heartbeat: Heartbeat,
) {
    let response = pool
        .call(to, PROBE_TIMEOUT, |client, context| async move {
            client.probe(context, heartbeat).await
        })
        .await;
    if let Ok(Some(heartbeat)) = response {
        let _ = address
            .send(ProbeAcknowledged {
                probe_id,
                heartbeat,
            })
            .await;
    }
}

async fn send_relay(
    pool: Arc<PeerPool>,
    address: WeakAddress<MembershipActor>,
    via: Instance,
    probe_id: u64,
    relay: Relay,
) {
    let response = pool
        .call(
            via.peer_address,
            PROBE_TIMEOUT,
            |client, context| async move { client.relay(context, relay).await },
        )
        .await;
    if let Ok(Some(heartbeat)) = response {
        let _ = address
            .send(ProbeAcknowledged {
                probe_id,
                heartbeat,
            })
            .await;
    }
}

impl Actor for MembershipActor {
    type Stop = ();

    async fn stopped(self) {}
}

/// Advances the table to the current time.
#[derive(Debug)]
struct Tick;

impl Handler<Tick> for MembershipActor {
    type Return = ();

    async fn handle(&mut self, _: Tick, context: &mut Context<Self>) {
        let address = context.mailbox().address();
        for action in self.table.tick(Instant::now(), &mut self.rng) {
            self.execute(&address, action);
        }
        self.publish_instances();
        self.publish_isolation(Instant::now());
    }
}

/// Handles a peer's probe and returns the acknowledgement; `None` for another protocol version.
#[derive(Debug)]
pub struct ReceiveProbe(pub Heartbeat);

impl Handler<ReceiveProbe> for MembershipActor {
    type Return = Option<Heartbeat>;

    async fn handle(&mut self, message: ReceiveProbe, _: &mut Context<Self>) -> Option<Heartbeat> {
        let heartbeat = message.0;
        if heartbeat.protocol != PROTOCOL_VERSION {
            return None;
        }
        self.record_heartbeat(&heartbeat).await;
        let Heartbeat { from, updates, .. } = heartbeat;
        let name = Arc::clone(&from.instance.name);
        self.table
            .on_event(Instant::now(), Event::ProbeReceived { from, updates });
        Some(self.heartbeat(&name))
    }
}

/// Delivers the acknowledgement of a probe that this instance sent.
#[derive(Debug)]
struct ProbeAcknowledged {
    probe_id: u64,
    heartbeat: Heartbeat,
}

impl Handler<ProbeAcknowledged> for MembershipActor {
    type Return = ();

    async fn handle(&mut self, message: ProbeAcknowledged, _: &mut Context<Self>) {
        if message.heartbeat.protocol != PROTOCOL_VERSION {
            return;
        }
        self.record_heartbeat(&message.heartbeat).await;
        let Heartbeat {
            from, mut updates, ..
        } = message.heartbeat;
        updates.push(from);
        self.table.on_event(
            Instant::now(),
            Event::ProbeAcknowledged {
                probe_id: message.probe_id,
                updates,
            },
        );
    }
}

/// Probes a seed address and fetches the table of the instance that listens there.
#[derive(Debug)]
pub struct ContactSeed(pub SocketAddr);

/// Id of probes that the table did not start; only the updates of the acknowledgement apply.
const UNTRACKED_PROBE_ID: u64 = u64::MAX;

impl Handler<ContactSeed> for MembershipActor {
    type Return = ();

    async fn handle(&mut self, message: ContactSeed, context: &mut Context<Self>) {
        let heartbeat = self.heartbeat("");
        let address = context.mailbox().address();
        let pool = Arc::clone(&self.pool);
        tokio::spawn(fetch_table(Arc::clone(&pool), address.clone(), message.0));
        tokio::spawn(send_probe(
            pool,
            address,
            message.0,
            UNTRACKED_PROBE_ID,
            heartbeat,
        ));
    }
}

/// Returns the present instance with the given name, leaving instances included.
#[derive(Debug)]
pub struct FindInstance(pub Arc<str>);

impl Handler<FindInstance> for MembershipActor {
    type Return = Option<Instance>;

    async fn handle(&mut self, message: FindInstance, _: &mut Context<Self>) -> Option<Instance> {
        self.table
            .present()
            .find(|instance| instance.name == message.0)
            .cloned()
    }
}

/// Delivers the platform's current list of instances.
#[derive(Debug)]
pub struct PlatformList(pub Vec<Instance>);

/// Number of listed peers from which this instance fetches the table when it joins.
const INITIAL_TABLE_PEERS: usize = 3;

impl Handler<PlatformList> for MembershipActor {
    type Return = ();

    async fn handle(&mut self, message: PlatformList, context: &mut Context<Self>) {
        let now = Instant::now();
        self.contacts.record_platform_contact(now);
        if !self.has_peer_table {
            let own = &self.published.local_instance().name;
            let peers = message.0.iter().filter(|instance| instance.name != *own);
            for to in peers.choose_multiple(&mut self.rng, INITIAL_TABLE_PEERS) {
                let address = context.mailbox().address();
                tokio::spawn(fetch_table(
                    Arc::clone(&self.pool),
                    address,
                    to.peer_address,
                ));
            }
        }
        self.table.on_event(now, Event::PlatformList(message.0));
        self.publish_instances();
    }
}

async fn fetch_table(pool: Arc<PeerPool>, address: WeakAddress<MembershipActor>, to: SocketAddr) {
    let response = pool
        .call(to, PROBE_TIMEOUT, |client, context| async move {
            client.members(context).await
        })
        .await;
    if let Ok(updates) = response {
        let _ = address.send(PeerTable(updates)).await;
    }
}

/// Delivers the complete table of a peer.
#[derive(Debug)]
struct PeerTable(Vec<MembershipUpdate>);

impl Handler<PeerTable> for MembershipActor {
    type Return = ();

    async fn handle(&mut self, message: PeerTable, _: &mut Context<Self>) {
        self.has_peer_table = true;
        let event = Event::ProbeAcknowledged {
            probe_id: UNTRACKED_PROBE_ID,
            updates: message.0,
        };
        self.table.on_event(Instant::now(), event);
        self.publish_instances();
    }
}

/// Returns the membership updates of all present instances.
#[derive(Debug)]
pub struct GetTable;

impl Handler<GetTable> for MembershipActor {
    type Return = Vec<MembershipUpdate>;

    async fn handle(&mut self, _: GetTable, _: &mut Context<Self>) -> Vec<MembershipUpdate> {
        self.table.snapshot()
    }
}

/// Marks this instance as leaving.
#[derive(Debug)]
pub struct Leave;

impl Handler<Leave> for MembershipActor {
    type Return = ();

    async fn handle(&mut self, _: Leave, _: &mut Context<Self>) {
        self.table.leave(Instant::now());
        self.publish_instances();
    }
}

/// Returns the present instances and the times of their last messages.
#[derive(Debug)]
pub struct GetPresentInstances;

/// Instances that the table has not removed, and the age of the last platform contact.
#[derive(Clone, Debug)]
pub struct PresentInstances {
    /// Each instance with the arrival time of its last message.
    instances: Vec<(Instance, Option<Instant>)>,
    /// Time since the last known contact of this instance or of a peer with the platform.
    pub platform_contact_age: Option<Duration>,
}

impl PresentInstances {
    /// Returns whether the incarnation of `holder` is present.
    pub fn contains(&self, holder: &Holder) -> bool {
        self.find(holder).is_some()
    }

    /// Returns the arrival time of the last message of `holder`, if it is present and has sent one.
    pub fn last_message_at(&self, holder: &Holder) -> Option<Instant> {
        self.find(holder)
            .and_then(|(_, last_message)| *last_message)
    }

    fn find(&self, holder: &Holder) -> Option<&(Instance, Option<Instant>)> {
        self.instances
            .iter()
            .find(|(instance, _)| holder.is_incarnation(&instance.name, instance.incarnation))
    }
}

impl Handler<GetPresentInstances> for MembershipActor {
    type Return = PresentInstances;

    async fn handle(&mut self, _: GetPresentInstances, _: &mut Context<Self>) -> PresentInstances {
        let present = self.table.present();
        let last_message = |instance: &Instance| self.table.last_message_at(&instance.name);
        PresentInstances {
            instances: present
                .map(|instance| (instance.clone(), last_message(instance)))
                .collect(),
            platform_contact_age: self.contacts.platform_age(Instant::now()),
        }
    }
}
