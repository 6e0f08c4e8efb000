//! State with the lifetime of a request: dispatch, engine choice, idempotency, samples, groups and
//! batch jobs.

mod dispatcher;
mod engine_choice;
mod fingerprint;
mod group;
mod idempotency;
mod idempotency_store;
mod job;
mod job_tracker;
mod resume;
mod sample;

pub use dispatcher::{DispatchAction, DispatchEngine, DispatchEvent, DispatchSettings, EngineDispatcher, QueuedCall};
pub use engine_choice::{ChoicePolicy, EngineCandidate, EngineChooser};
pub use fingerprint::{FingerprintParseError, RequestContent, RequestFingerprint};
pub use group::{GroupAction, GroupDriver, GroupEvent, GroupSettings};
pub use idempotency::{
    IdempotencyDecision, IdempotencyRecord, IdempotencyState, decide_idempotency, idempotency_row_key,
};
pub use idempotency_store::IdempotencyStore;
pub use job::{
    FIRST_EVENT_NUMBERS, ItemCheckpoint, ItemEvent, ItemTranscript, JobItem, JobRecord, JobResult, JobSpec, ScoreCall,
    TextDelta, TranscriptError,
};
pub use job_tracker::{
    FailureCount, ItemFailures, ItemPhase, JobProgress, JobTracker, RunEnd, RunKind, TrackerSettings,
};
pub use resume::{ResumeDecision, ResumePolicy, decide_resume};
pub use sample::{Sample, SampleAssembler, SampleError, VersionRange};
