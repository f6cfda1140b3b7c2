use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Lanes into which each workspace's rate and burst are cut.
pub const LANES: usize = 12;

/// Groups into which workspaces are hashed; the workspaces of a group have the same holders.
pub const SHARDS: usize = 128;

/// Instance that holds lanes.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Holder {
    /// Name of the instance.
    pub instance: Arc<str>,
    /// Incarnation that holds the lanes; a later start of the instance holds nothing by it.
    pub incarnation: u64,
    /// Data centre of the instance.
    pub data_centre: Arc<str>,
}

/// Record of the instances that hold the lanes of all workspaces.
///
/// The record lives in the platform and changes by compare-and-swap, only when instances come and
/// go. Its size depends on the number of lanes and instances, never on the number of workspaces.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Allocation {
    /// Number of changes since the record was first written.
    pub epoch: u64,
    /// Instances that hold lanes.
    pub holders: Vec<Holder>,
    /// For each lane of each group the index of its holder, or none.
    pub lanes: Vec<Option<u16>>,
}

impl Allocation {
    /// Creates a record in which the given instances hold near-equal numbers of lanes.
    ///
    /// Each instance is given by its name, incarnation and data centre. The lanes of a group are
    /// spread over data centres first, so that a data centre that is cut off keeps its part. Where a
    /// data centre has more instances than lanes of a group, one of them holds all of these: most
    /// instances borrow anyway, and a lender of one lane seldom has a whole token.
    ///
    /// # Examples
    ///
    /// ```
    /// use filbertbay_coordination::share::{Allocation, SHARDS, LANES};
    ///
    /// let record = Allocation::even(&[("a-1", 1, "a"), ("b-1", 1, "b")]);
    /// assert_eq!(record.lane_count(&"a-1".into(), 1), SHARDS * LANES / 2);
    /// ```
    pub fn even(instances: &[(&str, u64, &str)]) -> Self {
        let holders: Vec<_> = instances.iter().map(holder).collect();
        let centres = by_data_centre(&holders);
        let mut lanes = vec![None; SHARDS * LANES];
        if !centres.is_empty() {
            let mut next = vec![0; centres.len()];
            for (slot, lane) in lanes.iter_mut().enumerate() {
                let centre = slot % centres.len();
                let members = &centres[centre];
                let member = if members.len() * centres.len() > LANES {
                    slot / LANES
                } else {
                    next[centre]
                };
                *lane = Some(members[member % members.len()]);
                next[centre] += 1;
            }
        }
        Self {
            epoch: 1,
            holders,
            lanes,
        }
    }

    /// Returns the group of a workspace.
    pub fn shard_of(workspace: &str) -> usize {
        (xxh3_64(workspace.as_bytes()) % SHARDS as u64) as usize
    }

    /// Returns the holders of the lanes of a group, in the order of the lanes.
    ///
    /// # Panics
    ///
    /// Panics if `group` is not below [`SHARDS`].
    pub fn holders_of(&self, group: usize) -> impl Iterator<Item = &Holder> {
        assert!(group < SHARDS, "group {group} is out of range");
        let lanes = self.lanes.iter().skip(group * LANES).take(LANES);
        lanes.filter_map(|lane| self.holders.get(usize::from((*lane)?)))
    }

    /// Returns the holder of one lane, counted over all groups.
    pub fn holder(&self, slot: usize) -> Option<&Holder> {
        let index = (*self.lanes.get(slot)?)?;
        self.holders.get(usize::from(index))
    }

    /// Returns how many lanes an incarnation of an instance holds.
    pub fn lane_count(&self, instance: &Arc<str>, incarnation: u64) -> usize {
        (0..SHARDS)
            .flat_map(|group| self.holders_of(group))
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
