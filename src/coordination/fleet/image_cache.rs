//! The images that a machine has cached, as estimated from the tasks that have run on it.

use std::collections::VecDeque;

use crate::protocol::cloud::MachineType;
use crate::protocol::jobs::JobSpec;

/// One cached image.
#[derive(Debug)]
struct CachedImage {
    /// The image's name, as in a job's description.
    name: String,
    /// Its size in GB.
    size_gb: f64,
}

/// The images believed to be cached on a machine, the most recently used first.
#[derive(Debug, Default)]
pub struct ImageCache {
    /// Each image once, the most recently used first.
    images: VecDeque<CachedImage>,
}

impl ImageCache {
    /// Whether the image is believed to be cached.
    pub fn contains(&self, image: &str) -> bool {
        self.images.iter().any(|cached| cached.name == image)
    }

    /// Records that a task of the job runs here, so that its image is cached. The least recently
    /// used images are evicted if the machine type's cache is full; the new one is always kept.
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
