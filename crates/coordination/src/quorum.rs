//! Sets of members and the majorities that decisions need.
//!
//! A decision about a group needs a majority of every list of members that may be in force. One
//! list is in force in steady state. While a patch adds or removes members, the list before and the
//! list after it both count, so that a decision under either list meets one member of this decision.
//!
//! # Examples
//!
//! ```
//! use filbertbay_coordination::quorum::{MemberSet, Quorum};
//!
//! let quorum = Quorum::new(MemberSet::first(3));
//! assert!(quorum.is_met_by(MemberSet::from_iter([0, 2])));
//! assert!(!quorum.is_met_by(MemberSet::from_iter([1])));
//! ```

/// Largest number of members that a set can hold.
pub const MAX_MEMBERS: usize = 64;

/// Set of members of one group, by their index in the view.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct MemberSet(u64);

impl MemberSet {
    /// Creates the set of the first `count` members.
    ///
    /// Members beyond [`MAX_MEMBERS`] are left out.
    #[must_use]
    pub fn first(count: usize) -> Self {
        (0..count).collect()
    }

    /// Adds a member; an index of [`MAX_MEMBERS`] or more changes nothing.
    pub fn insert(&mut self, member: usize) {
        if member < MAX_MEMBERS {
            self.0 |= 1 << member;
        }
    }

    /// Tells whether the set holds a member.
    pub fn contains(self, member: usize) -> bool {
        member < MAX_MEMBERS && self.0 & (1 << member) != 0
    }

    /// Returns the members of both sets.
    #[must_use]
    pub fn union(self, other: Self) -> Self {
        Self(self.0 | other.0)
    }

    /// Returns the members of this set that the other one lacks.
    #[must_use]
    pub fn without(self, other: Self) -> Self {
        Self(self.0 & !other.0)
    }

    /// Returns the number of members.
    pub fn len(self) -> usize {
        self.0.count_ones() as usize
    }

    /// Tells whether the set is empty.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// Iterates over the members in ascending order.
    pub fn iter(self) -> impl Iterator<Item = usize> {
        (0..MAX_MEMBERS).filter(move |member| self.contains(*member))
    }

    fn has_majority_of(self, list: Self) -> bool {
        2 * (self.0 & list.0).count_ones() > list.0.count_ones()
    }
}

impl FromIterator<usize> for MemberSet {
    fn from_iter<I>(members: I) -> Self
    where
        I: IntoIterator<Item = usize>,
    {
        let mut set = Self::default();
        for member in members {
            set.insert(member);
        }
        set
    }
}

/// Lists of members of which a decision needs a majority each.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Quorum {
    current: MemberSet,
    previous: MemberSet,
}

impl Quorum {
    /// Creates the rule of one list.
    #[must_use]
    pub fn new(list: MemberSet) -> Self {
        Self {
            current: list,
            previous: list,
        }
    }

    /// Returns the rule while `list` replaces the present list.
    ///
    /// # Examples
    ///
    /// ```
    /// use filbertbay_coordination::quorum::{MemberSet, Quorum};
    ///
    /// let quorum = Quorum::new(MemberSet::first(3)).begin_transition(MemberSet::from_iter([2, 3, 4]));
    /// assert!(!quorum.is_met_by(MemberSet::from_iter([3, 4])));
    /// assert!(quorum.is_met_by(MemberSet::from_iter([1, 2, 3])));
    /// ```
    #[must_use]
    pub fn begin_transition(self, list: MemberSet) -> Self {
        Self {
            current: list,
            previous: self.current,
        }
    }

    /// Returns the rule once the list before the present one no longer counts.
    #[must_use]
    pub fn end_transition(self) -> Self {
        Self::new(self.current)
    }

    /// Returns every member that counts.
    #[must_use]
    pub fn members(self) -> MemberSet {
        self.current.union(self.previous)
    }

    /// Tells whether a set holds a majority of each list.
    pub fn is_met_by(self, set: MemberSet) -> bool {
        set.has_majority_of(self.current) && set.has_majority_of(self.previous)
    }

    /// Tells whether no majority is left once these members can't take part.
    pub fn is_blocked_by(self, absent: MemberSet) -> bool {
        !self.is_met_by(self.members().without(absent))
    }
}
