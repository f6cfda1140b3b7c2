//! Store in memory whose calls meet a planned list of mishaps.
//!
//! Each call gives way to other tasks once before it takes effect, so that a test which polls its
//! tasks in a chosen order decides how their calls interleave.
//!
//! # Examples
//!
//! ```
//! use filbertbay_protocol::platform::{ErrorKind, ModifyIndex, Store};
//! use standin::memory::{Memory, Mishap};
//!
//! # tokio::runtime::Runtime::new()?.block_on(async {
//! let memory = Memory::open([Mishap::LoseAnswer]);
//! let lost = memory.compare_and_swap("key", b"1".to_vec(), ModifyIndex(0)).await.unwrap_err();
//! assert_eq!(lost.kind(), ErrorKind::Unanswered);
//! assert_eq!(memory.read("key").await?.expect("took effect").value, b"1");
//! # Ok::<(), filbertbay_protocol::platform::Error>(())
//! # })?;
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use filbertbay_protocol::platform::{
    Entry, Error, ErrorKind, Instance, LeaseId, ModifyIndex, REGISTRATION_TTL, Store,
};
use parking_lot::Mutex;

use crate::platform::{Slot, Table};

/// What happens to one call.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mishap {
    /// The call takes effect and is answered.
    #[default]
    None,
    /// The call does not reach the platform.
    Refuse,
    /// The call takes effect and its answer is lost.
    LoseAnswer,
    /// The call takes effect before the next call of anyone, and its answer is lost.
    Delay,
    /// The call takes effect twice, and the second answer arrives.
    Double,
}

type Late = Box<dyn FnOnce(&mut Table) + Send>;

#[derive(Default)]
struct State {
    table: Table,
    mishaps: VecDeque<Mishap>,
    late: Vec<Late>,
    calls: u64,
}

/// Store in memory; clones share their keys and mishaps.
#[derive(Clone, Default)]
pub struct Memory {
    state: Arc<Mutex<State>>,
}

impl std::fmt::Debug for Memory {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Memory").finish_non_exhaustive()
    }
}

impl Memory {
    /// Opens an empty store whose first calls meet the given mishaps, one each.
    pub fn open<I>(mishaps: I) -> Self
    where
        I: IntoIterator<Item = Mishap>,
    {
        let memory = Self::default();
        memory.plan(mishaps);
        memory
    }

    /// Replaces the mishaps that the next calls meet.
    pub fn plan<I>(&self, mishaps: I)
    where
        I: IntoIterator<Item = Mishap>,
    {
        self.state.lock().mishaps = mishaps.into_iter().collect();
    }

    /// Writes a key whatever its index is.
    pub fn put(&self, key: &str, value: Vec<u8>) {
        self.state.lock().table.write(key, value, None);
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> u64 {
        self.state.lock().calls
    }

    async fn call<T, F>(&self, call: &'static str, effect: F) -> Result<T, Error>
    where
        T: Send + 'static,
        F: Fn(&mut Table) -> T + Send + 'static,
    {
        tokio::task::yield_now().await;
        let mut state = self.state.lock();
        state.calls += 1;
        for late in std::mem::take(&mut state.late) {
            late(&mut state.table);
        }
        match state.mishaps.pop_front().unwrap_or_default() {
            Mishap::None => Ok(effect(&mut state.table)),
            Mishap::Refuse => Err(Error::new(ErrorKind::Unreachable, call, "planned")),
            Mishap::LoseAnswer => {
                effect(&mut state.table);
                Err(Error::new(ErrorKind::Unanswered, call, "planned"))
            }
            Mishap::Delay => {
                let late = move |table: &mut Table| drop(effect(table));
                state.late.push(Box::new(late));
                Err(Error::new(ErrorKind::Unanswered, call, "planned"))
            }
            Mishap::Double => {
                effect(&mut state.table);
                Ok(effect(&mut state.table))
            }
        }
    }
}

fn entry(key: &str, slot: &Slot) -> Entry {
    Entry {
        key: key.into(),
        value: slot.value.clone(),
        index: ModifyIndex(slot.index),
        lease: slot.lease.as_deref().map(|id| LeaseId(id.into())),
    }
}

#[async_trait]
impl Store for Memory {
    async fn read(&self, key: &str) -> Result<Option<Entry>, Error> {
        let key = key.to_owned();
        let read = move |table: &mut Table| table.read(&key).map(|slot| entry(&key, slot));
        self.call("read", read).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Entry>, Error> {
        let prefix = prefix.to_owned();
        let list = move |table: &mut Table| {
            let rows = table.list(&prefix);
            rows.map(|(key, slot)| entry(key, slot)).collect()
        };
        self.call("list", list).await
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        value: Vec<u8>,
        expected: ModifyIndex,
    ) -> Result<bool, Error> {
        let key = key.to_owned();
        let swap = move |table: &mut Table| table.write(&key, value.clone(), Some(expected.0));
        self.call("swap", swap).await
    }

    async fn compare_and_delete(&self, key: &str, expected: ModifyIndex) -> Result<bool, Error> {
        let key = key.to_owned();
        let remove = move |table: &mut Table| table.remove(&key, Some(expected.0));
        self.call("remove", remove).await
    }

    /// Reads the key at once, changed or not.
    async fn watch(&self, key: &str, _: ModifyIndex, _: Duration) -> Result<Option<Entry>, Error> {
        self.read(key).await
    }

    async fn open_lease(&self, name: &str, ttl: Duration) -> Result<LeaseId, Error> {
        let name = name.to_owned();
        let open = move |table: &mut Table| table.open_lease(&name, ttl, Instant::now());
        let id = self.call("open_lease", open).await?;
        Ok(LeaseId(id.into()))
    }

    async fn renew_lease(&self, lease: &LeaseId) -> Result<bool, Error> {
        let id = Arc::clone(&lease.0);
        let renew = move |table: &mut Table| table.renew_lease(&id, Instant::now());
        self.call("renew_lease", renew).await
    }

    async fn close_lease(&self, lease: &LeaseId) -> Result<(), Error> {
        let id = Arc::clone(&lease.0);
        let close = move |table: &mut Table| table.close_lease(&id);
        self.call("close_lease", close).await
    }

    async fn acquire(&self, key: &str, value: Vec<u8>, lease: &LeaseId) -> Result<bool, Error> {
        let (key, id) = (key.to_owned(), Arc::clone(&lease.0));
        let acquire = move |table: &mut Table| table.acquire(&key, value.clone(), &id);
        Ok(self.call("acquire", acquire).await?.unwrap_or(false))
    }

    async fn register(&self, instance: &Instance) -> Result<(), Error> {
        let name = Arc::clone(&instance.name);
        let meta = serde_json::to_value(instance)
            .map_err(|error| Error::new(ErrorKind::Malformed, "register", error.to_string()))?;
        let register = move |table: &mut Table| {
            table.register(&name, meta.clone(), REGISTRATION_TTL, Instant::now());
        };
        self.call("register", register).await
    }

    async fn instances(&self) -> Result<Vec<Instance>, Error> {
        let list = |table: &mut Table| table.instances(Instant::now());
        let metas = self.call("instances", list).await?;
        let parsed = metas.into_iter().map(serde_json::from_value);
        let parsed = parsed.collect::<Result<_, _>>();
        parsed.map_err(|error| Error::new(ErrorKind::Malformed, "instances", error.to_string()))
    }
}
