//! The table of all wire words, and checks that each word is defined in only one place.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

use super::{field, value};

/// Every key of a map: the constant, the word on the wire and the standard term. The word is
/// deliberately repeated here: a constant that is changed by mistake would change the protocol
/// and make stored records unreadable.
const FIELDS: &[(&str, &str, &str)] = &[
    (field::ADDRESS, "address", "address"),
    (field::AGE_S, "heldS", "age in seconds"),
    (field::ATTEMPT, "try", "attempt"),
    (field::BOOT_S, "startupS", "boot time in seconds"),
    (field::CACHE_GB, "localGb", "cache in GB"),
    (field::CHANGES, "apply", "changes"),
    (field::CHECKPOINT_INTERVAL_S, "bookmarkS", "checkpoint interval in seconds"),
    (field::CHECKPOINT_SAVED, "saved", "checkpoint saved"),
    (field::CHECKPOINT_SAVE_S, "stashS", "checkpoint save in seconds"),
    (field::COMMANDS, "orders", "commands"),
    (field::COMMAND_VERB, "verb", "command verb"),
    (field::COMPARES, "if", "compares"),
    (field::CPUS, "cores", "CPUs"),
    (field::DEADLINE_S, "dueS", "deadline in seconds"),
    (field::DELETE, "remove", "delete (key)"),
    (field::DEPENDENCIES, "awaits", "dependencies"),
    (field::DONE_TASKS, "done", "number of done tasks"),
    (field::ENTRIES, "entries", "entries of a page"),
    (field::ERROR, "error", "error"),
    (field::ESTIMATED_RUN_S, "reckonS", "estimated run in seconds"),
    (field::EXIT_CAUSE, "cause", "exit cause"),
    (field::FAILED_COMPARES, "failed", "failed compares"),
    (field::FENCING_TOKEN, "baton", "fencing token"),
    (field::FETCH_GB_PER_S, "fetchGbPerS", "fetch rate in GB per second"),
    (field::GPUS, "accelerators", "GPUs"),
    (field::GRACE_S, "leewayS", "grace in seconds"),
    (field::ID, "nameId", "job or machine identifier"),
    (field::IMAGE, "bundle", "image"),
    (field::IMAGE_GB, "pullGb", "image in GB"),
    (field::INCARNATION, "shift", "incarnation"),
    (field::JOB_CLASS, "docket", "job class"),
    (field::JOB_KIND, "form", "job kind"),
    (field::KEY, "key", "key"),
    (field::LEADER, "foreman", "leader"),
    (field::LEASE, "permit", "lease"),
    (field::LEASE_TTL_MS, "lifeMs", "lease TTL in milliseconds"),
    (field::MACHINE, "bench", "machine"),
    (field::MACHINES, "benches", "machines"),
    (field::MACHINE_COUNT, "howMany", "number of machines"),
    (field::MACHINE_TYPE, "build", "machine type"),
    (field::MACHINE_TYPES, "builds", "machine types"),
    (field::MEMORY_GB, "ramGb", "memory in GB"),
    (field::MORE, "more", "more pages"),
    (field::NAME, "name", "name"),
    (field::NODE_POOL, "hire", "node pool request"),
    (field::ONE_ZONE, "together", "same zone for all tasks"),
    (field::PREEMPTION_NOTICE_S, "recallS", "preemption notice in seconds"),
    (field::PRICE, "price", "price"),
    (field::PRIORITY, "urgency", "priority"),
    (field::PUT, "write", "put (key)"),
    (field::REVISION, "ledger", "revision"),
    (field::RUNNING_TASKS, "running", "number of running tasks"),
    (field::SEQUENCE, "tick", "sequence"),
    (field::SPOT, "loaners", "spot"),
    (field::SPOT_PRICE, "spotPrice", "spot price"),
    (field::SPREAD, "scatter", "spread"),
    (field::STATE, "standing", "state"),
    (field::TASK, "sheet", "task"),
    (field::TASKS, "sheets", "tasks, or their number"),
    (field::TEAM, "crew", "team"),
    (field::VALUE, "data", "value"),
    (field::VERSION, "stamp", "version"),
    (field::ZONE, "hall", "zone"),
    (field::ZONES, "halls", "zones"),
];

