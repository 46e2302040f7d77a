//! Hash maps and sets. Test builds use constant hash keys, so the iteration order is the same
//! in every run and a seed that breaks an invariant is reproducible. Other builds use the
//! standard types, whose random hash keys prevent hostile input from forcing collisions.

#[cfg(not(test))]
pub use std::collections::{HashMap, HashSet};

#[cfg(test)]
pub use deterministic::{HashMap, HashSet};

#[cfg(test)]
mod deterministic {
    use std::hash::{BuildHasherDefault, DefaultHasher};

    /// A hash map with constant hash keys.
    pub type HashMap<K, V> = std::collections::HashMap<K, V, BuildHasherDefault<DefaultHasher>>;
    /// A hash set with constant hash keys.
    pub type HashSet<T> = std::collections::HashSet<T, BuildHasherDefault<DefaultHasher>>;
}
