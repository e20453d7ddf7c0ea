//! Tests of the gateway's routing decisions, which run without a network.

mod admission;
mod announcement;
mod budget;
mod cached;
mod explanation;
mod fixture;
mod isolation;
mod load;
mod overload;
mod pace;
mod past_versions;
mod pause;
mod quarantine;
mod queue_model;
mod reach;
mod rollout;
mod routing;
mod shutdown;
mod stream_origin;
mod stream_position;
mod usage;
