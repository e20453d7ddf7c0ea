//! Tests of the gateway's routing decisions, which run without a network.

mod admission;
mod budget;
mod cached;
mod fixture;
mod load;
mod memory;
mod pace;
mod pause;
mod quarantine;
mod rollout;
mod routing;
mod stream_origin;
