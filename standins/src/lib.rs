//! Stand-ins for engines, plain services and the platform, and the load tool of cactusspur.

pub mod load;
