//! Which images a machine has cached, as far as can be told from what has run on it.

use std::collections::VecDeque;

use crate::protocol::cloud::MachineType;
use crate::protocol::jobs::JobSpec;

#[derive(Debug)]
struct CachedImage {
    name: String,
    size_gb: f64,
}

/// The images believed to be cached on a machine, the most recently used first.
#[derive(Debug, Default)]
pub struct ImageCache {
    images: VecDeque<CachedImage>,
}

impl ImageCache {
    /// Whether the image is believed to be cached.
    pub fn contains(&self, image: &str) -> bool {
        self.images.iter().any(|cached| cached.name == image)
    }

    /// A task of the job runs here, so its image is cached; the least recently used images
    /// give way to it where the type's cache is full.
    pub fn record_use(&mut self, spec: &JobSpec, machine_type: Option<&MachineType>) {
        let capacity_gb = machine_type.map_or(0.0, |machine_type| machine_type.cache_gb);
        if self.images.front().is_some_and(|cached| cached.name == spec.image) {
            return;
        }
        self.images.retain(|cached| cached.name != spec.image);
        self.images.push_front(CachedImage { name: spec.image.clone(), size_gb: spec.image_gb });
        let mut total_gb: f64 = self.images.iter().map(|cached| cached.size_gb).sum();
        while total_gb > capacity_gb && self.images.len() > 1 {
            total_gb -= self.images.pop_back().map_or(0.0, |cached| cached.size_gb);
        }
    }
}
