//! Typed indices into the arenas of a compiled configuration.
//!
//! An id is valid only for the snapshot that it comes from. Messages to other processes, and state
//! that outlives a snapshot, use names instead.

macro_rules! id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Eq, PartialEq, Ord, PartialOrd, Hash)]
        pub struct $name(pub u32);

        impl $name {
            /// Returns the id as an index into its arena.
            pub fn index(self) -> usize {
                self.0 as usize
            }
        }
    };
}

id!(
    /// Id of a data centre.
    DataCentre
);
id!(
    /// Id of a database group.
    Group
);
id!(
    /// Id of a member of a database group.
    Member
);
id!(
    /// Id of a route.
    Route
);
id!(
    /// Id of a workspace.
    Workspace
);
