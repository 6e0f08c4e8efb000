//! State that lives as long as the process: peers, ownership, leases, limits, steps and the spool.

mod admission;
mod broadcast;
mod call_rank;
mod change_feed;
mod cold_start;
mod direct_access;
mod draining;
mod drive_evidence;
mod duty_gate;

mod engine_memory;
mod engine_priority;
mod entry_settings;
mod evacuations;
mod event_pace;
mod expected_latency;
mod fleet_controller;
mod follower_choice;
mod hedging;
mod job_end_freshness;
mod job_owner;
mod latency_estimate;
mod lease;
mod limiter;
mod load_balancer;
mod load_message;
mod membership;
mod name_ids;
mod node_rows;
mod outlier;
mod ownership;

mod regional_choice;
mod regional_peers;
mod registry;
mod relay_selector;
mod remote_zones;
mod resource_limits;
mod run_move;
mod run_timeouts;
mod send_check;
mod server_health;
mod server_observations;
mod server_pace;
mod server_set;
mod server_state;
mod server_status;
mod server_subset;
mod set_counts;
mod settings;
mod shares;
mod spool;
mod stable_wall_clock;
mod step;
mod step_store;
mod store_pacing;
mod suspects;
mod suspension;
mod usage;
mod wait_estimate;
mod zone_status;

pub use admission::{
    AdmissionDecision, AdmissionQueue, AdmissionSettings, AttemptReason, CallKind, CallRefusal, QueuedCallId,
    RefusalReason, RetrySchedule, SecondAttemptBudget, ServiceLoad, WaitOutcome, WaitingCall,
};
pub use broadcast::BroadcastQueue;
pub use call_rank::{CallRank, call_priority};
pub use change_feed::{ChangeFeed, FeedPosition};
pub use cold_start::{
    AssignedModels, ColdBudget, ColdChange, ColdLimiter, ColdSettings, ColdStartConfig, ColdStatus, EngineWarmth,
    JobDrivers, SendPermit, ServiceUse,
};
pub use direct_access::{AccessChange, DirectAccess};
pub use draining::DrainingServers;
pub use drive_evidence::{DriveDecision, DriveGuard, DriveSettings, StoreContact};
pub use duty_gate::{DutyGate, DutySettings};

pub use engine_memory::{EngineMemory, SharedPrompt, TokenNeed};
pub use engine_priority::{CallHistory, ServicePriorities, engine_priority, shows_preemption};
pub use entry_settings::{ENTRY_FIELDS, EntrySettings, parse_entry_settings};
pub use evacuations::{EvacuatedZones, EvacuationChange, EvacuationList, EvacuationRefusals, engines_to_load};
pub use event_pace::{EventPace, PaceSample};
pub use fleet_controller::{FleetController, FleetRow, FleetSettings, ScalingConfig, ZoneEngines, ZoneOrder};
pub use follower_choice::{FollowerCandidate, choose_followers, follower_count, follower_order};
pub use job_end_freshness::{JobEndFreshness, JobEndFreshnessSettings};
pub use job_owner::{OwnerCandidate, TakeoverObstacle, TakeoverRule, choose_job_owner, successor_rank};
pub use latency_estimate::LatencyEstimates;
pub use lease::{LeaseAction, LeaseGrant, LeaseKeeper, LeaseRow, LeaseSettings};
pub use limiter::{RetryBudget, UserLimiter};
pub use load_balancer::{BalancerSettings, LoadBalancer, ServerNeed, SlotNeed};
pub use load_message::{CustomerUsage, LoadMessage, ServerObservation, ServiceShares};
pub use membership::{
    Heartbeat, Liveness, MembershipAction, MembershipEvent, MembershipSettings, PeerInfo, PeerMembership, PeerUpdate,
};
pub use node_rows::{NODE_PARTITIONS, NodeRow, NodeRows, is_node_partition, node_partition};
pub use outlier::{OutlierDetector, OutlierSettings};
pub use ownership::{EligibleNode, EngineOwners, ModelOwner, OwnershipView};
pub use regional_choice::RegionalCosts;
pub use regional_peers::RegionalPeers;
pub use registry::{RegistrySettings, ServerEntry, ServerRegistry};
pub use relay_selector::{RelaySelector, may_relay};
pub use resource_limits::{
    CONNECTION_BYTES, ConnectionCounter, ConnectionKind, ConnectionLimits, ConnectionPermit, DownloadProgress,
    DownloadStatus, IdleClient, MemoryLimits, MemoryPool, MemoryPurpose, MemoryReservation, MemoryUsage, REQUEST_BYTES,
    ReserveError, SMALL_BYTES, STREAM_BYTES, UploadProgress, UploadStatus, download_to_close, is_near_limit,
    longest_idle, run_limit, upload_to_refuse,
};
pub use run_move::{FINAL_MOVE_SLOWNESS, MOVE_SLOWNESS, RunMove};
pub use run_timeouts::RunTimeouts;
pub use send_check::check_send;
pub use server_health::{ServerHealth, ServerStats};
pub use server_observations::server_gossip_settings;
pub use server_set::{ServerSet, ServerSetRef};
pub use server_state::{ServerSnapshot, ServerState};
pub use server_status::{PeerObservation, ServerStatus};
pub use server_subset::ServerCounts;
pub use set_counts::SetCounts;
pub use settings::{DaemonSettings, SETTINGS_FIELDS, parse_settings};
pub use shares::{
    AggregatorSelector, CallThrottle, CountedCall, ShareAggregator, ShareDecision, ShareDemand, ShareLimiter,
    ShareSettings, ShareStatus, fair_shares,
};
pub use spool::{SampleSpool, SpoolSettings};
pub use stable_wall_clock::StableWallClock;
pub use step::{
    GroupRow, GroupSpec, SealDecision, SealedGroup, StepRow, StepState, StepSubmission, decide_seal, group_key,
    group_prefix, open_step_key, step_key,
};
pub use step_store::{GeneratedGroup, ManifestCache, OpenOutcome, RecordOutcome, SealOutcome, StepStore};
pub use store_pacing::{failure_backoff, rate_limit_backoff, watch_interval};
pub use suspects::{
    CrashReport, DISCOVERY_LAG, GossipSettings, OwedSettings, RecoveryRule, RecoverySettings, RunEvidence, RunProgress,
    SuspectRun, SuspectSettings, SuspectState, SuspectStatus, SuspectTracker, TrialGrants, server_start,
};
pub use suspension::SuspensionDetector;
pub use usage::{
    CustomerCounts, UsageCollector, UsageCounter, UsageReport, UsageSender, UsageSettings, UsageSnapshot,
    WindowSnapshots,
};
pub use wait_estimate::WaitEstimate;
pub use zone_status::{ModelEngines, ServerCapacity, ZoneFacts, ZoneState, ZoneStatus};
