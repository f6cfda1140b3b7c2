//! Rendezvous (highest random weight) hashing of candidates for a key.
//!
//! The ranking depends only on the key and the names of the candidates, so all instances compute
//! the same one without coordination. When a candidate leaves, only the keys for which it ranked
//! first move. Instances that see different candidates compute different rankings; a ranking is
//! therefore a hint for distributing work and does not provide mutual exclusion.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the weight of a candidate for a key; a higher weight ranks earlier.
///
/// # Examples
///
/// ```
/// use filbertbay_coordination::rendezvous::weight;
///
/// assert_eq!(weight("orders-1", "quimper-1"), weight("orders-1", "quimper-1"));
/// ```
pub fn weight(key: &str, candidate: &str) -> u64 {
    xxh3_64_with_seed(candidate.as_bytes(), xxh3_64_with_seed(key.as_bytes(), 0))
}

/// Returns the candidates in descending order of their weight for a key.
///
/// `name` returns a candidate's name. Equal weights are ordered by name.
///
/// # Examples
///
/// ```
/// use filbertbay_coordination::rendezvous::rank;
///
/// let all = rank("orders-1", ["a", "b", "c"], |name| name);
/// let fewer = rank("orders-1", ["a", "b", "c"].into_iter().filter(|n| *n != all[0]), |n| n);
/// assert_eq!(fewer, all[1..]);
/// ```
pub fn rank<T, I, F>(key: &str, candidates: I, name: F) -> Vec<T>
where
    I: IntoIterator<Item = T>,
    F: Fn(&T) -> &str,
{
    let mut ranked: Vec<T> = candidates.into_iter().collect();
    ranked.sort_by(|a, b| {
        let (a, b) = (name(a), name(b));
        weight(key, b).cmp(&weight(key, a)).then_with(|| a.cmp(b))
    });
    ranked
}

/// Returns true if `own` ranks among the first `count` candidates for a key.
///
/// `own` takes part in the ranking even if `candidates` does not contain it.
///
/// # Examples
///
/// ```
/// use filbertbay_coordination::rendezvous::ranks_among_first;
///
/// assert!(ranks_among_first("configuration", 2, "a", ["b"]));
/// ```
pub fn ranks_among_first<'a, I>(key: &str, count: usize, own: &str, candidates: I) -> bool
where
    I: IntoIterator<Item = &'a str>,
{
    let own_weight = weight(key, own);
    let ranked_higher = candidates
        .into_iter()
        .filter(|candidate| *candidate != own)
        .filter(|candidate| {
            let candidate_weight = weight(key, candidate);
            (candidate_weight, own) > (own_weight, candidate)
        })
        .count();
    ranked_higher < count
}
