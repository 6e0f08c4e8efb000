//! State that lives as long as the process: peers, ownership, leases, limits, steps and the spool.

mod answer_time;
mod broadcast;
mod call_rank;
mod change_feed;
mod direct_way;
mod draining;
mod duty_gate;
mod end_news;
mod engine_fleet;
mod engine_memory;
mod entry_settings;
mod event_pace;
mod expectation;
mod follower_choice;
mod held;
mod job_owner;
mod lease;
mod limiter;
mod membership;
mod news;
mod node_rows;
mod outlier;
mod ownership;
mod pacing;
mod placement;
mod registry;
mod relay_selector;
mod room;
mod run_limits;
mod run_move;
mod second_attempt;
mod server_belief;
mod server_lines;
mod server_notes;
mod server_pace;
mod server_subset;
mod settings;
mod shares;
mod spool;
mod standing;
mod steady_wall;
mod step;
mod step_store;
mod suspects;
mod suspension;
mod urgency;
mod usage;
mod wait_estimate;

pub use answer_time::AnswerTimes;
pub use broadcast::BroadcastQueue;
pub use call_rank::{CallRank, call_priority};
pub use change_feed::{ChangeFeed, FeedPosition};
pub use direct_way::{DirectWay, WayChange};
pub use draining::DrainingServers;
pub use duty_gate::{DutyGate, DutySettings};
pub use end_news::{EndNews, EndNewsSettings};
pub use engine_fleet::{EngineFleet, FleetRow, FleetSettings, ScalingTerms, ZoneEngines, ZoneOrder};
pub use engine_memory::{EngineMemory, SharedPrompt, TokenNeed};
pub use entry_settings::{ENTRY_FIELDS, EntrySettings, parse_entry_settings};
pub use event_pace::{EventPace, PaceSample};
pub use follower_choice::{FollowerCandidate, choose_followers, follower_count, follower_order};
pub use held::{
    ByteLedger, CONNECTION_BYTES, DescriptorBoard, DescriptorBounds, DescriptorKind, DescriptorSeat, HeldBounds,
    HeldBytes, HeldPurpose, IdleClient, LedgerView, REQUEST_BYTES, ReadPace, ReaderView, SMALL_BYTES, STREAM_BYTES,
    SendPace, SenderView, TakeRefusal, is_pressed, longest_idle, reader_to_cut, run_limit, sender_to_refuse,
};
pub use job_owner::{OwnerCandidate, choose_job_owner, successor_rank};
pub use lease::{LeaseAction, LeaseGrant, LeaseKeeper, LeaseRow, LeaseSettings};
pub use limiter::{RetryBudget, UserLimiter};
pub use membership::{
    Heartbeat, Liveness, MembershipAction, MembershipEvent, MembershipSettings, PeerInfo, PeerMembership, PeerUpdate,
};
pub use news::{CustomerUse, NodeNews, ServerNote, ServiceShares};
pub use node_rows::{NODE_PARTITIONS, NodeRow, NodeRows, is_node_partition, node_partition};
pub use outlier::{OutlierDetector, OutlierSettings};
pub use ownership::{EligibleNode, EngineOwners, ModelOwner, OwnershipView};
pub use pacing::{failure_pause, rate_pause, watch_pause};
pub use placement::{BoardSettings, ServerBoard, ServerNeed, ServerRoom};
pub use registry::{RegistrySettings, ServerEntry, ServerRegistry};
pub use relay_selector::RelaySelector;
pub use room::{
    AdmissionQueue, AttemptReason, CallAdmission, CallFate, CallKind, CallNumber, CallRefusal, RefusalReason,
    ReturnTimes, RoomSettings, SecondAttempts, ServiceView, WaitingCall,
};
pub use run_limits::RunLimits;
pub use run_move::{LAST_MOVE_SLOWNESS, MOVE_SLOWNESS, RunMove};
pub use server_belief::{ChoiceBasis, ServerBelief};
pub use server_lines::{ServerLine, ToldLine};
pub use server_notes::server_gossip;
pub use server_subset::ServerCounts;
pub use settings::{DaemonSettings, SETTINGS_FIELDS, parse_settings};
pub use shares::{
    AdderChoice, PartGate, ShareAdder, ShareBook, ShareCall, ShareDemand, ShareLine, ShareSettings, ShareVerdict,
    fair_shares,
};
pub use spool::{SampleSpool, SpoolSettings};
pub use standing::{ServerFigures, ServerStanding};
pub use steady_wall::SteadyWall;
pub use step::{
    GroupRow, GroupSpec, SealDecision, SealedGroup, StepRow, StepState, StepSubmission, decide_seal, group_key,
    group_prefix, open_step_key, step_key,
};
pub use step_store::{GeneratedGroup, ManifestCache, OpenOutcome, RecordOutcome, SealOutcome, StepStore};
pub use suspects::{
    GossipSettings, NEWS_LAG, StrikeNote, SuspectBook, SuspectLine, SuspectRun, SuspectSettings, SuspectStanding,
    TrialBook, server_start,
};
pub use suspension::SuspensionGauge;
pub use urgency::{CallHistory, ServiceRanks, engine_rank, shows_preemption};
pub use usage::{
    CustomerCounts, UsageCollector, UsageCounter, UsageReport, UsageSender, UsageSettings, UsageSnapshot,
    WindowSnapshots,
};
pub use wait_estimate::WaitEstimate;
