//! What lives as long as the process: peers, ownership, leases, limits, steps and the spool.

mod broadcast;
mod call_rank;
mod direct_access;
mod duty_gate;
mod end_news;
mod engine_memory;
mod entry_settings;
mod event_pace;
mod expected_latency;
mod feed_log;
mod fleet_controller;
mod held;
mod job_owner;
mod latency_estimate;
mod lease;
mod leaving;
mod levels;
mod limiter;
mod load_balancer;
mod membership;
mod news;
mod node_rows;
mod outlier;
mod ownership;
mod pacing;
mod registry;
mod relay_choice;
mod room;
mod run_limits;
mod run_move;
mod second_attempt;
mod server_health;
mod server_observations;
mod server_pace;
mod server_state;
mod server_status;
mod server_subset;
mod settings;
mod shares;
mod spool;
mod steady_wall;
mod step;
mod step_store;
mod suspects;
mod suspension;
mod urgency;
mod usage;
mod wait_estimate;

pub use broadcast::BroadcastQueue;
pub use call_rank::{CallRank, call_priority};
pub use direct_access::{AccessChange, DirectAccess};
pub use duty_gate::{DutyGate, DutySettings};
pub use end_news::{EndNews, EndNewsSettings};
pub use engine_memory::{EngineMemory, SharedPrompt, TokenNeed};
pub use entry_settings::{ENTRY_FIELDS, EntrySettings, parse_entry_settings};
pub use event_pace::{EventPace, PaceSample};
pub use feed_log::{FeedLog, FeedPlace};
pub use fleet_controller::{FleetController, FleetRow, FleetSettings, ScalingConfig, ZoneEngines, ZoneOrder};
pub use held::{
    ByteLedger, CONNECTION_BYTES, DescriptorBoard, DescriptorBounds, DescriptorKind, DescriptorSeat, HeldBounds,
    HeldBytes, HeldPurpose, IdleClient, LedgerView, REQUEST_BYTES, ReadPace, ReaderView, SMALL_BYTES, STREAM_BYTES,
    SendPace, SenderView, TakeRefusal, is_pressed, longest_idle, reader_to_cut, run_limit, sender_to_refuse,
};
pub use job_owner::{OwnerCandidate, choose_job_owner, successor_rank};
pub use latency_estimate::LatencyEstimates;
pub use lease::{LeaseGrant, LeaseKeeper, LeaseRow, LeaseSettings, LeaseStep};
pub use leaving::LeavingBoard;
pub use levels::{LevelNode, ask_order, choose_followers, follower_count};
pub use limiter::{RetryBudget, UserLimiter};
pub use load_balancer::{BalancerSettings, LoadBalancer, ServerNeed, SlotNeed};
pub use membership::{
    Heartbeat, Liveness, MembershipAction, MembershipEvent, MembershipSettings, PeerInfo, PeerMembership, PeerUpdate,
};
pub use news::{CustomerUse, NodeNews, ServerNote, ServiceShares};
pub use node_rows::{NODE_PARTITIONS, NodeRow, NodeRows, is_node_partition, node_partition};
pub use outlier::{OutlierDetector, OutlierSettings};
pub use ownership::{ModelOwner, NodeView, OwnerTable, OwnershipView};
pub use pacing::{failure_pause, rate_pause, watch_pause};
pub use registry::{RegistrySettings, ServerEntry, ServerRegistry};
pub use relay_choice::RelayChoice;
pub use room::{
    AdmissionQueue, AttemptReason, CallAdmission, CallFate, CallKind, CallNumber, CallRefusal, RefusalReason,
    ReturnTimes, RoomSettings, SecondAttempts, ServiceView, WaitingCall,
};
pub use run_limits::RunLimits;
pub use run_move::{LAST_MOVE_SLOWNESS, MOVE_SLOWNESS, RunMove};
pub use server_health::{ServerHealth, ServerStats};
pub use server_observations::server_gossip_settings;
pub use server_state::{ServerSnapshot, ServerState};
pub use server_status::{PeerObservation, ServerStatus};
pub use server_subset::ServerCounts;
pub use settings::{DaemonSettings, SETTINGS_FIELDS, parse_settings};
pub use shares::{
    AdderChoice, PartGate, ShareAdder, ShareBook, ShareCall, ShareDemand, ShareLine, ShareSettings, ShareVerdict,
    fair_shares,
};
pub use spool::{SampleSpool, SpoolSettings};
pub use steady_wall::SteadyWall;
pub use step::{
    GroupRow, GroupSpec, SealDecision, SealedGroup, StepRow, StepState, StepSubmission, decide_seal, group_key,
    group_prefix, open_key, step_key,
};
pub use step_store::{MadeGroup, ManifestCache, Opened, Recorded, StepLook, StepStore};
pub use suspects::{
    GossipSettings, NEWS_LAG, StrikeNote, SuspectBook, SuspectLine, SuspectRun, SuspectSettings, SuspectStanding,
    TrialBook, server_start,
};
pub use suspension::SuspensionGauge;
pub use urgency::{CallHistory, ServiceRanks, engine_rank, shows_preemption};
pub use usage::{
    CustomerCounts, UsageCounter, UsageDesk, UsageNote, UsageReport, UsageSender, UsageSettings, WindowNotes,
};
pub use wait_estimate::WaitEstimate;