/// Every word that is used as a value, in the same form.
const VALUES: &[(&str, &str, &str)] = &[
    (value::COMMAND_REAP, "reap", "command: reap"),
    (value::COMMAND_START, "start", "command: start"),
    (value::COMMAND_STOP, "stop", "command: stop"),
    (value::EXIT_ATTEMPT_PRESENT, "in_use", "exit cause: attempt present"),
    (value::EXIT_DONE, "done", "exit cause: done"),
    (value::EXIT_INSUFFICIENT_RESOURCES, "no_room", "exit cause: insufficient resources"),
    (value::EXIT_STOPPED, "halted", "exit cause: stopped"),
    (value::EXIT_UNKNOWN, "unknown", "exit cause: unknown"),
    (value::JOB_CANCELLED, "cancelled", "job state: cancelled"),
    (value::JOB_DONE, "done", "job state: done"),
    (value::JOB_QUEUED, "queued", "job state: queued"),
    (value::JOB_RUNNING, "running", "job state: running"),
    (value::KIND_ARRAY, "array", "job kind: array"),
    (value::KIND_SERVICE, "daemon", "job kind: service"),
    (value::MACHINE_FAILED, "failed", "machine state: failed"),
    (value::MACHINE_RUNNING, "running", "machine state: running"),
    (value::MACHINE_STARTING, "starting", "machine state: starting"),
    (value::PRIORITY_BEST_EFFORT, "best_effort", "priority: best effort"),
    (value::PRIORITY_CRITICAL, "critical", "priority: critical"),
    (value::PRIORITY_HIGH, "high", "priority: high"),
    (value::PRIORITY_STANDARD, "standard", "priority: standard"),
    (value::TASK_EXITED, "exited", "task state: exited"),
    (value::TASK_FETCHING, "fetching", "task state: fetching"),
    (value::TASK_GATHERING, "gathering", "task state: gathering"),
    (value::TASK_RUNNING, "running", "task state: running"),
    (value::TASK_SAVING, "flushing", "task state: saving"),
];

/// Words that only `protocol` may use. The other wire words ("name", "running") are ordinary
/// terms that other layers also use for their own purposes.
const WIRE_ONLY_WORDS: &[&str] = &[
    "accelerators",
    "awaits",
    "baton",
    "bench",
    "benches",
    "best_effort",
    "bookmarkS",
    "build",
    "builds",
    "bundle",
    "cores",
    "crew",
    "daemon",
    "docket",
    "dueS",
    "flushing",
    "foreman",
    "form",
    "gathering",
    "hall",
    "halls",
    "halted",
    "heldS",
    "hire",
    "howMany",
    "in_use",
    "ledger",
    "leewayS",
    "lifeMs",
    "loaners",
    "localGb",
    "nameId",
    "no_room",
    "orders",
    "permit",
    "pullGb",
    "ramGb",
    "reap",
    "recallS",
    "reckonS",
    "scatter",
    "sheet",
    "sheets",
    "shift",
    "stamp",
    "standing",
    "startupS",
    "stashS",
    "tick",
    "together",
    "try",
    "urgency",
    "verb",
];

/// Uses of [`WIRE_ONLY_WORDS`] in another layer with a different meaning: folder, word, reason.
const EXCEPTIONS: &[(&str, &str, &str)] = &[
    ("src/coordination/controller", "build", "a metric of `status`: the version of the program"),
    ("src/storage", "standing", "the key of stored summary rows, which belongs to the records"),
];

/// Test code outside files named `…tests.rs` and folders named `tests`: the simulated key-value
/// store, which spells the wire words independently of the constants.
const TEST_DOUBLES: &[&str] = &["src/storage/in_memory_kv.rs", "src/storage/in_memory_kv/store.rs"];

