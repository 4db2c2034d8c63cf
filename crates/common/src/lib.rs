//! Types and macros shared by all packages: names, derive macros and error kinds.

mod kind;
mod name;

pub use kind::{ErrorKind, Execution};
pub use name::Name;

/// Derives the common set of traits for plain data.
///
/// # Examples
///
/// ```
/// common::data! {
///     /// A point on a plane.
///     pub struct Point {
///         /// Distance from the left, in pixels.
///         pub x: u32,
///     }
/// }
/// assert_eq!(Point { x: 1 }, Point { x: 1 }.clone());
/// ```
#[macro_export]
macro_rules! data {
    ($($item:item)*) => { $(
        #[derive(Debug, Clone, PartialEq)]
        $item
    )* };
}

/// Derives the common set of traits for small values that serve as keys.
///
/// # Examples
///
/// ```
/// common::key! {
///     /// A coin's face.
///     pub enum Face {
///         /// The obverse.
///         Heads,
///         /// The reverse.
///         Tails,
///     }
/// }
/// assert!(Face::Heads < Face::Tails);
/// ```
#[macro_export]
macro_rules! key {
    ($($item:item)*) => { $(
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
        $item
    )* };
}

/// Derives the common set of traits for data stored or sent as JSON.
///
/// Unknown fields are ignored, so that an older version can read a newer version's data.
///
/// # Examples
///
/// ```
/// common::record! {
///     /// A named count.
///     pub struct Count {
///         /// How many.
///         pub n: u64,
///     }
/// }
/// let count: Count = serde_json::from_str(r#"{"n":3,"new":1}"#).unwrap();
/// assert_eq!(count.n, 3);
/// ```
#[macro_export]
macro_rules! record {
    ($($item:item)*) => { $(
        #[derive(Debug, Clone, PartialEq, ::serde::Serialize, ::serde::Deserialize)]
        $item
    )* };
}

/// Hashes bytes to the same value on every daemon and in every version.
pub fn stable_hash(bytes: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(bytes)
}
