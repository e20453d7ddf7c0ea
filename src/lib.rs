//! A router for language-model traffic with long shared prompts.
//!
//! The decisions are made in [`cactusspur_core`]. This crate connects them to the outside: callers,
//! workers, the platform, other entry VMs and operators.

pub mod callers;
pub mod change;
pub mod configuration_log;
pub mod control;
pub mod daemon;
pub mod declaration_file;
pub mod driver;
pub mod gateway;
pub mod membership;
pub mod openai;
pub mod operator;
pub mod operators_server;
pub mod outbound;
pub mod peer;
pub mod platform;
pub mod poller;
pub mod settings;
pub mod spread;
pub mod telemetry;
pub mod timeline;
pub mod timer;
pub mod worker_link;
mod worker_wire;

pub use {
    crate::{
        daemon::{Addresses, Daemon, DaemonError},
        driver::{CallerEvent, Driver},
        platform::{Platform, PlatformError, ValueRow, WriteOutcome},
        settings::{LogFormat, Settings, SettingsError},
        telemetry::{init_bounded_log, init_log, init_metrics},
        timer::Timer,
    },
    cactusspur_core as core,
};
