//! Fleet management: machines, node pools, the cloud client, demand measurement and autoscaling.

pub mod autoscaler;
pub mod autoscaling;
pub mod catalog;
pub mod cloud;
pub mod cloud_health;
pub mod cloud_results;
pub mod demand;
pub mod demand_measurement;
pub mod image_cache;
pub mod instance_offers;
pub mod inventory;
pub mod inventory_scan;
pub mod machine;
pub mod machine_table;
pub mod node_pool;
pub mod offer_selection;
pub mod provisioning;
pub mod registry;
pub mod scale_in;
pub mod scale_out;
pub mod spot_losses;
pub mod unregistered;
pub mod unschedulable;
mod zone_limits;
