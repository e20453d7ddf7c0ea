//! The decisions of a gateway, without a network.

mod budget;
mod cached;
mod fixture;
mod load;
mod pace;
mod rollout;
mod routing;
