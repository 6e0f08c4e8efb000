//! The current configuration and the change plans that replace it.

pub mod config_cell;
pub mod config_loop;
pub mod plans;
