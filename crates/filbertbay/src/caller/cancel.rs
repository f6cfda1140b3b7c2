//! Cancel requests of callers.
//!
//! A caller receives a key at its startup. A cancel request with that key goes to whatever endpoint
//! connection runs the caller's statement at that moment. While a request is on its way the
//! connection is not handed to another session, so that it never cancels the wrong statement.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use filbertbay_transport::endpoint::CancelKey;
use parking_lot::Mutex as SyncMutex;
use rand::Rng;
use tokio::sync::Mutex;

/// Key that a caller must name to cancel.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash)]
pub struct Key {
    /// Number of the session; callers take it for a process id.
    pub pid: i32,
    /// Random secret.
    pub secret: i32,
}

/// Sessions by the keys of their cancel requests.
#[derive(Debug, Default)]
pub struct Registry {
    sessions: SyncMutex<HashMap<Key, Arc<Entry>>>,
}

/// What a session runs at the moment.
#[derive(Debug, Default)]
struct Entry {
    target: Mutex<Option<CancelKey>>,
    cancel_sent: AtomicBool,
}

/// Registration of one session; it ends when dropped.
#[derive(Debug)]
pub struct Registration {
    registry: Arc<Registry>,
    key: Key,
    entry: Arc<Entry>,
}

impl Registry {
    /// Registers a session under a fresh key.
    pub fn register(self: &Arc<Self>) -> Registration {
        let entry = Arc::new(Entry::default());
        let mut sessions = self.sessions.lock();
        let key = loop {
            let mut random = rand::rng();
            let pid = random.random_range(1..=i32::MAX);
            let secret = random.random();
            let key = Key { pid, secret };
            if !sessions.contains_key(&key) {
                break key;
            }
        };
        sessions.insert(key, Arc::clone(&entry));
        Registration {
            registry: Arc::clone(self),
            key,
            entry,
        }
    }

    /// Cancels what the session with this key runs; an unknown key has no effect.
    pub async fn cancel(&self, key: Key) {
        let entry = self.sessions.lock().get(&key).cloned();
        if let Some(entry) = entry {
            entry.cancel().await;
        }
    }
}

impl Entry {
    async fn cancel(&self) {
        let target = self.target.lock().await;
        if let Some(target) = target.as_ref() {
            self.cancel_sent.store(true, Ordering::Release);
            // A request that can't be delivered leaves the statement running, as callers expect.
            let _ = target.cancel().await;
        }
    }
}

impl Registration {
    /// Returns the key that the caller must name.
    pub fn key(&self) -> Key {
        self.key
    }

    /// Notes the endpoint connection that now runs the session's statements.
    pub async fn set_target(&self, target: CancelKey) {
        *self.entry.target.lock().await = Some(target);
        self.entry.cancel_sent.store(false, Ordering::Release);
    }

    /// Notes that no connection runs for the session any more, and tells whether a cancel request
    /// was sent meanwhile; it waits for one that is on its way.
    pub async fn clear_target(&self) -> bool {
        *self.entry.target.lock().await = None;
        self.entry.cancel_sent.swap(false, Ordering::AcqRel)
    }

    /// Cancels the session's own statement.
    pub async fn cancel(&self) {
        self.entry.cancel().await;
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.registry.sessions.lock().remove(&self.key);
    }
}
