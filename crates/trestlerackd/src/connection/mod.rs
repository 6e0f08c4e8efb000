//! What lives as long as a connection: callers, peers and back ends.

pub mod accept;
pub mod http_client;
pub mod link_server;
pub mod links;
