//! What the lanes of a shard yield to one instance, and which instances may lend from theirs.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_state::document::Rate;
use xxhash_rust::xxh3::xxh3_64;

use super::{Allocation, Fraction, Holder, LANES, LoanDenial, LoanRequest, MICRO_TOKENS_PER_TOKEN};

/// Returns the micro-tokens that the lanes of a shard have gained, unspent, since the given times.
pub(super) fn accrued_tokens(
    since: &BTreeMap<usize, Instant>,
    now: Instant,
    shard: usize,
    rate: Rate,
) -> u64 {
    let lane_indices = since.range(shard * LANES..(shard + 1) * LANES);
    let burst = rate.burst.saturating_mul(MICRO_TOKENS_PER_TOKEN);
    let gain = |since: &Instant| {
        let micros = now.saturating_duration_since(*since).as_micros();
        let gained = u128::from(rate.per_second).saturating_mul(micros);
        u64::try_from(gained).unwrap_or(u64::MAX).min(burst)
    };
    lane_indices.map(|(_, since)| gain(since)).sum::<u64>() / LANES as u64
}

/// Returns the fraction of the lanes of a shard that this instance holds, or zero without recent
/// proof of ownership.
pub(super) fn owned_fraction(lane_counts: &[u8], shard: usize, fenced: bool) -> Fraction {
    if fenced {
        return Fraction::ZERO;
    }
    Fraction::from_lanes(usize::from(lane_counts[shard]))
}

/// Returns the names of the other holders of a shard, each once, with the holders of this data
/// centre first.
pub(super) fn lenders(
    allocation: &Allocation,
    shard: usize,
    name: &Arc<str>,
    data_centre: &Arc<str>,
) -> impl Iterator<Item = Arc<str>> {
    let mut lenders: Vec<&Holder> = Vec::with_capacity(LANES);
    for holder in allocation.holders_of(shard) {
        let is_duplicate = lenders
            .iter()
            .any(|lender| lender.instance == holder.instance);
        if !is_duplicate && holder.instance != *name {
            lenders.push(holder);
        }
    }
    // Instances overflow to different holders, so that none of these is asked by all.
    lenders.sort_by_cached_key(|holder| {
        let is_remote = holder.data_centre != *data_centre;
        (
            is_remote,
            xxh3_64(format!("{name}/{}", holder.instance).as_bytes()),
        )
    });
    let names: Vec<_> = lenders
        .iter()
        .map(|holder| Arc::clone(&holder.instance))
        .collect();
    names.into_iter()
}

pub(super) fn denial(request: &LoanRequest, retry_after: Duration) -> LoanDenial {
    LoanDenial {
        request_id: request.id,
        workspace: Arc::clone(&request.workspace),
        retry_after,
    }
}
