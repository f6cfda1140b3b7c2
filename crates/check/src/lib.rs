//! Seeded quickcheck runner shared by the tests of the workspace.
//!
//! By default, every property test runs with a fixed seed and size, so that its result is the same
//! on every run. Set `QUICKCHECK_SEED` and `QUICKCHECK_TESTS` to test other or more cases.

use std::env;

use quickcheck::{Gen, QuickCheck};

/// Seed used when `QUICKCHECK_SEED` is not set.
pub const DEFAULT_SEED: u64 = 20_261_204;

/// Number of passing cases required when `QUICKCHECK_TESTS` is not set.
pub const DEFAULT_TESTS: u64 = 100;

/// Returns a runner whose generator has the given size and the seed that [`seed`] returns.
///
/// `size` bounds the length of generated collections.
///
/// # Examples
///
/// ```
/// fn reverse_twice(items: Vec<u8>) -> bool {
///     items.iter().rev().rev().eq(items.iter())
/// }
/// check::runner(32).quickcheck(reverse_twice as fn(Vec<u8>) -> bool);
/// ```
///
/// # Panics
///
/// Panics if `QUICKCHECK_SEED` or `QUICKCHECK_TESTS` is set and is not a number.
pub fn runner(size: usize) -> QuickCheck {
    let tests = number_from_env("QUICKCHECK_TESTS", DEFAULT_TESTS);
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(size, seed()))
        .tests(tests)
        .max_tests(tests.saturating_mul(10))
}

/// Returns the value of `QUICKCHECK_SEED`, or [`DEFAULT_SEED`] if it is not set.
///
/// # Panics
///
/// Panics if `QUICKCHECK_SEED` is set and is not a number.
pub fn seed() -> u64 {
    number_from_env("QUICKCHECK_SEED", DEFAULT_SEED)
}

fn number_from_env(name: &str, default: u64) -> u64 {
    match env::var(name) {
        Ok(text) => text
            .parse()
            .unwrap_or_else(|_| panic!("{name} is not a number: {text}")),
        Err(_) => default,
    }
}
