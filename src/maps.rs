//! Hash maps and sets. In tests their iteration order is the same in every run, so that a
//! seed that breaks an invariant breaks it again. Elsewhere they are the standard ones,
//! whose random hash keys keep hostile input from forcing collisions.

#[cfg(not(test))]
pub use std::collections::{HashMap, HashSet};

#[cfg(test)]
pub use repeatable::{HashMap, HashSet};

#[cfg(test)]
mod repeatable {
    use std::hash::{BuildHasherDefault, DefaultHasher};

    /// A hash map with constant hash keys.
    pub type HashMap<K, V> = std::collections::HashMap<K, V, BuildHasherDefault<DefaultHasher>>;
    /// A hash set with constant hash keys.
    pub type HashSet<T> = std::collections::HashSet<T, BuildHasherDefault<DefaultHasher>>;
}
