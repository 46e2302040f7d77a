//! The fleet: machines, the cloud that provides them, how much work there is, scaling out and in.

pub mod autoscaler;
pub mod catalog;
pub mod cloud;
pub mod cloud_health;
pub mod demand;
pub mod demand_measurement;
pub mod image_cache;
pub mod instance_offers;
pub mod inventory;
pub mod inventory_scan;
pub mod machine;
pub mod machine_table;
pub mod node_pool;
pub mod provisioning;
pub mod registry;
pub mod scale_out;
pub mod spot_losses;
pub mod unregistered;
