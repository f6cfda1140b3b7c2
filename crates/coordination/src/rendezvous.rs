//! Rendezvous hashing: a ranking of candidates that every instance computes alike.
//!
//! The ranking depends on the key and on each candidate's name alone. When a candidate leaves, only
//! the keys that it ranked first for move. Instances that see different candidates rank
//! differently, so a ranking steers work and never proves anything.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the weight of a candidate for a key; the highest weight ranks first.
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

/// Orders candidates by their weight for a key, highest first.
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

/// Tells whether `own` is among the first `count` candidates for a key.
///
/// `own` takes part in the ranking whether or not `others` contains it.
///
/// # Examples
///
/// ```
/// use filbertbay_coordination::rendezvous::ranks_among_first;
///
/// assert!(ranks_among_first("configuration", 2, "a", ["b"]));
/// ```
pub fn ranks_among_first<'a, I>(key: &str, count: usize, own: &str, others: I) -> bool
where
    I: IntoIterator<Item = &'a str>,
{
    let own_weight = weight(key, own);
    let ahead = others
        .into_iter()
        .filter(|other| *other != own)
        .filter(|other| {
            let other_weight = weight(key, other);
            (other_weight, own) > (own_weight, other)
        })
        .count();
    ahead < count
}
