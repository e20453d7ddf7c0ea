//! Stand-ins for engines, plain services and the platform, and the load tool of cactusspur.
//!
//! `docs/STANDINS.md` lists the command lines and the faults; `docs/PROTOCOLS.md` has the wire.

pub mod demo;
pub mod engine;
pub mod fault;
pub mod load;
pub mod log;
pub mod plain;
pub mod platform;
pub mod server;
