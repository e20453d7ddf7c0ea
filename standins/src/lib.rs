//! Stand-ins (simulated engines, plain services and platform) for tests of cactusspur, and its load
//! tool.
//!
//! `docs/STANDINS.md` lists the command lines and the faults, `docs/PROTOCOLS.md` describes the
//! protocols.

pub mod demo;
pub mod engine;
pub mod fault;
pub mod load;
pub mod log;
pub mod plain;
pub mod platform;
pub mod server;
