//! Small `Copy` keys into the arenas of a compiled configuration.
//!
//! An id is an index into one arena of one snapshot. It is never sent to another process and never
//! kept across snapshots; names are used there.

macro_rules! id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Eq, PartialEq, Ord, PartialOrd, Hash)]
        pub struct $name(pub u32);

        impl $name {
            /// Returns the index into the arena.
            pub fn index(self) -> usize {
                self.0 as usize
            }
        }
    };
}

id!(
    /// Key of a data centre.
    DataCentre
);
id!(
    /// Key of a database group.
    Group
);
id!(
    /// Key of a member of a database group.
    Member
);
id!(
    /// Key of a route.
    Route
);
id!(
    /// Key of a workspace.
    Workspace
);
