//! Proxies between each pair of instances, and between each instance and each member.
//!
//! Instances and members advertise addresses on one host. The store returns them to each instance
//! with a host of that instance's own, on which a proxy leads to every other process. A copy of an
//! entry that comes from another instance is changed on the way in the same manner.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};

use super::common::member::Group;
use super::proxy::Proxy;

/// First of the ports on which instances listen for each other.
const FIRST_PEER_PORT: u16 = 7_000;

/// First of the members' advertised ports.
const FIRST_MEMBER_PORT: u16 = 8_000;

/// Number of values of an octet that has three digits and stays under [`ADVERTISED`].
const OCTETS: u32 = 150;

/// Last octet of the advertised host.
const ADVERTISED: u8 = 250;

/// Number of runs that this process has started.
static RUNS: AtomicU32 = AtomicU32::new(0);

/// Hosts of a run. All have the same length as text.
#[derive(Clone, Copy)]
pub struct Hosts([u8; 2]);

impl Hosts {
    /// Returns hosts that no other run uses at the same time.
    pub fn allocate() -> Self {
        let process = std::process::id();
        let run = process / OCTETS + RUNS.fetch_add(1, Ordering::Relaxed);
        Self([run, process].map(|number| 100 + (number % OCTETS) as u8))
    }

    /// Returns the host that entries in the store name.
    pub fn advertised(self) -> Ipv4Addr {
        Ipv4Addr::new(127, self.0[0], self.0[1], ADVERTISED)
    }

    /// Returns the host on which an instance reaches the others.
    pub fn of_instance(self, instance: usize) -> Ipv4Addr {
        assert!(instance < OCTETS as usize, "too many instances");
        Ipv4Addr::new(127, self.0[0], self.0[1], 100 + instance as u8)
    }

    /// Returns the address at which an instance listens for the others.
    pub fn peer(self, instance: usize) -> SocketAddr {
        (self.advertised(), FIRST_PEER_PORT + instance as u16).into()
    }
}

/// Running proxies of a run.
pub struct Network {
    /// Proxies by caller and callee.
    pub peers: Vec<Vec<Proxy>>,
    /// Proxies by instance, service and member.
    pub members: Vec<Vec<Vec<Proxy>>>,
}

impl Network {
    /// Starts the proxies and advertises the members' addresses on them.
    pub async fn start(hosts: Hosts, instance_count: usize, groups: &[Group]) -> Self {
        let mut network = Self {
            peers: Vec::new(),
            members: Vec::new(),
        };
        for caller in 0..instance_count {
            let own = hosts.of_instance(caller);
            let mut peers = Vec::new();
            for callee in 0..instance_count {
                let target = hosts.peer(callee);
                let from = format!("\"{}:", hosts.of_instance(callee));
                let to = format!("\"{own}:");
                let address = (own, target.port()).into();
                peers.push(Proxy::bind_at(address, target, Some((&from, &to))).await);
            }
            network.peers.push(peers);
            let mut port = FIRST_MEMBER_PORT;
            let mut members = Vec::new();
            for group in groups {
                let mut proxies = Vec::new();
                for (index, member) in group.members.iter().enumerate() {
                    group.advertise_at(index, (hosts.advertised(), port).into());
                    proxies.push(Proxy::bind_at((own, port).into(), member.address, None).await);
                    port += 1;
                }
                members.push(proxies);
            }
            network.members.push(members);
        }
        network
    }
}
