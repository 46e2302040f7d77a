//! The words used on the wire, each defined once as a constant that is named by the standard
//! term.
//!
//! The messages of users, workers, the cloud and the key-value store use their own names
//! ("sheet" for a task, "bench" for a machine). These names are part of the protocol and of
//! stored records and must never change. The encoders and decoders of the other modules of
//! `protocol` use the constants below for both directions, and contain none of the words as
//! literals. Other layers contain only those words that are ordinary terms too ("name"), and a
//! few exceptions. `tests` checks this, and lists all words and the exceptions.

/// Keys of CBOR maps.
pub(super) mod field {
    /// Network address of a machine's worker, as host and port.
    pub(crate) const ADDRESS: &str = "address";
    /// Seconds since the machine was provisioned.
    pub(crate) const AGE_S: &str = "heldS";
    /// Attempt number of a task; each start of the same task has a higher number.
    pub(crate) const ATTEMPT: &str = "try";
    /// Seconds that a machine of some type takes to boot.
    pub(crate) const BOOT_S: &str = "startupS";
    /// Size in GB of a machine's image cache.
    pub(crate) const CACHE_GB: &str = "localGb";
    /// The puts and deletes of a compare-and-swap.
    pub(crate) const CHANGES: &str = "apply";
    /// Seconds between two checkpoints of a task.
    pub(crate) const CHECKPOINT_INTERVAL_S: &str = "bookmarkS";
    /// Whether a task that was stopped had saved a checkpoint.
    pub(crate) const CHECKPOINT_SAVED: &str = "saved";
    /// Seconds that a task needs to save a checkpoint.
    pub(crate) const CHECKPOINT_SAVE_S: &str = "stashS";
    /// The commands for a worker.
    pub(crate) const COMMANDS: &str = "orders";
    /// What a command does: one of the `COMMAND_*` words in [`super::value`].
    pub(crate) const COMMAND_VERB: &str = "verb";
    /// The version checks of a compare-and-swap.
    pub(crate) const COMPARES: &str = "if";
    /// CPUs of a machine, or of one task.
    pub(crate) const CPUS: &str = "cores";
    /// Seconds from submission to a job's deadline.
    pub(crate) const DEADLINE_S: &str = "dueS";
    /// The key that a change deletes.
    pub(crate) const DELETE: &str = "remove";
    /// Jobs that must be done before a job may start.
    pub(crate) const DEPENDENCIES: &str = "awaits";
    /// Number of tasks of a job that are done.
    pub(crate) const DONE_TASKS: &str = "done";
    /// Entries on one page of a scan of the key-value store.
    pub(crate) const ENTRIES: &str = "entries";
    /// Why a request was rejected.
    pub(crate) const ERROR: &str = "error";
    /// Seconds that one task is expected to run.
    pub(crate) const ESTIMATED_RUN_S: &str = "reckonS";
    /// Why a task exited: one of the `EXIT_*` words in [`super::value`].
    pub(crate) const EXIT_CAUSE: &str = "cause";
    /// Keys whose version check failed.
    pub(crate) const FAILED_COMPARES: &str = "failed";
    /// Fencing token: the epoch of the leader that sends commands to a worker.
    pub(crate) const FENCING_TOKEN: &str = "baton";
    /// GB per second at which a machine fetches images.
    pub(crate) const FETCH_GB_PER_S: &str = "fetchGbPerS";
    /// GPUs of a machine, or of one task.
    pub(crate) const GPUS: &str = "accelerators";
    /// Seconds that a task has to save its checkpoint when it is stopped.
    pub(crate) const GRACE_S: &str = "leewayS";
    /// Identifier of a job, or of a machine in the cloud's inventory.
    pub(crate) const ID: &str = "nameId";
    /// Name of the image that a job's tasks run.
    pub(crate) const IMAGE: &str = "bundle";
    /// Size in GB of the image that a job's tasks run.
    pub(crate) const IMAGE_GB: &str = "pullGb";
    /// Incarnation of a worker: starts at 1, and increases each time the worker's lease expires.
    pub(crate) const INCARNATION: &str = "shift";
    /// Class of a job: a name that its owner gives to similar jobs.
    pub(crate) const JOB_CLASS: &str = "docket";
    /// Kind of a job: one of the `KIND_*` words in [`super::value`].
    pub(crate) const JOB_KIND: &str = "form";
    /// A key of the key-value store.
    pub(crate) const KEY: &str = "key";
    /// Name of the controller that leads.
    pub(crate) const LEADER: &str = "foreman";
    /// Identifier of a lease in the key-value store.
    pub(crate) const LEASE: &str = "permit";
    /// Milliseconds after which a lease expires unless it is renewed.
    pub(crate) const LEASE_TTL_MS: &str = "lifeMs";
    /// Identifier of the machine that sends a heartbeat.
    pub(crate) const MACHINE: &str = "bench";
    /// Machines: identifiers in requests, full entries in the cloud's inventory.
    pub(crate) const MACHINES: &str = "benches";
    /// Number of machines in a node pool request.
    pub(crate) const MACHINE_COUNT: &str = "howMany";
    /// Name of a machine type.
    pub(crate) const MACHINE_TYPE: &str = "build";
    /// Machine types: names in a job, full entries in the cloud's catalog.
    pub(crate) const MACHINE_TYPES: &str = "builds";
    /// Memory in GB of a machine, or of one task.
    pub(crate) const MEMORY_GB: &str = "ramGb";
    /// Whether another page follows.
    pub(crate) const MORE: &str = "more";
    /// Name of an entry in the cloud's catalog.
    pub(crate) const NAME: &str = "name";
    /// Name of a node pool request.
    pub(crate) const NODE_POOL: &str = "hire";
    /// Whether all tasks of a job must run in one zone.
    pub(crate) const ONE_ZONE: &str = "together";
    /// Seconds until a spot machine is preempted.
    pub(crate) const PREEMPTION_NOTICE_S: &str = "recallS";
    /// Price of an on-demand machine.
    pub(crate) const PRICE: &str = "price";
    /// Priority of a job: one of the `PRIORITY_*` words in [`super::value`].
    pub(crate) const PRIORITY: &str = "urgency";
    /// The key that a change writes.
    pub(crate) const PUT: &str = "write";
    /// Revision of the whole key-value store.
    pub(crate) const REVISION: &str = "ledger";
    /// Number of running tasks of a job.
    pub(crate) const RUNNING_TASKS: &str = "running";
    /// Sequence number of a heartbeat within an incarnation.
    pub(crate) const SEQUENCE: &str = "tick";
    /// Whether a machine is a spot machine, a request asks for spot machines, or a job allows
    /// them.
    pub(crate) const SPOT: &str = "loaners";
    /// Price of a spot machine.
    pub(crate) const SPOT_PRICE: &str = "spotPrice";
    /// Whether the tasks of a job should be spread over machines.
    pub(crate) const SPREAD: &str = "scatter";
    /// State of a job, task or machine: a word in [`super::value`].
    pub(crate) const STATE: &str = "standing";
    /// Identifier of a task.
    pub(crate) const TASK: &str = "sheet";
    /// Tasks: their number in a job, their statuses in a heartbeat.
    pub(crate) const TASKS: &str = "sheets";
    /// The team that a job's use of machines is accounted to.
    pub(crate) const TEAM: &str = "crew";
    /// The value under a key of the key-value store.
    pub(crate) const VALUE: &str = "data";
    /// Version of a key: the revision of its last change.
    pub(crate) const VERSION: &str = "stamp";
    /// Name of a zone.
    pub(crate) const ZONE: &str = "hall";
    /// Names of the zones that offer a machine type.
    pub(crate) const ZONES: &str = "halls";
}

