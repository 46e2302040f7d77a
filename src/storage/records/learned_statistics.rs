//! The record of what leaders have learned about demand and run times.

use ciborium::value::Value;

use crate::protocol::cbor::{Fields, Malformed, MapBuilder, text_array};

/// Demand of jobs that may use the same machines. Amounts of work are in CPUs, or in GPUs
/// for jobs that need GPUs.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct DemandStatistics {
    /// Names of the machine types that these jobs may use.
    pub types: Vec<String>,
    /// The zone that these jobs must run in, if any.
    pub zone: Option<String>,
    /// Whether these jobs may run on spot machines.
    pub spot: bool,
    /// Whether these jobs need GPUs.
    pub gpus: bool,
    /// Whether these jobs may wait until new machines have booted.
    pub delay_tolerant: bool,
    /// Mean amount of work that would run at once if every task started when submitted.
    pub mean: f64,
    /// Mean size of a job: the amount of work if all its tasks ran at once, up to the limit of
    /// its team.
    pub mean_size: f64,
    /// Mean of the square of a job's size.
    pub mean_square_size: f64,
    /// Number of jobs whose sizes the means include.
    pub job_count: f64,
    /// Time over which the demand has been measured, in seconds.
    pub age_s: f64,
}

impl DemandStatistics {
    fn encode(&self) -> Value {
        MapBuilder::new()
            .set("types", text_array(self.types.iter().map(String::as_str)))
            .set_some("zone", self.zone.as_deref())
            .set("spot", self.spot)
            .set("gpus", self.gpus)
            .set("patient", self.delay_tolerant)
            .set("mean", self.mean)
            .set("size", self.mean_size)
            .set("square", self.mean_square_size)
            .set("jobs", self.job_count)
            .set("age", self.age_s)
            .build()
    }

    fn decode(value: &Value) -> Result<Self, Malformed> {
        let fields = Fields::of(value)?;
        Ok(DemandStatistics {
            types: fields.opt_texts("types")?.unwrap_or_default(),
            zone: fields.opt_text("zone")?.map(str::to_owned),
            spot: fields.bool("spot")?,
            gpus: fields.bool("gpus")?,
            delay_tolerant: fields.bool("patient")?,
            mean: fields.amount("mean")?,
            mean_size: fields.amount("size")?,
            mean_square_size: fields.amount("square")?,
            job_count: fields.amount("jobs")?,
            age_s: fields.amount("age")?,
        })
    }
}

/// Statistics that a leader has measured and passes on to the next one. A new leader that
/// cannot read them starts again without any.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct LearnedStatistics {
    /// Demand by group of jobs.
    pub groups: Vec<DemandStatistics>,
    /// Run time as a multiple of the owners' estimates, by job class.
    pub runtime_ratios: Vec<(String, f64)>,
}

impl LearnedStatistics {
    /// Encodes the record.
    pub fn encode(&self) -> Value {
        let groups = self.groups.iter().map(DemandStatistics::encode);
        let ratios = self.runtime_ratios.iter().map(|(class, ratio)| {
            MapBuilder::new().set("class", class.as_str()).set("ratio", *ratio).build()
        });
        MapBuilder::new()
            .set("groups", Value::Array(groups.collect()))
            .set("ratios", Value::Array(ratios.collect()))
            .build()
    }

    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// [`Malformed`] if a field is missing or has another type.
    pub fn decode(value: &Value) -> Result<Self, Malformed> {
        let fields = Fields::of(value)?;
        let groups = fields.list("groups")?.iter().map(DemandStatistics::decode);
        let ratios = fields.list("ratios")?.iter().map(decode_runtime_ratio);
        Ok(LearnedStatistics {
            groups: groups.collect::<Result<_, _>>()?,
            runtime_ratios: ratios.collect::<Result<_, _>>()?,
        })
    }
}

/// Decodes a job class and its run time as a multiple of the owners' estimates.
fn decode_runtime_ratio(value: &Value) -> Result<(String, f64), Malformed> {
    let fields = Fields::of(value)?;
    Ok((fields.text("class")?.to_owned(), fields.amount("ratio")?))
}
