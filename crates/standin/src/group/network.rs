//! Latencies and partitions between data centres.
//!
//! Real sockets on a loopback address carry no data centre. A connection therefore tells where it
//! comes from by its `application_name`, which is the name of an instance or of a data centre. A
//! link that is cut stops carrying bytes in both directions and stays open, as in a partition.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

/// Network between the data centres of a deployment.
#[derive(Debug)]
pub struct Network {
    state: watch::Sender<State>,
}

/// One-way latencies of a deployment.
#[derive(Clone, Copy, Debug, Default)]
pub struct Latency {
    /// Between data centres of one region.
    pub data_centres: Duration,
    /// Between regions.
    pub regions: Duration,
}

#[derive(Debug, Default)]
struct State {
    latency: Latency,
    regions: HashMap<Arc<str>, Arc<str>>,
    instances: HashMap<Arc<str>, Arc<str>>,
    cut: BTreeSet<Arc<str>>,
    without_platform: BTreeSet<Arc<str>>,
    isolated: HashMap<Arc<str>, BTreeSet<Arc<str>>>,
}

impl Network {
    /// Creates a network of data centres, each with its region.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use standin::group::network::{Latency, Network};
    ///
    /// let latency = Latency { data_centres: Duration::ZERO, regions: Duration::from_millis(8) };
    /// let network = Network::new(latency, [("quimper", "bretagne"), ("caen", "normandie")]);
    /// assert_eq!(network.latency("quimper", "caen"), Duration::from_millis(8));
    /// ```
    pub fn new<'a, I>(latency: Latency, regions: I) -> Arc<Self>
    where
        I: IntoIterator<Item = (&'a str, &'a str)>,
    {
        let regions = regions
            .into_iter()
            .map(|(name, region)| (Arc::from(name), Arc::from(region)))
            .collect();
        let state = State {
            latency,
            regions,
            ..State::default()
        };
        Arc::new(Self {
            state: watch::Sender::new(state),
        })
    }

    /// Tells in which data centre an instance runs.
    pub fn place(&self, instance: &str, data_centre: &str) {
        self.state.send_modify(|state| {
            state
                .instances
                .insert(Arc::from(instance), Arc::from(data_centre));
        });
    }

    /// Cuts a data centre off from all others, or heals it.
    pub fn cut(&self, data_centre: &str, cut: bool) {
        self.state
            .send_modify(|state| mark(&mut state.cut, data_centre, cut));
    }

    /// Cuts a data centre off from the platform, or heals it.
    pub fn cut_platform(&self, data_centre: &str, cut: bool) {
        self.state
            .send_modify(|state| mark(&mut state.without_platform, data_centre, cut));
    }

    /// Waits until a data centre reaches the platform, or until it no longer does.
    pub(crate) async fn wait_for_platform(&self, data_centre: &str, reaches: bool) {
        let mut changes = self.state.subscribe();
        let holds = |state: &State| state.without_platform.contains(data_centre) != reaches;
        // An error would mean that the network is gone, which the caller keeps alive.
        let _ = changes.wait_for(holds).await;
    }

    /// Cuts a member off from the other members and from the given data centres.
    pub fn isolate(&self, member: &str, from: &[Arc<str>]) {
        let from = from.iter().cloned().collect();
        self.state.send_modify(|state| {
            state.isolated.insert(Arc::from(member), from);
        });
    }

    /// Heals a member that was isolated.
    pub fn restore(&self, member: &str) {
        self.state.send_modify(|state| {
            state.isolated.remove(member);
        });
    }

    /// Returns the names of the data centres.
    pub fn data_centres(&self) -> Vec<Arc<str>> {
        self.state.borrow().regions.keys().cloned().collect()
    }

    /// Returns the one-way latency between two data centres.
    pub fn latency(&self, from: &str, to: &str) -> Duration {
        let state = self.state.borrow();
        if from == to {
            Duration::ZERO
        } else if state.regions.get(from) == state.regions.get(to) {
            state.latency.data_centres
        } else {
            state.latency.regions
        }
    }

    /// Tells whether two data centres can't reach each other.
    pub fn is_parted(&self, from: &str, to: &str) -> bool {
        self.state.borrow().is_parted(from, to)
    }

    /// Tells whether replication between two members of a group is cut.
    pub(crate) fn is_stream_cut(&self, from: &End, to: &End) -> bool {
        let state = self.state.borrow();
        state.isolated.contains_key(&from.member)
            || state.isolated.contains_key(&to.member)
            || state.is_parted(&from.data_centre, &to.data_centre)
    }

    /// Tells whether callers in a data centre can't reach a member.
    pub(crate) fn is_link_cut(&self, from: &str, to: &End) -> bool {
        let state = self.state.borrow();
        let isolated = state.isolated.get(&to.member);
        isolated.is_some_and(|cut| cut.contains(from)) || state.is_parted(from, &to.data_centre)
    }

    /// Returns the data centre that a connection with this application name comes from.
    pub(crate) fn origin(&self, application_name: &str) -> Option<Arc<str>> {
        let state = self.state.borrow();
        let known = state.regions.get_key_value(application_name);
        known
            .map(|(name, _)| name)
            .or_else(|| state.instances.get(application_name))
            .cloned()
    }

    /// Waits for the next change of a partition.
    pub(crate) fn subscribe(&self) -> impl Future<Output = ()> + Send + Sync + 'static {
        let mut changes = self.state.subscribe();
        async move {
            // An error means that the network is gone, and its links with it.
            let _ = changes.changed().await;
        }
    }
}

impl State {
    fn is_parted(&self, from: &str, to: &str) -> bool {
        from != to && (self.cut.contains(from) || self.cut.contains(to))
    }
}

fn mark(set: &mut BTreeSet<Arc<str>>, name: &str, present: bool) {
    if present {
        set.insert(Arc::from(name));
    } else {
        set.remove(name);
    }
}

/// Member as an end of a link.
#[derive(Clone, Debug)]
pub(crate) struct End {
    pub(crate) member: Arc<str>,
    pub(crate) data_centre: Arc<str>,
}