/// Values of fields that hold one word of a fixed set.
pub(super) mod value {
    /// A command: remove an exited attempt from the worker's list.
    pub(crate) const COMMAND_REAP: &str = "reap";
    /// A command: start a task.
    pub(crate) const COMMAND_START: &str = "start";
    /// A command: stop a task.
    pub(crate) const COMMAND_STOP: &str = "stop";
    /// Exit cause: another attempt of the same task is on the machine.
    pub(crate) const EXIT_ATTEMPT_PRESENT: &str = "in_use";
    /// Exit cause: the task is done. The field [`super::field::DONE_TASKS`] is the same word, but
    /// unrelated.
    pub(crate) const EXIT_DONE: &str = "done";
    /// Exit cause: the machine had too few free resources.
    pub(crate) const EXIT_INSUFFICIENT_RESOURCES: &str = "no_room";
    /// Exit cause: the task was stopped.
    pub(crate) const EXIT_STOPPED: &str = "halted";
    /// Exit cause: the worker could not determine what the task is.
    pub(crate) const EXIT_UNKNOWN: &str = "unknown";
    /// State of a job: cancelled by its user.
    pub(crate) const JOB_CANCELLED: &str = "cancelled";
    /// State of a job: all its tasks are done.
    pub(crate) const JOB_DONE: &str = EXIT_DONE;
    /// State of a job: none of its tasks is running.
    pub(crate) const JOB_QUEUED: &str = "queued";
    /// State of a job: some of its tasks are running.
    pub(crate) const JOB_RUNNING: &str = TASK_RUNNING;
    /// Kind of a job: independent tasks, each of which runs to its end.
    pub(crate) const KIND_ARRAY: &str = "array";
    /// Kind of a job: replicas that run until the job is cancelled.
    pub(crate) const KIND_SERVICE: &str = "daemon";
    /// State of a machine: it has stopped by itself.
    pub(crate) const MACHINE_FAILED: &str = "failed";
    /// State of a machine: it is up.
    pub(crate) const MACHINE_RUNNING: &str = TASK_RUNNING;
    /// State of a machine: it is booting.
    pub(crate) const MACHINE_STARTING: &str = "starting";
    /// The lowest priority.
    pub(crate) const PRIORITY_BEST_EFFORT: &str = "best_effort";
    /// The highest priority.
    pub(crate) const PRIORITY_CRITICAL: &str = "critical";
    /// The priority below critical.
    pub(crate) const PRIORITY_HIGH: &str = "high";
    /// The usual priority.
    pub(crate) const PRIORITY_STANDARD: &str = "standard";
    /// State of a task: it has exited; [`super::field::EXIT_CAUSE`] holds the cause.
    pub(crate) const TASK_EXITED: &str = "exited";
    /// State of a task: its image is being fetched.
    pub(crate) const TASK_FETCHING: &str = "fetching";
    /// State of a task: it waits for other tasks of its job. Decoded as running.
    pub(crate) const TASK_GATHERING: &str = "gathering";
    /// State of a task: it is running.
    pub(crate) const TASK_RUNNING: &str = "running";
    /// State of a task: it is saving a checkpoint before it stops.
    pub(crate) const TASK_SAVING: &str = "flushing";
}

#[cfg(test)]
mod tests;
