//! The fleet: machines, the cloud that provides them, how much work there is, scaling out and in.

pub mod cloud;
pub mod demand;
pub mod inventory;
pub mod machine;
pub mod registry;
pub mod scale_out;
