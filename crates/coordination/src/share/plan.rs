//! Changes of the record of lane holders when instances join or leave.
//!
//! A lane changes its holder in one of two ways. In a transfer, the holder stops spending the lane,
//! waits until every loan backed by the lane has expired, and then names the next holder. After the
//! death of a holder, other instances name the next one, once the dead holder must have stopped
//! spending for lack of proof of ownership. A record names one holder for each lane, so no lane
//! ever has two.

use std::sync::Arc;

use super::{Allocation, Holder, LANES, SHARDS};

/// Tolerated imbalance in lanes. Lanes are transferred only if one instance is above its fair share
/// by more than half of this, and another is as far below.
const IMBALANCE_TOLERANCE: usize = LANES;

impl Allocation {
    /// Returns the next record, in which live instances hold the lanes of dead holders, or `None`
    /// if no lane changes its holder.
    ///
    /// A lane goes to another live incarnation of its holder if there is one. Otherwise it stays in
    /// its data centre, so that an isolated data centre keeps its share, and goes to the instance
    /// there with the fewest lanes. Without a live instance there, the dead holder keeps it.
    #[must_use]
    pub fn reclaimed<F>(&self, live: &[Holder], is_dead: F) -> Option<Self>
    where
        F: Fn(&Holder) -> bool,
    {
        let dead: Vec<bool> = self.holders.iter().map(is_dead).collect();
        let mut counts = self.counts(live);
        let mut next = self.clone();
        let mut has_changed = false;
        for (lane_index, lane) in self.lanes.iter().enumerate() {
            let Some(index) = lane.map(usize::from).filter(|index| dead[*index]) else {
                continue;
            };
            let previous = &self.holders[index];
            let successor = live
                .iter()
                .position(|candidate| candidate.is_other_incarnation_of(previous));
            let local_holders = (0..live.len())
                .filter(|new_holder| live[*new_holder].data_centre == previous.data_centre);
            let Some(new_holder) =
                successor.or_else(|| local_holders.min_by_key(|new_holder| counts[*new_holder]))
            else {
                continue;
            };
            next.assign(lane_index, &live[new_holder]);
            counts[new_holder] += 1;
            has_changed = true;
        }
        has_changed.then(|| next.into_next_epoch())
    }

    /// Returns the indices of the lanes that `own` should transfer so that live instances hold
    /// equal parts. It is empty while the imbalance is within the tolerance.
    ///
    /// Data centres hold equal parts, and so do the instances of each data centre.
    pub fn surplus(&self, own: &Holder, live: &[Holder]) -> Vec<usize> {
        let demand: usize = live
            .iter()
            .map(|holder| fair_share(holder, live).saturating_sub(self.count(holder)))
            .filter(|missing| *missing > IMBALANCE_TOLERANCE / 2)
            .sum();
        let excess = self.count(own).saturating_sub(fair_share(own, live));
        if excess <= IMBALANCE_TOLERANCE / 2 {
            return Vec::new();
        }
        let index = self.holders.iter().position(|holder| holder == own);
        let held_lanes = (0..self.lanes.len())
            .filter(|lane_index| self.lanes[*lane_index].map(usize::from) == index);
        held_lanes.take(excess.min(demand)).collect()
    }

    /// Returns the next record, in which each given lane of `own` is held by the live instance that
    /// is furthest below its fair share.
    ///
    /// Lanes that `own` does not hold keep their holder, and so do the rest once no instance is
    /// below its fair share.
    #[must_use]
    pub fn transferred(&self, own: &Holder, lane_indices: &[usize], live: &[Holder]) -> Self {
        let mut counts = self.counts(live);
        let fair_shares: Vec<usize> = live.iter().map(|holder| fair_share(holder, live)).collect();
        let mut next = self.clone();
        for lane_index in lane_indices
            .iter()
            .filter(|lane_index| self.holder(**lane_index) == Some(own))
        {
            let missing =
                |new_holder: &usize| fair_shares[*new_holder].saturating_sub(counts[*new_holder]);
            let new_holder = (0..live.len())
                .max_by_key(missing)
                .filter(|new_holder| missing(new_holder) > 0);
            if let Some(new_holder) = new_holder {
                next.assign(*lane_index, &live[new_holder]);
                counts[new_holder] += 1;
            }
        }
        next.into_next_epoch()
    }

    /// Returns the number of lanes of each of the given holders.
    fn counts(&self, holders: &[Holder]) -> Vec<usize> {
        holders.iter().map(|holder| self.count(holder)).collect()
    }

    /// Returns the number of lanes of a holder.
    fn count(&self, holder: &Holder) -> usize {
        let index = self
            .holders
            .iter()
            .position(|candidate| candidate == holder);
        let held_lanes = self
            .lanes
            .iter()
            .filter(|lane| lane.map(usize::from) == index);
        index.map_or(0, |_| held_lanes.count())
    }

    /// Makes `holder` the holder of a lane, adding it to the record if needed.
    fn assign(&mut self, lane_index: usize, holder: &Holder) {
        let existing_index = self
            .holders
            .iter()
            .position(|candidate| candidate == holder);
        let index = existing_index.unwrap_or_else(|| {
            self.holders.push(holder.clone());
            self.holders.len() - 1
        });
        if let Some(lane) = self.lanes.get_mut(lane_index) {
            *lane = u16::try_from(index).ok();
        }
    }

    /// Returns this record with the next epoch and without holders that hold no lane.
    fn into_next_epoch(self) -> Self {
        let mut new_indices = vec![None; self.holders.len()];
        let mut holders = Vec::new();
        let lanes = self.lanes.iter().map(|lane| {
            let index = usize::from((*lane)?);
            let new_index = *new_indices.get(index)?;
            let new_index = new_index.unwrap_or_else(|| {
                holders.push(self.holders[index].clone());
                holders.len() - 1
            });
            new_indices[index] = Some(new_index);
            u16::try_from(new_index).ok()
        });
        let lanes = lanes.collect();
        Self {
            epoch: self.epoch + 1,
            holders,
            lanes,
        }
    }
}

/// Returns the number of lanes that a live instance should hold: all lanes are divided equally
/// among the data centres, and those of a data centre equally among its instances.
fn fair_share(holder: &Holder, live: &[Holder]) -> usize {
    let mut data_centres: Vec<&Arc<str>> = live
        .iter()
        .map(|candidate| &candidate.data_centre)
        .collect();
    data_centres.sort();
    data_centres.dedup();
    let local_count = live
        .iter()
        .filter(|candidate| candidate.data_centre == holder.data_centre)
        .count();
    (SHARDS * LANES)
        .checked_div(data_centres.len() * local_count)
        .unwrap_or(0)
}
