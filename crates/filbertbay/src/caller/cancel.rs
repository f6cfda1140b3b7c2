//! Cancel requests of callers.
//!
//! A caller receives a cancel key at its startup. A cancel request with that key is forwarded to
//! the endpoint connection that runs the caller's statement at that moment. While a request is in
//! flight the connection is not handed to another session, so that the request never cancels a
//! statement of that session.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use filbertbay_transport::endpoint::CancelKey;
use parking_lot::Mutex as SyncMutex;
use rand::Rng;
use tokio::sync::Mutex;

/// Key that identifies a session in a cancel request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash)]
pub struct Key {
    /// Random id of the session, which callers see as a process id.
    pub pid: i32,
    /// Random secret.
    pub secret: i32,
}

/// Sessions by their cancel keys.
#[derive(Debug, Default)]
pub struct Registry {
    sessions: SyncMutex<HashMap<Key, Arc<Entry>>>,
}

/// Endpoint connection that runs a session's statements, if any.
#[derive(Debug, Default)]
struct Entry {
    target: Mutex<Option<CancelKey>>,
    cancel_sent: AtomicBool,
}

/// Registration of one session, removed when dropped.
#[derive(Debug)]
pub struct Registration {
    registry: Arc<Registry>,
    key: Key,
    entry: Arc<Entry>,
}

impl Registry {
    /// Registers a session under a new random key.
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

    /// Cancels the running statement of the session with this key; an unknown key has no effect.
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
            // Cancel requests are best effort: an undelivered one leaves the statement running.
            let _ = target.cancel().await;
        }
    }
}

impl Registration {
    /// Returns the session's cancel key.
    pub fn key(&self) -> Key {
        self.key
    }

    /// Sets the endpoint connection that receives the session's cancel requests.
    pub async fn set_target(&self, target: CancelKey) {
        *self.entry.target.lock().await = Some(target);
        self.entry.cancel_sent.store(false, Ordering::Release);
    }

    /// Clears the target, and returns whether a cancel request was sent to it since it was set.
    /// Waits for a request that is in flight.
    pub async fn clear_target(&self) -> bool {
        *self.entry.target.lock().await = None;
        self.entry.cancel_sent.swap(false, Ordering::AcqRel)
    }

    /// Cancels the statement that this session runs.
    pub async fn cancel(&self) {
        self.entry.cancel().await;
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.registry.sessions.lock().remove(&self.key);
    }
}
