//! Connections of callers, to peers and to backend servers.

pub mod accept;
pub mod http_client;
pub mod link_server;
pub mod links;
