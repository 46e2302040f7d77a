use super::*;

fn id(text: &str) -> JobId {
    JobId::parse(text).expect("valid id")
}

#[test]
fn dependents_come_before_their_dependencies_and_no_job_is_left_out() {
    let dependencies: HashMap<JobId, Vec<JobId>> = [
        ("job-a", vec!["job-absent"]),
        ("job-b", vec!["job-a", "job-a"]),
        ("job-c", vec!["job-a"]),
        ("job-d", vec!["job-c", "job-b"]),
        ("job-x", vec!["job-y"]),
        ("job-y", vec!["job-x"]),
    ]
    .into_iter()
    .map(|(job, named)| (id(job), named.into_iter().map(id).collect()))
    .collect();
    let mut jobs: Vec<JobId> = dependencies.keys().cloned().collect();
    jobs.sort();
    let order = dependents_first(&jobs, |job| &dependencies[job]);
    let place = |job: &str| order.iter().position(|other| *other == id(job)).expect("in the order");
    assert!(place("job-d") < place("job-b") && place("job-d") < place("job-c"));
    assert!(place("job-b") < place("job-a") && place("job-c") < place("job-a"));
    let mut all = order.clone();
    all.sort();
    assert_eq!(all, jobs, "also those that depend on each other in a circle");
}
