//! What a caller's session has seen, so that it reads its writes and never reads backwards.
//!
//! For each group a session keeps a floor, the lowest position that its next read may see, and the
//! member of its last read. A confirmed write raises the floor to its position. A read saw
//! something between what its member had applied before and what the member has applied since, so
//! the session stays on that member until an answer asked for *after* the read gives an upper
//! bound; then the floor rises to that bound and every member at or above it will do.
//!
//! A session that arrives without a token knows no floor. Its first read waits until the primary's
//! position has been confirmed, and takes that as the floor.
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
//! assert_eq!(session.need("orders").floor, None);
//! session.confirm("orders", Position::new(Term(2), 7));
//! assert_eq!(session.need("orders").floor, Some(Position::new(Term(2), 7)));
//!
//! session.read("orders", "orders-2", Instant::now());
//! assert_eq!(session.need("orders").member.unwrap().name.as_ref(), "orders-2");
//! ```

use std::sync::Arc;
use std::time::Instant;

use filbertbay_state::position::Position;

use crate::view;

/// Groups that one session remembers; the one used longest ago is forgotten first.
///
/// A session that comes back to a forgotten group is treated like one that arrives there.
pub const MAX_GROUPS: usize = 16;

/// What a session has seen of one group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Name of the group.
    pub group: Arc<str>,
    /// Lowest position that the next read may see; `None` as long as none is known.
    pub floor: Option<Position>,
    /// Member of the last read, as long as no upper bound of what the read saw is known.
    pub member: Option<Sighting>,
}

/// Read whose upper bound is not known yet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Sighting {
    /// Name of the member that the read ran on.
    pub name: Arc<str>,
    /// When the read had ended at the latest.
    pub ended: Instant,
}

/// What the next read of a session needs in one group.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Need<'a> {
    /// Lowest position that the read may see; `None` if none is known.
    pub floor: Option<Position>,
    /// Member that the session must stay on until its position is known.
    pub member: Option<&'a Sighting>,
}

/// Caller's session across all groups that it uses.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Session {
    /// Entries in the order of use, the last used at the end.
    entries: Vec<Entry>,
}

impl Session {
    /// Creates a session that has seen nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a session from what it had seen before it arrived here.
    ///
    /// At most [`MAX_GROUPS`] entries are kept, those at the end.
    pub fn restore<I>(entries: I) -> Self
    where
        I: IntoIterator<Item = Entry>,
    {
        let mut session = Self::new();
        for entry in entries {
            session.insert(entry);
        }
        session
    }

    /// Returns what the session has seen, in the order of use.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Returns what the next read of a group needs.
    pub fn need(&self, group: &str) -> Need<'_> {
        let entry = self.entries.iter().find(|e| e.group.as_ref() == group);
        entry.map_or_else(Need::default, |entry| Need {
            floor: entry.floor,
            member: entry.member.as_ref(),
        })
    }

    /// Raises the floor to a position that a round confirmed after all that the session did.
    ///
    /// Tells whether the session has changed, so that its token has to be sent again.
    pub fn confirm(&mut self, group: &str, position: Position) -> bool {
        let entry = self.entry(group);
        let before = (entry.floor, entry.member.take());
        entry.floor = entry.floor.max(Some(position));
        before != (entry.floor, None)
    }

    /// Notes that a read has run on a member and had ended by `now`.
    ///
    /// Tells whether the member differs from that of the read before.
    pub fn read(&mut self, group: &str, member: &str, now: Instant) -> bool {
        let entry = self.entry(group);
        let same = entry.member.as_mut().filter(|s| s.name.as_ref() == member);
        if let Some(sighting) = same {
            sighting.ended = now;
            return false;
        }
        entry.member = Some(Sighting {
            name: Arc::from(member),
            ended: now,
        });
        true
    }

    /// Raises the floor if the view tells what the last read can have seen at most.
    ///
    /// Tells whether the session has changed.
    pub fn observe(&mut self, view: &view::Group) -> bool {
        let entry = self.entries.iter_mut().find(|e| e.group == view.name);
        let Some(entry) = entry else { return false };
        let Some(sighting) = &entry.member else {
            return false;
        };
        let Some(bound) = view.position_bound(&sighting.name, sighting.ended) else {
            return false;
        };
        entry.floor = entry.floor.max(Some(bound));
        entry.member = None;
        true
    }

    fn entry(&mut self, group: &str) -> &mut Entry {
        let found = self.entries.iter().position(|e| e.group.as_ref() == group);
        let entry = match found {
            Some(at) => self.entries.remove(at),
            None => Entry {
                group: Arc::from(group),
                floor: None,
                member: None,
            },
        };
        self.insert(entry);
        let last = self.entries.len() - 1;
        &mut self.entries[last]
    }

    fn insert(&mut self, entry: Entry) {
        self.entries.retain(|known| known.group != entry.group);
        if self.entries.len() == MAX_GROUPS {
            self.entries.remove(0);
        }
        self.entries.push(entry);
    }
}
