//! Cuts between instances, from the store and from members, and changes of primary that overlap them.

use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::Mutex;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::Soak;
use super::common::member::Group;
use super::fleet::DATA_CENTRES;
use super::proxy::{NetworkCondition, Proxy};

/// Range of the interval between the starts of two cuts, in milliseconds.
const CUT_INTERVAL_MS: std::ops::Range<u64> = 200..3_000;

/// Range of a cut's duration, in milliseconds. It includes the longest lease of a primary, 4 s.
const CUT_DURATION_MS: std::ops::Range<u64> = 500..7_000;

/// Time from a total cut to the change of primary that it precedes, in milliseconds.
const CUT_LEAD_MS: std::ops::Range<u64> = 0..1_500;

/// Range of the interval between two planned changes, in milliseconds.
const CHANGE_INTERVAL_MS: std::ops::Range<u64> = 100..2_000;

/// Longest wait for another primary while a member drains or a data centre is evacuated.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(8);

/// Time for which a former primary receives nothing, in milliseconds.
const DEAF_DURATION_MS: std::ops::Range<u64> = 300..4_000;

/// Locks of the services: one member of each fails or is taken out of use at a time.
pub type MemberLocks = Rc<Vec<Rc<Mutex<()>>>>;

/// Cuts some instances off, again and again, without waiting for the end of a cut.
pub async fn cut_instances(soak: Rc<Soak>, mut rng: ChaCha8Rng, deadline: Instant) {
    let mut cuts = JoinSet::new();
    loop {
        let interval = Duration::from_millis(rng.random_range(CUT_INTERVAL_MS));
        tokio::time::sleep(interval).await;
        if Instant::now() >= deadline {
            break;
        }
        begin_cut(&soak, &mut rng, false, &mut cuts);
    }
    while cuts.join_next().await.is_some() {}
}

/// Begins a random cut, and adds the task that ends it to `cuts`.
fn begin_cut(soak: &Soak, rng: &mut ChaCha8Rng, is_total: bool, cuts: &mut JoinSet<()>) {
    let (text, conditions) = random_cut(soak, rng, is_total);
    let duration = Duration::from_millis(rng.random_range(CUT_DURATION_MS));
    soak.record_event(&format!("cut {text} for {duration:?}"));
    let impose = |(proxy, condition): (Proxy, NetworkCondition)| {
        let change = proxy.set_condition(condition);
        (proxy, change)
    };
    let imposed: Vec<(Proxy, u64)> = conditions.into_iter().map(impose).collect();
    cuts.spawn_local(async move {
        tokio::time::sleep(duration).await;
        for (proxy, change) in imposed {
            proxy.lift(change);
        }
    });
}

