//! Memory that the sessions of an instance hold, charged to one budget before it is taken.
//!
//! The first [`FREE_BYTES`] of a session's input and of an answer are not charged, so ordinary
//! statements are served while large ones use up the budget. Beyond them a driver asks first, and closes
//! the session or drops the answer if there is no room.

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
pub use filbertbay_coordination::budget::{Budget, Charge};
use tokio::sync::Notify;

use crate::clock::Clock;

/// Bytes of a session's input, of its kept values and of an answer that are not charged.
pub const FREE_BYTES: usize = 8 << 10;

/// Copies of a message that exist at a time: input, text of the statement, its arguments, and the request
/// to the endpoint.
const INPUT_COPIES: usize = 4;

/// Copies of a row that exist at a time: as received, and as sent to the caller.
const ANSWER_COPIES: usize = 2;

/// Returns the charge for input of a caller of `bytes`, with all copies that serving it makes.
pub fn input_charge(bytes: usize) -> usize {
    if bytes > FREE_BYTES {
        bytes * INPUT_COPIES
    } else {
        0
    }
}

/// Returns the charge for rows of `bytes`, or for session values of `bytes`.
pub fn answer_charge(bytes: usize) -> usize {
    if bytes > FREE_BYTES {
        bytes * ANSWER_COPIES
    } else {
        0
    }
}

/// Charged input of one session.
///
/// The driver of the caller's protocol charges; the session limits the time for which input is held.
#[derive(Debug)]
pub struct Input {
    charge: RefCell<Charge>,
    held_since: Cell<Option<Instant>>,
    changed: Notify,
    clock: Clock,
}

impl Input {
    /// Creates the account of a session without input.
    pub fn new(budget: &Budget, clock: Clock) -> Rc<Self> {
        Rc::new(Self {
            charge: RefCell::new(budget.charge()),
            held_since: Cell::new(None),
            changed: Notify::new(),
            clock,
        })
    }

    /// Charges buffered input of `bytes`, before it is read.
    ///
    /// # Errors
    ///
    /// Returns an error of kind [`io::ErrorKind::OutOfMemory`] if the budget has no room.
    pub fn hold(&self, bytes: usize) -> io::Result<()> {
        let needed = input_charge(bytes);
        let mut charge = self.charge.borrow_mut();
        if needed <= charge.bytes() {
            return Ok(());
        }
        if !charge.try_resize(needed) {
            return Err(io::ErrorKind::OutOfMemory.into());
        }
        if self.held_since.get().is_none() {
            self.held_since.set(Some(self.clock.now()));
            self.changed.notify_one();
        }
        Ok(())
    }

    /// Releases the charge of an answered statement, except for `bytes` that are buffered.
    pub fn settle(&self, bytes: usize) {
        let needed = input_charge(bytes);
        self.charge.borrow_mut().reduce(needed);
        let held_since = (needed > 0).then(|| self.clock.now());
        self.held_since.set(held_since);
    }

    /// Returns since when charged input is held, or `None` if there is none.
    pub fn held_since(&self) -> Option<Instant> {
        self.held_since.get()
    }

    /// Waits until charged input is held that was not before.
    pub async fn wait_for_hold(&self) {
        self.changed.notified().await;
    }
}

/// Row that keeps the charge of its answer until it is dropped.
struct ChargedRow {
    row: Bytes,
    _charge: Charge,
}

impl AsRef<[u8]> for ChargedRow {
    fn as_ref(&self) -> &[u8] {
        &self.row
    }
}

/// Ties a charge to rows, so that it is released when they are dropped.
pub fn attach(charge: Charge, rows: &mut [Bytes]) {
    if let Some(first) = rows.first_mut() {
        let row = std::mem::take(first);
        *first = Bytes::from_owner(ChargedRow {
            row,
            _charge: charge,
        });
    }
}
