//! The load tool: plays the traffic of the Trust and of Kitahama from a seed against running
//! processes and compares ways of choosing engines.

pub mod call;
pub mod cluster;
pub mod engine_shape;
pub mod goal;
pub mod kitahama;
pub mod measure;
pub mod number;
pub mod outcome;
pub mod plot;
pub mod policy;
pub mod process;
pub mod report;
pub mod rest;
pub mod run;
pub mod scenario;
pub mod schedule;
pub mod sender;
mod sse;
pub mod text;
pub mod trust;
pub mod unbounded;
pub mod workload;
