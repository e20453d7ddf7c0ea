//! The systems of the core: each does one job over the tables.

pub mod configuration;
pub mod credits;
pub mod eligible;
pub mod hedge;
pub mod home;
pub mod learning;
pub mod lease;
pub mod limits;
pub mod liveness;
pub mod once;
pub mod orders;
pub mod placement;
pub mod request;
pub mod stream;
