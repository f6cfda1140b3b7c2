//! Record of the instances that hold the lanes of all workspaces.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Number of equal lanes into which the rate and the burst of each workspace are divided.
pub const LANES: usize = 12;

/// Number of shards into which workspaces are hashed; the workspaces of a shard have the same lane
/// holders.
pub const SHARDS: usize = 128;

/// Instance that holds lanes.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Holder {
    /// Name of the instance.
    pub instance: Arc<str>,
    /// Incarnation that holds the lanes; a later incarnation of the instance does not hold them.
    pub incarnation: u64,
    /// Data centre of the instance.
    pub data_centre: Arc<str>,
}

/// Record of the instances that hold the lanes of all workspaces.
///
/// The record is stored in the platform and changes by compare-and-swap, only when instances join
/// or leave. Its size depends on the number of lanes and instances, never on the number of
/// workspaces.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Allocation {
    /// Number of changes since the record was first written.
    pub epoch: u64,
    /// Instances that hold lanes.
    pub holders: Vec<Holder>,
    /// Index into `holders` for each lane of each shard; `None` for a lane without a holder. Lane
    /// `l` of shard `s` has the index `s * LANES + l`.
    pub lanes: Vec<Option<u16>>,
}

impl Allocation {
    /// Creates a record in which the given instances hold near-equal numbers of lanes.
    ///
    /// Each instance is given by its name, incarnation and data centre. The lanes of a shard are
    /// distributed over the data centres first, so that an isolated data centre keeps its share.
    /// Where a data centre has more instances than lanes of a shard, one of them holds all of
    /// these: most instances borrow anyway, and a lender of one lane seldom has a whole token.
    ///
    /// # Examples
    ///
    /// ```
    /// use filbertbay_coordination::share::{Allocation, LANES, SHARDS};
    ///
    /// let record = Allocation::even(&[("a-1", 1, "a"), ("b-1", 1, "b")]);
    /// assert_eq!(record.lane_count(&"a-1".into(), 1), SHARDS * LANES / 2);
    /// ```
    pub fn even(instances: &[(&str, u64, &str)]) -> Self {
        let holders: Vec<_> = instances.iter().map(holder).collect();
        let data_centres = by_data_centre(&holders);
        let mut lanes = vec![None; SHARDS * LANES];
        if !data_centres.is_empty() {
            let mut next = vec![0; data_centres.len()];
            for (lane_index, lane) in lanes.iter_mut().enumerate() {
                let data_centre_index = lane_index % data_centres.len();
                let members = &data_centres[data_centre_index];
                let member = if members.len() * data_centres.len() > LANES {
                    lane_index / LANES
                } else {
                    next[data_centre_index]
                };
                *lane = Some(members[member % members.len()]);
                next[data_centre_index] += 1;
            }
        }
        Self {
            epoch: 1,
            holders,
            lanes,
        }
    }

    /// Returns whether the record can be used: it has every lane, lists the holder of each, and its
    /// epoch can grow.
    pub fn is_valid(&self) -> bool {
        let is_listed =
            |lane: &Option<u16>| lane.is_none_or(|index| usize::from(index) < self.holders.len());
        self.lanes.len() == SHARDS * LANES
            && self.lanes.iter().all(is_listed)
            && self.epoch < u64::MAX
    }

    /// Returns the shard of a workspace, below [`SHARDS`].
    pub fn shard_of(workspace: &str) -> usize {
        (xxh3_64(workspace.as_bytes()) % SHARDS as u64) as usize
    }

    /// Returns the holders of the lanes of a shard, in the order of the lanes. Lanes without a
    /// holder are skipped.
    ///
    /// # Panics
    ///
    /// Panics if `shard` is not below [`SHARDS`].
    pub fn holders_of(&self, shard: usize) -> impl Iterator<Item = &Holder> {
        assert!(shard < SHARDS, "shard {shard} is out of range");
        let lanes = self.lanes.iter().skip(shard * LANES).take(LANES);
        lanes.filter_map(|lane| self.holders.get(usize::from((*lane)?)))
    }

    /// Returns the holder of one lane, given its index over all shards.
    pub fn holder(&self, lane_index: usize) -> Option<&Holder> {
        let index = (*self.lanes.get(lane_index)?)?;
        self.holders.get(usize::from(index))
    }

    /// Returns the number of lanes that an incarnation of an instance holds.
    pub fn lane_count(&self, instance: &Arc<str>, incarnation: u64) -> usize {
        (0..SHARDS)
            .flat_map(|shard| self.holders_of(shard))
            .filter(|holder| holder.is_incarnation(instance, incarnation))
            .count()
    }
}

impl Holder {
    /// Returns whether this is the given incarnation of the given instance.
    pub fn is_incarnation(&self, instance: &Arc<str>, incarnation: u64) -> bool {
        self.incarnation == incarnation && self.instance == *instance
    }

    /// Returns whether this is another incarnation of the same instance.
    pub fn is_other_incarnation_of(&self, other: &Self) -> bool {
        self.incarnation != other.incarnation && self.instance == other.instance
    }
}

fn holder(&(instance, incarnation, data_centre): &(&str, u64, &str)) -> Holder {
    Holder {
        instance: instance.into(),
        incarnation,
        data_centre: data_centre.into(),
    }
}

/// Returns the indices of the holders of each data centre, in the order of the names of the data
/// centres.
fn by_data_centre(holders: &[Holder]) -> Vec<Vec<u16>> {
    let mut names: Vec<&Arc<str>> = holders.iter().map(|holder| &holder.data_centre).collect();
    names.sort();
    names.dedup();
    let members = |name: &Arc<str>| {
        let indices = 0..holders.len();
        let inside = indices.filter(|index| holders[*index].data_centre == *name);
        inside.map(|index| index as u16).collect()
    };
    names.into_iter().map(members).collect()
}
