//! Hash maps and sets. In tests their order is the same in every run, so that a
//! seed that breaks a rule breaks it again.

#[cfg(not(test))]
pub use std::collections::{HashMap, HashSet};

#[cfg(test)]
pub use ordered::{HashMap, HashSet};

#[cfg(test)]
mod ordered {
    use std::hash::{BuildHasherDefault, DefaultHasher};

    pub type HashMap<K, V> = std::collections::HashMap<K, V, BuildHasherDefault<DefaultHasher>>;
    pub type HashSet<T> = std::collections::HashSet<T, BuildHasherDefault<DefaultHasher>>;
}
