//! Sets of members and joint quorums during changes of the member list.
//!
//! A decision about a group needs a majority of every member list that may be in force, which in
//! steady state is one list. While a patch adds or removes members, a decision needs a majority of
//! the old list and of the new list, so that it shares a member with every decision under either
//! list.
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

/// Capacity of a [`MemberSet`].
pub const MAX_MEMBERS: usize = 64;

/// Set of members of one group, by index in the view.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct MemberSet(u64);

impl MemberSet {
    /// Returns the set of the first `count` members.
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

    /// Returns true if the set contains the member.
    pub fn contains(self, member: usize) -> bool {
        member < MAX_MEMBERS && self.0 & (1 << member) != 0
    }

    /// Returns the members that are in either set.
    #[must_use]
    pub fn union(self, other: Self) -> Self {
        Self(self.0 | other.0)
    }

    /// Returns the members of this set that are not in `other`.
    #[must_use]
    pub fn without(self, other: Self) -> Self {
        Self(self.0 & !other.0)
    }

    /// Returns the number of members.
    pub fn len(self) -> usize {
        self.0.count_ones() as usize
    }

    /// Returns true if the set is empty.
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

/// Quorum of one member list, or joint quorum of the old and the new list during a change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Quorum {
    current: MemberSet,
    previous: MemberSet,
}

impl Quorum {
    /// Creates the quorum of one list.
    #[must_use]
    pub fn new(list: MemberSet) -> Self {
        Self {
            current: list,
            previous: list,
        }
    }

    /// Returns the joint quorum while `list` replaces the current list.
    ///
    /// # Examples
    ///
    /// ```
    /// use filbertbay_coordination::quorum::{MemberSet, Quorum};
    ///
    /// let next = MemberSet::from_iter([2, 3, 4]);
    /// let quorum = Quorum::new(MemberSet::first(3)).begin_transition(next);
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

    /// Returns the quorum of the current list alone.
    #[must_use]
    pub fn end_transition(self) -> Self {
        Self::new(self.current)
    }

    /// Returns the members of all lists.
    #[must_use]
    pub fn members(self) -> MemberSet {
        self.current.union(self.previous)
    }

    /// Returns true if `set` contains a majority of each list.
    pub fn is_met_by(self, set: MemberSet) -> bool {
        set.has_majority_of(self.current) && set.has_majority_of(self.previous)
    }

    /// Returns true if no quorum is possible without the members in `absent`.
    pub fn is_blocked_by(self, absent: MemberSet) -> bool {
        !self.is_met_by(self.members().without(absent))
    }
}
