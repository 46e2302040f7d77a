//! Tests of late copies of start commands. PROTOCOL: "following `reap` the worker no longer knows the
//! attempt, so a repeated `start` starts it once more"; a worker drops responses to a report after
//! 4 s. So a copy of a reply may be executed until then, whatever has happened to the task meanwhile.

use super::*;

/// How long the tests go on, in steps of [`STEP_S`] seconds.
const STEPS: u32 = 16;
const STEP_S: f64 = 0.5;

/// What happens to the task while copies of its start may still arrive.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Ending {
    /// It is done.
    Done,
    /// It fails, and starts on the other machine.
    Moved,
    /// Its job is cancelled.
    Cancelled,
}

/// A worker that executes commands as the protocol says, and the replies that it has received.
#[derive(Clone)]
struct CopyingWorker {
    name: &'static str,
    sequence: u64,
    tasks: Vec<(StartedTask, TaskState)>,
    replies: Vec<(Instant, Vec<Command>)>,
}

impl CopyingWorker {
    fn new(name: &'static str) -> Self {
        CopyingWorker { name, sequence: 1, tasks: Vec::new(), replies: Vec::new() }
    }

    /// Sends a heartbeat and executes the reply.
    fn exchange(&mut self, harness: &mut Harness) {
        self.sequence += 1;
        let tasks = self.tasks.iter().map(|(start, state)| task_status(start, *state)).collect();
        let commands = harness.heartbeat(self.name, self.sequence, EPOCH, tasks);
        self.execute(&commands);
        self.replies.push((harness.now, commands));
    }

    /// Executes commands; returns the attempts that it starts.
    fn execute(&mut self, commands: &[Command]) -> Vec<u64> {
        let mut started = Vec::new();
        for command in commands {
            let (Command::Start { task, attempt }
            | Command::Stop { task, attempt, .. }
            | Command::Reap { task, attempt }) = command;
            let known =
                self.tasks.iter().position(|(start, _)| (&start.task, &start.attempt) == (task, attempt));
            match (command, known) {
                (Command::Start { .. }, None) => {
                    let start = StartedTask { task: task.clone(), attempt: *attempt };
                    self.tasks.push((start, TaskState::Running));
                    started.push(*attempt);
                }
                (Command::Stop { .. }, Some(at)) if !self.tasks[at].1.has_exited() => {
                    self.tasks[at].1 = TaskState::Exited(ExitCause::Stopped { saved: false });
                }
                (Command::Reap { .. }, Some(at)) if self.tasks[at].1.has_exited() => {
                    self.tasks.remove(at);
                }
                _ => {}
            }
        }
        started
    }

    /// The attempts that would start if copies of all replies arrived now, of which the worker drops
    /// those to reports that it sent too long ago.
    fn started_by_copies(&self, now: Instant) -> Vec<u64> {
        let valid = self.replies.iter().filter(|(sent, _)| now < *sent + HEARTBEAT_REPLY_TIMEOUT);
        let mut worker = self.clone();
        valid.flat_map(|(_, commands)| worker.execute(commands)).collect()
    }

    fn is_running(&self) -> bool {
        self.tasks.iter().any(|(_, state)| *state == TaskState::Running)
    }

    fn end_task(&mut self, cause: ExitCause) {
        let (_, state) = self.tasks.first_mut().expect("a task has started");
        *state = TaskState::Exited(cause);
    }
}

/// Guards against a task that runs on two machines, and against one that starts again after it was
/// done or its cancellation was confirmed, because its start arrives a second time after the worker
/// was told to forget the attempt.
#[test]
fn a_late_copy_of_a_start_starts_nothing_again() {
    for ending in [Ending::Done, Ending::Moved, Ending::Cancelled] {
        let mut harness = Harness::with_machines(&["vm-1", "vm-2"]);
        let (mut first, mut other) = (CopyingWorker::new("vm-1"), CopyingWorker::new("vm-2"));
        harness.accept(sample("job-1", "red", 1, 1.0));
        first.exchange(&mut harness);
        assert!(first.is_running(), "{ending:?}");
        harness.advance(STEP_S);
        let cancellation = match ending {
            Ending::Done => {
                first.end_task(ExitCause::Done);
                None
            }
            Ending::Moved => {
                first.end_task(ExitCause::Error);
                None
            }
            Ending::Cancelled => Some(harness.cancel("job-1")),
        };
        let mut has_moved_early = false;
        let begin = harness.now;
        for step in 0..STEPS {
            harness.commit_all();
            first.exchange(&mut harness);
            harness.commit_all();
            if ending == Ending::Moved {
                other.exchange(&mut harness);
            }
            has_moved_early |= other.is_running() && harness.now < begin + HEARTBEAT_REPLY_TIMEOUT;
            assert_eq!(first.started_by_copies(harness.now), Vec::<u64>::new(), "{ending:?}, step {step}");
            harness.advance(STEP_S);
        }
        assert_eq!(first.tasks, vec![], "{ending:?}: the worker is told to forget the attempt at last");
        assert_eq!(has_moved_early, ending == Ending::Moved);
        let told = cancellation.and_then(|reply| harness.answer(reply)).map(|answer| answered_state(&answer));
        assert_eq!(told.as_deref(), (ending == Ending::Cancelled).then_some("cancelled"));
    }
}
