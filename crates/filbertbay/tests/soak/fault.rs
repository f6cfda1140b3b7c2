//! Random faults, in series and overlapping.

use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::Mutex;

use super::Scene;
use super::common::store::StoreMode;
use super::common::{KEY, OTHER_KEY, config_with_workspaces};
use super::proxy::Weather;

/// Shortest and longest pause between the starts of two faults, in ms.
const PAUSE_MS: std::ops::Range<u64> = 150..1_400;

/// Shortest and longest time that a fault lasts, in ms.
const LENGTH_MS: std::ops::Range<u64> = 100..3_500;

/// Time after which a member that crashed or hears nothing is well again, so that one is left.
const MEMBER_LENGTH: Duration = Duration::from_millis(2_500);

/// Injects faults until the time is over, and then waits until all of them have ended.
pub async fn inject(scene: &Rc<Scene>, mut random: ChaCha8Rng, length: Duration) {
    let until = tokio::time::Instant::now() + length;
    let mut faults = tokio::task::JoinSet::new();
    // Faults of members come one at a time: with two of three gone nothing is promised but truth.
    let members = Rc::new(Mutex::new(()));
    let mut version = 1;
    while tokio::time::Instant::now() < until {
        let pause = Duration::from_millis(random.random_range(PAUSE_MS));
        tokio::time::sleep(pause).await;
        let lasts = Duration::from_millis(random.random_range(LENGTH_MS));
        let node = random.random_range(0..scene.fleet.borrow().nodes.len());
        let member = random.random_range(0..scene.world.group.members.len());
        let kind = random.random_range(0..15);
        scene.tell(&format!(
            "fault {kind} node {node} member {member} for {lasts:?}"
        ));
        let (scene, members) = (Rc::clone(scene), Rc::clone(&members));
        match kind {
            0 => drop(faults.spawn_local(stop(scene, node))),
            1 => drop(faults.spawn_local(pause_process(scene, node, lasts))),
            2 | 3 => drop(faults.spawn_local(kill(scene, node, lasts / 3))),
            4 => scene.fleet.borrow_mut().nodes[node].signal("-HUP"),
            5 => drop(faults.spawn_local(crash(scene, members, member))),
            6 => drop(faults.spawn_local(deafen(scene, members, member))),
            7 => scene
                .world
                .group
                .lose_answers(member, random.random_range(1..4)),
            8 | 9 => drop(faults.spawn_local(store_mood(scene, random.random(), lasts))),
            10 => scene.world.platform.lose_answers(random.random_range(1..3)),
            11 => scene.world.platform.compact(),
            12 => {
                version += random.random_range(1..4);
                let keys: &[&str] = if random.random() {
                    &[KEY]
                } else {
                    &[KEY, "spare"]
                };
                let text =
                    config_with_workspaces(version, &[("shop", keys), ("stall", &[OTHER_KEY])]);
                scene.world.platform.put("op/config", &text);
            }
            13 => drop(faults.spawn_local(harm_link(scene, node, member, random.random(), lasts))),
            _ => drop(faults.spawn_local(harm_store(scene, node, weather(&mut random), lasts))),
        }
    }
    while faults.join_next().await.is_some() {}
    scene.world.platform.set_mode(StoreMode::Serving);
}

fn weather(random: &mut ChaCha8Rng) -> Weather {
    match random.random_range(0..4) {
        0 => Weather::Delayed(Duration::from_millis(random.random_range(20..400))),
        1 => Weather::CutBack,
        2 => Weather::Silent,
        _ => Weather::Reset,
    }
}

async fn stop(scene: Rc<Scene>, node: usize) {
    scene.fleet.borrow_mut().nodes[node].signal("-TERM");
    // The process has six seconds.
    for _ in 0..80 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        if !scene.fleet.borrow_mut().nodes[node].is_running() {
            break;
        }
    }
    restart(&scene, node);
}

async fn kill(scene: Rc<Scene>, node: usize, lasts: Duration) {
    scene.fleet.borrow_mut().nodes[node].kill();
    tokio::time::sleep(lasts).await;
    restart(&scene, node);
}

fn restart(scene: &Scene, node: usize) {
    let mut fleet = scene.fleet.borrow_mut();
    if fleet.nodes[node].is_running() {
        // Another fault started it again, or it outlived its grace.
        return;
    }
    fleet.nodes[node].start();
}

async fn pause_process(scene: Rc<Scene>, node: usize, lasts: Duration) {
    scene.fleet.borrow_mut().nodes[node].signal("-STOP");
    tokio::time::sleep(lasts).await;
    scene.fleet.borrow_mut().nodes[node].signal("-CONT");
}

async fn crash(scene: Rc<Scene>, members: Rc<Mutex<()>>, member: usize) {
    let _turn = members.lock().await;
    scene.world.group.crash(member);
    tokio::time::sleep(MEMBER_LENGTH).await;
    scene.world.group.restart(member).await;
}

async fn deafen(scene: Rc<Scene>, members: Rc<Mutex<()>>, member: usize) {
    let _turn = members.lock().await;
    if scene.world.group.primary() == member {
        return;
    }
    scene.world.group.pause_replication(member);
    tokio::time::sleep(MEMBER_LENGTH).await;
    scene.world.group.resume_replication(member);
}

async fn store_mood(scene: Rc<Scene>, is_silent: bool, lasts: Duration) {
    let mood = if is_silent {
        StoreMode::Unresponsive
    } else {
        StoreMode::Unavailable
    };
    scene.world.platform.set_mode(mood);
    tokio::time::sleep(lasts).await;
    scene.world.platform.set_mode(StoreMode::Serving);
}

async fn harm_link(scene: Rc<Scene>, node: usize, member: usize, is_caller: bool, lasts: Duration) {
    let proxy = if is_caller {
        scene.fleet.borrow().nodes[node].callers.clone()
    } else {
        scene.members[member].clone()
    };
    proxy.set(Weather::Silent);
    tokio::time::sleep(lasts).await;
    proxy.set(Weather::Calm);
}

async fn harm_store(scene: Rc<Scene>, node: usize, weather: Weather, lasts: Duration) {
    let proxy = scene.fleet.borrow().nodes[node].store.clone();
    proxy.set(weather);
    tokio::time::sleep(lasts).await;
    proxy.set(Weather::Calm);
}
