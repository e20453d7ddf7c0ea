//! The systems of the core. Each implements one part of the decisions on the state in
//! [`Core`](crate::core::Core).

pub mod configuration;
pub mod credits;
pub mod eligible;
pub mod hedge;
pub mod home;
pub mod idempotency;
pub mod learning;
pub mod lease;
pub mod limits;
pub mod liveness;
pub mod orders;
pub mod placement;
pub mod request;
pub mod stream;
