//! Seeded quickcheck runner shared by the tests of the workspace.
//!
//! Every property test runs with a fixed seed and size, so that CI gives the same verdict on every
//! run. Set `QUICKCHECK_SEED` and `QUICKCHECK_TESTS` to explore further.

use std::env;

use quickcheck::{Gen, QuickCheck};

/// Seed used when `QUICKCHECK_SEED` is not set.
pub const DEFAULT_SEED: u64 = 20_261_204;

/// Number of passing cases required when `QUICKCHECK_TESTS` is not set.
pub const DEFAULT_TESTS: u64 = 100;

/// Returns a runner whose generator has the given size and the seed of the environment.
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
    let tests = number("QUICKCHECK_TESTS", DEFAULT_TESTS);
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(size, seed()))
        .tests(tests)
        .max_tests(tests.saturating_mul(10))
}

/// Returns the seed of this run.
///
/// # Panics
///
/// Panics if `QUICKCHECK_SEED` is set and is not a number.
pub fn seed() -> u64 {
    number("QUICKCHECK_SEED", DEFAULT_SEED)
}

fn number(name: &str, default: u64) -> u64 {
    match env::var(name) {
        Ok(text) => text
            .parse()
            .unwrap_or_else(|_| panic!("{name} is not a number: {text}")),
        Err(_) => default,
    }
}