/// Returns a cut of one instance or of a data centre, with the condition of each proxy. A total cut is one
/// from the store and all other instances, in both directions, but from no member.
fn random_cut(
    soak: &Soak,
    rng: &mut ChaCha8Rng,
    is_total: bool,
) -> (String, Vec<(Proxy, NetworkCondition)>) {
    let fleet = soak.fleet.borrow();
    let count = fleet.instances.len();
    let first = rng.random_range(0..count);
    let is_data_centre = rng.random_range(0..3) == 0;
    let is_near = |index: usize| {
        index == first
            || is_data_centre
                && fleet.instances[index].data_centre == fleet.instances[first].data_centre
    };
    // From all others, or from those of one other data centre.
    let from = match rng.random_range(0..6) {
        number @ 0..3 => Some(DATA_CENTRES[number]),
        _ => None,
    };
    let condition = match rng.random_range(0..4) {
        0 => NetworkCondition::Blackhole,
        1 => NetworkCondition::Reset,
        _ => NetworkCondition::Refused,
    };
    let (is_outbound, is_inbound) =
        [(true, true), (true, true), (true, false), (false, true)][rng.random_range(0..4)];
    let is_store = rng.random_range(0..3) != 0;
    let lost_member = (rng.random_range(0..4) == 0).then(|| rng.random_range(0..3));
    let (from, is_outbound, is_inbound) = if is_total {
        (None, true, true)
    } else {
        (from, is_outbound, is_inbound)
    };
    let is_store = is_store || is_total;
    let lost_member = lost_member.filter(|_| !is_total);
    let mut conditions = Vec::new();
    // What one side doesn't receive is lost on the connections of both.
    let back = match condition {
        NetworkCondition::Blackhole => Some(NetworkCondition::DropResponses),
        _ => None,
    };
    let near: Vec<usize> = (0..count).filter(|index| is_near(*index)).collect();
    for &near in &near {
        let is_far = |index: &usize| {
            !is_near(*index) && from.is_none_or(|name| name == fleet.instances[*index].data_centre)
        };
        for far in (0..count).filter(is_far) {
            for (is_cut, caller, callee) in [(is_outbound, near, far), (is_inbound, far, near)] {
                let condition = if is_cut { Some(condition) } else { back };
                let proxy = soak.network.peers[caller][callee].clone();
                conditions.extend(condition.map(|condition| (proxy, condition)));
            }
        }
        if is_store {
            conditions.push((fleet.instances[near].store_proxy.clone(), condition));
        }
        if let Some(member) = lost_member {
            for members in &soak.network.members[near] {
                conditions.push((members[member].clone(), condition));
            }
        }
    }
    let text = format!(
        "{condition:?} {near:?} from {} out {is_outbound} in {is_inbound} store {is_store} member {lost_member:?}",
        from.unwrap_or("all")
    );
    (text, conditions)
}

/// Takes primaries out of use, again and again: members drain, or a data centre is evacuated.
pub async fn change_primaries(
    soak: Rc<Soak>,
    locks: MemberLocks,
    mut rng: ChaCha8Rng,
    deadline: Instant,
) {
    let mut cuts = JoinSet::new();
    loop {
        let interval = Duration::from_millis(rng.random_range(CHANGE_INTERVAL_MS));
        tokio::time::sleep(interval).await;
        if Instant::now() >= deadline {
            break;
        }
        let is_evacuation = rng.random_range(0..3) == 0;
        let is_all = is_evacuation || rng.random();
        let one = rng.random_range(0..soak.groups.len());
        let hold = Duration::from_millis(rng.random_range(DEAF_DURATION_MS));
        let affected = (0..soak.groups.len()).filter(|index| is_all || *index == one);
        let affected: Vec<usize> = affected.collect();
        let mut guards = Vec::new();
        for index in &affected {
            guards.push(locks[*index].lock().await);
        }
        let zone = soak.groups[one].members[soak.groups[one].primary()]
            .zone
            .get();
        let groups = affected.iter().map(|index| &soak.groups[*index]);
        let former: Vec<_> = groups.map(|group| (group, group.primary())).collect();
        soak.record_event(&format!(
            "services {affected:?} change their primaries, evacuation {is_evacuation} {zone}, deaf for {hold:?}"
        ));
        // A cut off instance relies on its lease alone while the others change the primary.
        if rng.random_range(0..3) != 0 {
            begin_cut(&soak, &mut rng, true, &mut cuts);
            let delay = Duration::from_millis(rng.random_range(CUT_LEAD_MS));
            tokio::time::sleep(delay).await;
        }
        for (group, member) in &former {
            // Takes effect once the member is primary no longer.
            group.pause_replication(*member);
            if !is_evacuation {
                group.set_draining(*member, true);
            }
        }
        let key = format!("op/evacuate/{zone}");
        if is_evacuation {
            soak.cluster.platform.put(&key, "{}");
        }
        let given_up_at = Instant::now() + CHANGE_TIMEOUT;
        let is_primary = |(group, member): &(&Group, usize)| group.primary() == *member;
        while former.iter().any(is_primary) && Instant::now() < given_up_at {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        if is_evacuation {
            soak.cluster.platform.remove(&key);
        }
        for (group, member) in &former {
            group.set_draining(*member, false);
        }
        tokio::time::sleep(hold).await;
        for (group, member) in &former {
            group.resume_replication(*member);
        }
        drop(guards);
    }
    while cuts.join_next().await.is_some() {}
}
