//! What lives as long as a request: admission, engine choice, claims, samples and groups.

mod choice;
mod claim;
mod claim_store;
mod dispatcher;
mod fingerprint;
mod group;
mod job;
mod ledger;
mod resume;
mod sample;

pub use choice::{ChoicePolicy, EngineChooser, EngineView};
pub use claim::{ClaimDecision, ClaimRow, ClaimState, claim_key, decide_claim};
pub use claim_store::ClaimStore;
pub use dispatcher::{DispatchAction, DispatchEngine, DispatchEvent, DispatchSettings, EngineDispatcher, QueuedCall};
pub use fingerprint::{BadFingerprint, RequestContent, RequestFingerprint};
pub use group::{GroupAction, GroupDriver, GroupEvent, GroupSettings};
pub use job::{
    ItemEvent, ItemTranscript, JobHead, JobItem, JobResult, JobSpec, KeptItem, ScoreCall, TextDelta, TranscriptError,
};
pub use ledger::{ItemPhase, JobLedger, JobProgress, LedgerSettings, RunEnd, RunLane};
pub use resume::{ResumeDecision, ResumePolicy, decide_resume};
pub use sample::{Sample, SampleAssembler, SampleError, VersionRange};
