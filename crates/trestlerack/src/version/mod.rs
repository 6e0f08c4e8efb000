//! What lives as long as a version: configuration generations and weight versions.

mod config_store;
mod configuration;
mod customers;
mod declaration;
mod engine_need;
mod follower;
mod load_time;
mod plan;
mod rollout;
mod routing;
mod staleness;
mod weight_plan;

pub use config_store::{CommitTry, ConfigStore, Confirmation};
pub use configuration::{ConfigDelta, Configuration, Item, ItemBody};
pub use customers::{
    CallerCredential, CallerVerdict, Customer, CustomerDirectory, CustomerKey, KeyDigest, RefreshGate,
};
pub use declaration::{
    Backend, BackendKind, Campaign, DECLARATION_SECTIONS, Declaration, User, Zone, parse_declaration,
};
pub use engine_need::engines_needed;
pub use follower::{ConfigFollower, FollowAction, FollowEvent};
pub use plan::{ChangePlan, PlanError, plan_change};
pub use rollout::{
    EngineOrder, EngineRollout, RolloutEngine, RolloutEvent, RolloutPlanner, RolloutSettings, WeightTarget,
};
pub use routing::{ClientLimits, RequestRoute, RouteKind, RoutedService, RoutingTable, SplitShare};
pub use staleness::{SampleAge, StalenessRule, WeightVersion};
pub use weight_plan::{DueOrder, EngineAssignment, LIST_LAG, OrderOutcome, WeightPlan, WeightPlanSettings};
