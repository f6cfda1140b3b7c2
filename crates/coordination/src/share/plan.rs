//! Changes of the record of holders when instances come and go.
//!
//! A lane passes on in one of two ways. Its holder gives it away: it stops spending the lane, waits
//! until no loan rests on it, and only then names the next holder. Or the holder is dead, and
//! others name the next holder after a time in which the dead one has stopped spending for want of
//! proof. A record names one holder a lane, so that no lane is ever held twice.

use std::sync::Arc;

use super::{Allocation, Holder, LANES, SHARDS};

/// Lanes that an instance holds beyond its part before it gives some away.
const TOLERANCE: usize = LANES;

impl Allocation {
    /// Returns the record in which the lanes of dead holders pass to live ones, if there are any.
    ///
    /// A lane passes to the next incarnation of its holder where that one lives. Else it stays in its
    /// data centre, so that a data centre that is cut off keeps its part; only where no live instance
    /// is left does it stay with the dead one.
    #[must_use]
    pub fn reclaimed<F>(&self, live: &[Holder], is_dead: F) -> Option<Self>
    where
        F: Fn(&Holder) -> bool,
    {
        let dead: Vec<bool> = self.holders.iter().map(is_dead).collect();
        let mut counts = self.counts(live);
        let mut next = self.clone();
        let mut moved = false;
        for (slot, lane) in self.lanes.iter().enumerate() {
            let Some(index) = lane.map(usize::from).filter(|index| dead[*index]) else {
                continue;
            };
            let former = &self.holders[index];
            let successor = live
                .iter()
                .position(|one| one.is_other_incarnation_of(former));
            let mates =
                (0..live.len()).filter(|heir| live[*heir].data_centre == former.data_centre);
            let Some(heir) = successor.or_else(|| mates.min_by_key(|heir| counts[*heir])) else {
                continue;
            };
            next.assign(slot, &live[heir]);
            counts[heir] += 1;
            moved = true;
        }
        moved.then(|| next.advanced())
    }

    /// Returns the lanes that an instance should give away, so that live ones hold equal parts.
    ///
    /// Data centres hold equal parts, and so do the instances of each.
    pub fn surplus(&self, own: &Holder, live: &[Holder]) -> Vec<usize> {
        let wanted: usize = live
            .iter()
            .map(|one| part_of(one, live).saturating_sub(self.count(one)))
            .filter(|lacking| *lacking > TOLERANCE / 2)
            .sum();
        let spare = self.count(own).saturating_sub(part_of(own, live));
        if spare <= TOLERANCE / 2 {
            return Vec::new();
        }
        let index = self.holders.iter().position(|one| one == own);
        let held = (0..self.lanes.len()).filter(|slot| self.lanes[*slot].map(usize::from) == index);
        held.take(spare.min(wanted)).collect()
    }

    /// Returns the record in which lanes that their holder gives away pass to those that lack most.
    ///
    /// Lanes that `own` does not hold, or that nobody lacks, stay as they are.
    #[must_use]
    pub fn transferred(&self, own: &Holder, slots: &[usize], live: &[Holder]) -> Self {
        let mut counts = self.counts(live);
        let parts: Vec<usize> = live.iter().map(|one| part_of(one, live)).collect();
        let mut next = self.clone();
        for slot in slots.iter().filter(|slot| self.holder(**slot) == Some(own)) {
            let lacking = |heir: &usize| parts[*heir].saturating_sub(counts[*heir]);
            let heir = (0..live.len())
                .max_by_key(lacking)
                .filter(|heir| lacking(heir) > 0);
            if let Some(heir) = heir {
                next.assign(*slot, &live[heir]);
                counts[heir] += 1;
            }
        }
        next.advanced()
    }

    /// Returns the number of lanes that each of the given holders has.
    fn counts(&self, holders: &[Holder]) -> Vec<usize> {
        holders.iter().map(|one| self.count(one)).collect()
    }

    fn count(&self, holder: &Holder) -> usize {
        let index = self.holders.iter().position(|one| one == holder);
        let held = self
            .lanes
            .iter()
            .filter(|lane| lane.map(usize::from) == index);
        index.map_or(0, |_| held.count())
    }

    fn assign(&mut self, slot: usize, holder: &Holder) {
        let known = self.holders.iter().position(|one| one == holder);
        let index = known.unwrap_or_else(|| {
            self.holders.push(holder.clone());
            self.holders.len() - 1
        });
        if let Some(lane) = self.lanes.get_mut(slot) {
            *lane = u16::try_from(index).ok();
        }
    }

    /// Drops holders without lanes and counts the epoch up.
    fn advanced(self) -> Self {
        let mut places = vec![None; self.holders.len()];
        let mut holders = Vec::new();
        let lanes = self.lanes.iter().map(|lane| {
            let index = usize::from((*lane)?);
            let place = *places.get(index)?;
            let place = place.unwrap_or_else(|| {
                holders.push(self.holders[index].clone());
                holders.len() - 1
            });
            places[index] = Some(place);
            u16::try_from(place).ok()
        });
        let lanes = lanes.collect();
        Self {
            epoch: self.epoch + 1,
            holders,
            lanes,
        }
    }
}

/// Returns the number of lanes that a live instance should hold.
fn part_of(one: &Holder, live: &[Holder]) -> usize {
    let mut centres: Vec<&Arc<str>> = live.iter().map(|holder| &holder.data_centre).collect();
    centres.sort();
    centres.dedup();
    let mates = live
        .iter()
        .filter(|holder| holder.data_centre == one.data_centre)
        .count();
    (SHARDS * LANES)
        .checked_div(centres.len() * mates)
        .unwrap_or(0)
}