fn words() -> impl Iterator<Item = &'static (&'static str, &'static str, &'static str)> {
    FIELDS.iter().chain(VALUES)
}

fn is_test_code(path: &Path) -> bool {
    path.components().any(|part| part.as_os_str() == "tests")
        || path.file_name().is_some_and(|name| name.to_string_lossy().ends_with("tests.rs"))
        || TEST_DOUBLES.iter().any(|double| path == Path::new(double))
}

/// Collects the Rust files below a folder, with paths relative to the crate root.
fn rust_files(folder: &Path, found: &mut Vec<PathBuf>) {
    let crate_root = Path::new(env!("CARGO_MANIFEST_DIR"));
    for entry in std::fs::read_dir(crate_root.join(folder)).expect("a folder of the sources") {
        let entry = entry.expect("readable");
        let path = folder.join(entry.file_name());
        if entry.file_type().expect("a type").is_dir() {
            rust_files(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

/// The path of each source file other than test code and `wire_words`, and its text without
/// comment lines.
fn sources() -> Vec<(PathBuf, String)> {
    let mut paths = Vec::new();
    rust_files(Path::new("src"), &mut paths);
    paths.retain(|path| !is_test_code(path) && path != Path::new("src/protocol/wire_words.rs"));
    assert!(paths.len() > 30, "the sources were not found: {paths:?}");
    let read = |path: PathBuf| {
        let text = std::fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join(&path));
        let text = text.expect("readable source");
        let code = text.lines().filter(|line| !line.trim_start().starts_with("//"));
        let code = code.collect::<Vec<_>>().join("\n");
        (path, code)
    };
    paths.into_iter().map(read).collect()
}

fn contains_literal(code: &str, word: &str) -> bool {
    code.contains(&format!("\"{word}\""))
}

#[test]
fn constants_match_the_wire_words() {
    for (constant, word, term) in words() {
        assert_eq!(constant, word, "{term}");
    }
}

#[test]
fn the_table_lists_every_constant() {
    let module = include_str!("../wire_words.rs");
    let constants = module.lines().filter(|line| line.trim_start().starts_with("pub(crate) const "));
    assert_eq!(constants.count(), words().count());
    let spelled: BTreeSet<_> =
        module.split("= \"").skip(1).filter_map(|rest| rest.split('"').next()).collect();
    let listed: BTreeSet<_> = words().map(|(_, word, _)| *word).collect();
    assert_eq!(spelled, listed);
    for word in WIRE_ONLY_WORDS {
        assert!(listed.contains(word), "{word} is in neither table");
    }
}

/// No word is defined twice within the keys or within the values.
#[test]
fn the_module_defines_each_word_once() {
    let (fields, values) = include_str!("../wire_words.rs").split_once("pub(super) mod value").expect("both");
    for (text, table) in [(fields, FIELDS), (values, VALUES)] {
        for (_, word, _) in table {
            assert_eq!(text.matches(&format!("= \"{word}\";")).count(), 1, "{word}");
        }
    }
}

#[test]
fn no_other_protocol_file_contains_a_wire_word() {
    for (path, code) in sources().into_iter().filter(|(path, _)| path.starts_with("src/protocol")) {
        for (_, word, term) in words() {
            assert!(!contains_literal(&code, word), "{} contains \"{word}\" ({term})", path.display());
        }
    }
}

#[test]
fn no_other_layer_contains_a_wire_only_word() {
    let mut used: BTreeSet<&(&str, &str, &str)> = BTreeSet::new();
    for (path, code) in sources() {
        for word in WIRE_ONLY_WORDS.iter().filter(|word| contains_literal(&code, word)) {
            let exception =
                EXCEPTIONS.iter().find(|(folder, excepted, _)| excepted == word && path.starts_with(folder));
            assert!(exception.is_some(), "{} contains \"{word}\"", path.display());
            used.extend(exception);
        }
    }
    assert_eq!(used.len(), EXCEPTIONS.len(), "an exception is no longer needed");
}
