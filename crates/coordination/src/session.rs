//! Consistency state of a caller's session, which gives read-your-writes and monotonic reads.
//!
//! For each group a session keeps its minimum position, the lowest log position that its next read
//! may see, and possibly the member that its reads are pinned to. A confirmed write raises the
//! minimum position to the position of the write. The exact position that a read saw is unknown: it
//! lies between the positions that the member had applied before and after the read. The session
//! therefore stays pinned to that member until the response to a status query sent *after* the read
//! gives an upper bound. The minimum position then rises to that bound, and the session may read
//! from every member that has applied it.
//!
//! A session that starts without a token has no minimum position. Its first read waits until the
//! primary's position has been confirmed, and takes that as the minimum position.
//!
//! # Examples
//!
//! ```
//! use std::time::Instant;
//!
//! use filbertbay_coordination::session::Session;
//! use filbertbay_state::position::{Position, Term};
//!
//! let mut session = Session::new();
//! assert_eq!(session.read_constraint("orders").min_position, None);
//! session.raise_min_position("orders", Position::new(Term(2), 7));
//! let constraint = session.read_constraint("orders");
//! assert_eq!(constraint.min_position, Some(Position::new(Term(2), 7)));
//!
//! session.record_read("orders", "orders-2", Instant::now());
//! assert_eq!(session.read_constraint("orders").pinned.unwrap().name.as_ref(), "orders-2");
//! ```

use std::sync::Arc;
use std::time::Instant;

use filbertbay_state::position::Position;

use crate::view;

/// Maximum number of groups that a session keeps state of; the least recently used one is evicted.
///
/// A session that uses an evicted group again is treated there like a session without a token.
pub const MAX_GROUPS: usize = 16;

/// Consistency state of a session in one group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GroupEntry {
    /// Name of the group.
    pub group: Arc<str>,
    /// Lowest position that the next read may see; `None` until one is known.
    pub min_position: Option<Position>,
    /// Member of the last read, until an upper bound of the position that the read saw is known.
    pub pinned: Option<PinnedMember>,
}

/// Member that a session's reads are pinned to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PinnedMember {
    /// Name of the member that the read ran on.
    pub name: Arc<str>,
    /// Time by which the last read on the member had ended.
    pub read_ended: Instant,
}

/// Condition on the member that serves the next read of a session in one group.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReadConstraint<'a> {
    /// Lowest position that the read may see; `None` if none is known.
    pub min_position: Option<Position>,
    /// Member that the session must read from until an upper bound of its last read is known.
    pub pinned: Option<&'a PinnedMember>,
}

/// Consistency state of a caller's session in all groups that it uses.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Session {
    /// Entries by time of use, the most recently used one last.
    entries: Vec<GroupEntry>,
}

impl Session {
    /// Creates a session without reads or writes.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Restores a session from the entries of another instance's session state.
    ///
    /// Keeps the last [`MAX_GROUPS`] entries.
    pub fn restore<I>(entries: I) -> Self
    where
        I: IntoIterator<Item = GroupEntry>,
    {
        let mut session = Self::new();
        for entry in entries {
            session.insert(entry);
        }
        session
    }

    /// Returns the state of each group, the most recently used one last.
    pub fn entries(&self) -> &[GroupEntry] {
        &self.entries
    }

    /// Returns the condition on the next read of a group; the default if the group is unknown.
    pub fn read_constraint(&self, group: &str) -> ReadConstraint<'_> {
        let entry = self.entries.iter().find(|e| e.group.as_ref() == group);
        entry.map_or_else(ReadConstraint::default, |entry| ReadConstraint {
            min_position: entry.min_position,
            pinned: entry.pinned.as_ref(),
        })
    }

    /// Raises the minimum position to `position` and unpins the session.
    ///
    /// `position` must come from a confirmation that started after every read and write of the
    /// session. Returns whether the session has changed, so that its token must be sent again.
    pub fn raise_min_position(&mut self, group: &str, position: Position) -> bool {
        let entry = self.entry(group);
        let before = (entry.min_position, entry.pinned.take());
        entry.min_position = entry.min_position.max(Some(position));
        before != (entry.min_position, None)
    }

    /// Records that a read on a member had ended by `now`, and pins the session to the member.
    ///
    /// Returns whether the session was not already pinned to this member.
    pub fn record_read(&mut self, group: &str, member: &str, now: Instant) -> bool {
        let entry = self.entry(group);
        let current = entry.pinned.as_mut().filter(|s| s.name.as_ref() == member);
        if let Some(pinned) = current {
            pinned.read_ended = now;
            return false;
        }
        entry.pinned = Some(PinnedMember {
            name: Arc::from(member),
            read_ended: now,
        });
        true
    }

    /// Raises the minimum position and unpins the session if the view has an upper bound of the
    /// position that the last read saw.
    ///
    /// Returns whether the session has changed.
    pub fn update_from_view(&mut self, view: &view::Group) -> bool {
        let entry = self.entries.iter_mut().find(|e| e.group == view.name);
        let Some(entry) = entry else { return false };
        let Some(pinned) = &entry.pinned else {
            return false;
        };
        let Some(bound) = view.position_bound(&pinned.name, pinned.read_ended) else {
            return false;
        };
        entry.min_position = entry.min_position.max(Some(bound));
        entry.pinned = None;
        true
    }

    /// Returns the state of a group as the most recently used one, and adds it if it is missing.
    fn entry(&mut self, group: &str) -> &mut GroupEntry {
        let found = self.entries.iter().position(|e| e.group.as_ref() == group);
        let entry = match found {
            Some(index) => self.entries.remove(index),
            None => GroupEntry {
                group: Arc::from(group),
                min_position: None,
                pinned: None,
            },
        };
        self.insert(entry);
        let last = self.entries.len() - 1;
        &mut self.entries[last]
    }

    fn insert(&mut self, entry: GroupEntry) {
        self.entries
            .retain(|existing| existing.group != entry.group);
        if self.entries.len() == MAX_GROUPS {
            self.entries.remove(0);
        }
        self.entries.push(entry);
    }
}
