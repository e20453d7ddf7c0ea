//! A router for language-model traffic with long shared prompts: the network side, and what
//! entry VMs and operators say to each other.

pub mod change;
pub mod declaration_file;
