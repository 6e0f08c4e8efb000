//! What lives as long as a request: admission, engine choice, claims, samples and groups.

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
pub use engine_choice::{ChoicePolicy, EngineChooser, EngineView};
pub use fingerprint::{BadFingerprint, RequestContent, RequestFingerprint};
pub use group::{GroupAction, GroupDriver, GroupEvent, GroupSettings};
pub use idempotency::{ClaimDecision, ClaimRow, ClaimState, claim_key, decide_claim};
pub use idempotency_store::ClaimStore;
pub use job::{
    ItemEvent, ItemTranscript, JobHead, JobItem, JobResult, JobSpec, KeptItem, ScoreCall, TextDelta, TranscriptError,
};
pub use job_tracker::{ItemPhase, JobLedger, JobProgress, LedgerSettings, RunEnd, RunLane};
pub use resume::{ResumeDecision, ResumePolicy, decide_resume};
pub use sample::{Sample, SampleAssembler, SampleError, VersionRange};
