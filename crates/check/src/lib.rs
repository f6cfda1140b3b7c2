//! Seeded quickcheck runner and free ports, shared by the tests of the workspace.
//!
//! By default, every property test runs with a fixed seed and size, so that its result is the same
//! on every run. Set `QUICKCHECK_SEED` and `QUICKCHECK_TESTS` to test other or more cases.

use std::env;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

use quickcheck::{Gen, QuickCheck};

/// Seed used when `QUICKCHECK_SEED` is not set.
pub const DEFAULT_SEED: u64 = 20_261_204;

/// Number of passing cases required when `QUICKCHECK_TESTS` is not set.
pub const DEFAULT_TESTS: u64 = 100;

/// Lowest port that [`free_address`] returns.
const FIRST_PORT: u16 = 11_000;

/// Number of port ranges, one for each of the test processes that run in parallel.
const MAX_PARALLEL_PROCESSES: u32 = 100;

/// Number of ports in the range of a process.
const PORTS_PER_PROCESS: u16 = 200;

/// Number of ports that this process has tried so far; the next offset before it wraps around.
static NEXT_PORT_OFFSET: AtomicU16 = AtomicU16::new(0);

/// Returns a loopback address on which nothing listens.
///
/// Its port lies below the kernel's ephemeral range, so that neither an outgoing connection nor a
/// listener on port zero takes it before the caller binds it. Tests that run in parallel, in one
/// process or in several, get different ports.
///
/// # Examples
///
/// ```
/// let address = check::free_address();
/// assert!(std::net::TcpListener::bind(address).is_ok());
/// ```
pub fn free_address() -> SocketAddr {
    let range = (std::process::id() % MAX_PARALLEL_PROCESSES) as u16;
    let first_port = FIRST_PORT + range * PORTS_PER_PROCESS;
    loop {
        let offset = NEXT_PORT_OFFSET.fetch_add(1, Ordering::Relaxed) % PORTS_PER_PROCESS;
        let address = SocketAddr::from(([127, 0, 0, 1], first_port + offset));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

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
