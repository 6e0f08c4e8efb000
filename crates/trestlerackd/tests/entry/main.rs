//! Tests of the entry daemon as a process, against stand-ins of the users' platform.

mod cold;
mod crash_storms;
mod crashes;
mod customers;
mod duties;
mod endless;
mod engines;
mod evacuation;
mod followers;
mod held;
mod job_owners;
mod job_readers;
mod job_routes;
mod jobs;
mod lease;
mod owed_items;
mod placement;
mod regions;
mod requests;
mod room;
mod server_health;
mod shares;
mod soak;
mod store_rate;
mod support;
mod tracing;
