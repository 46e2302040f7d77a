use super::*;

/// A valid submission that tests can modify.
pub fn sample(id: &str, team: &str, tasks: u32, cpus: f64) -> JobSpec {
    JobSpec {
        id: JobId::parse(id).expect("valid id"),
        class: "build".into(),
        team: team.into(),
        kind: JobKind::Array,
        priority: Priority::High,
        task_count: tasks,
        cpus,
        gpus: 0.0,
        memory_gb: 1.0,
        image: "img-1".into(),
        image_gb: 0.5,
        machine_types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        estimated_run_s: 20.0,
        checkpoint_interval_s: 0.0,
        checkpoint_save_s: 0.0,
        deadline_s: None,
        dependencies: Vec::new(),
    }
}

#[test]
fn a_job_spec_round_trips_through_its_record() {
    let mut spec = sample("job-000412", "vision", 16, 8.0);
    spec.machine_types = Some(vec!["g8".into()]);
    spec.deadline_s = Some(900.0);
    spec.dependencies = ["job-2", "job-1"].map(|id| JobId::parse(id).expect("valid id")).into();
    assert_eq!(JobSpec::decode(&spec.encode().build()), Ok(spec));
}

/// No default is assumed for a required field that the user left out.
#[test]
fn a_job_that_lacks_a_field_is_malformed() {
    let Value::Map(fields) = sample("job-1", "vision", 1, 1.0).encode().build() else { panic!("a map") };
    for omitted in 0..fields.len() {
        let mut rest = fields.clone();
        let (name, _) = rest.remove(omitted);
        let name = name.as_text().expect("a name").to_owned();
        match JobSpec::decode(&Value::Map(rest)) {
            Err(Malformed::Missing(missing)) => assert_eq!(missing, name),
            other => panic!("{name}: {other:?}"),
        }
    }
    let named: Vec<_> = fields.iter().filter_map(|(name, _)| name.as_text()).collect();
    assert!(!["builds", "hall", "dueS"].iter().any(|optional| named.contains(optional)));
}

#[test]
fn an_invalid_field_is_named_in_the_error() {
    let good = sample("job-1", "vision", 1, 1.0).encode();
    let cases: [(&str, Value, &'static str); 12] = [
        ("nameId", "task-1".into(), "nameId"),
        ("nameId", format!("job-{}", "9".repeat(65)).into(), "nameId"),
        ("crew", "x".repeat(129).into(), "crew"),
        ("sheets", 0.into(), "sheets"),
        ("sheets", 2.5.into(), "sheets"),
        ("cores", f64::NAN.into(), "cores"),
        ("ramGb", (-1.0).into(), "ramGb"),
        ("form", "ensemble".into(), "form"),
        ("awaits", "job-2".into(), "awaits"),
        ("awaits", text_array(["job-2", ""]), "awaits"),
        ("awaits", Value::Array(vec![2.into()]), "awaits"),
        ("awaits", MapBuilder::new().set("job-2", true).build(), "awaits"),
    ];
    for (key, bad, field) in cases {
        let with_awaits = good.clone().set("awaits", text_array(["job-2"]));
        let Value::Map(mut entries) = with_awaits.build() else { panic!("a map") };
        entries.iter_mut().filter(|(k, _)| k.as_text() == Some(key)).for_each(|(_, v)| *v = bad.clone());
        assert_eq!(JobSpec::decode(&Value::Map(entries)), Err(Malformed::Invalid(field)), "{key}");
    }
}

/// An absent, null or empty list means no dependencies; a job that is listed twice is kept once.
#[test]
fn dependencies_are_deduplicated() {
    let spec = sample("job-1", "vision", 1, 1.0);
    let awaits = |value: Value| {
        JobSpec::decode(&spec.encode().set("awaits", value).build()).expect("valid").dependencies
    };
    assert_eq!(awaits(Value::Null), []);
    assert_eq!(awaits(text_array([])), []);
    let twice = awaits(text_array(["job-3", "job-2", "job-3"]));
    assert_eq!(twice.iter().map(JobId::as_str).collect::<Vec<_>>(), ["job-3", "job-2"]);
}

#[test]
fn task_ids_are_validated() {
    assert!(TaskId::parse("job-1/99999").is_some());
    for bad in ["job-1", "job-1/100000", "job-1/-1", "x/1", "job-/1", "job-1/1/2"] {
        assert!(TaskId::parse(bad).is_none(), "{bad}");
    }
}
