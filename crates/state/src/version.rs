//! Version number of the configuration, which orders patches and stored configurations.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Version of the configuration; each applied patch increments it by one.
///
/// Version zero is the empty configuration, before the first patch.
///
/// # Examples
///
/// ```
/// use filbertbay_state::version::Version;
///
/// assert_eq!(Version(6).next(), Version(7));
/// assert_eq!("7".parse::<Version>()?, Version(7));
/// # Ok::<(), std::num::ParseIntError>(())
/// ```
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

impl Version {
    /// Returns the version that the next applied patch creates.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Version {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}
