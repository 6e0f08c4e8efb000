//! Handling of HTTP requests and of calls to engines and backend servers.

pub mod api_call;
pub mod call_driver;
pub mod call_router;
pub mod capacity_queue;
pub mod completions;
pub mod content_blocking;
pub mod dispatchers;
pub mod engine_client;
pub mod group_record;
pub mod group_runner;
pub mod loads;
pub mod operators;
pub mod plain;
pub mod plain_pool;
pub mod routes;
pub mod scoring_client;
pub mod shards;
pub mod steps;
