//! State that is replaced as a whole: configuration generations and weight versions.

mod allowed_regions;
mod config_store;
mod configuration;
mod customers;
mod declaration;
mod engine_need;
mod follower;
mod load_time;
mod model_placement;
mod own_region;
mod placement;
mod placement_report;
mod plan;
mod rollout;
mod routing;
mod staleness;
mod weight_scheduler;
mod zone_map;

pub use allowed_regions::AllowedRegions;
pub use config_store::{ConfigStore, PlanCommit, PlanConfirmation};
pub use configuration::{ConfigContent, ConfigDelta, ConfigItem, Configuration};
pub use customers::{
    CallerCredential, CallerIdentity, Customer, CustomerDirectory, CustomerKey, KeyDigest, RefreshLimiter,
};
pub use declaration::{
    Backend, BackendKind, Campaign, DECLARATION_SECTIONS, Declaration, User, Zone, parse_declaration,
};
pub use engine_need::engines_needed;
pub use follower::{ConfigFollower, FollowAction, FollowEvent};
pub use model_placement::ModelPlacement;
pub use own_region::{OwnRegion, ZoneRelation};
pub use placement::{Placement, RequestPlacement};
pub use placement_report::{ConfigFinding, FindingReason, PlacementRule};
pub use plan::{ChangePlan, PlanError, plan_change};
pub use rollout::{
    EngineOrder, EngineRollout, RolloutEngine, RolloutEvent, RolloutPlanner, RolloutSettings, WeightTarget,
};
pub use routing::{ClientLimits, JobRoute, RequestRoute, RouteKind, RoutedService, RoutingTable, SplitShare};
pub use staleness::{SampleAge, StalenessRule, WeightVersion};
pub use weight_scheduler::{
    DueOrder, EngineAssignment, MAX_HEARTBEAT_LAG, OrderOutcome, WeightScheduler, WeightSchedulerSettings,
};
pub use zone_map::ZoneMap;
