//! Topological order of jobs by their dependencies.

use crate::maps::HashMap;
use crate::protocol::jobs::JobId;

/// Orders jobs so that each comes before those of them that it depends on. Follows each dependency
/// once. Jobs in a circle of dependencies, which only contradictory records contain, come last, with
/// those that they depend on.
pub(crate) fn dependents_first<'a>(
    jobs: &'a [JobId],
    dependencies_of: impl Fn(&JobId) -> &'a [JobId],
) -> Vec<JobId> {
    // How many jobs that are not in the order yet depend on each job.
    let mut dependents: HashMap<&JobId, usize> = jobs.iter().map(|job| (job, 0)).collect();
    for dependency in jobs.iter().flat_map(&dependencies_of) {
        if let Some(count) = dependents.get_mut(dependency) {
            *count += 1;
        }
    }
    let mut order: Vec<&JobId> = jobs.iter().filter(|job| dependents.get(job) == Some(&0)).collect();
    let mut next = 0;
    while let Some(&job) = order.get(next) {
        next += 1;
        dependents.remove(job);
        for dependency in dependencies_of(job) {
            let Some(count) = dependents.get_mut(dependency) else { continue };
            *count -= 1;
            if *count == 0 {
                order.push(dependency);
            }
        }
    }
    let in_circles = jobs.iter().filter(|job| dependents.contains_key(job));
    order.iter().copied().chain(in_circles).cloned().collect()
}

#[cfg(test)]
mod tests;
