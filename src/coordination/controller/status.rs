//! The metrics of `/status` for operators. The field names are part of the interface.

use ciborium::value::Value;
use tokio::time::Instant;

use crate::coordination::controller::Controller;
use crate::coordination::election::Role;
use crate::numeric::{count_u32, whole_ms};
use crate::protocol::cbor::MapBuilder;
use crate::storage::kv::{CLASSES, ClassStatistics, RequestClass};

impl Controller {
    /// Collects the controller's metrics.
    pub(super) fn status(&self) -> Value {
        let metrics = MapBuilder::new()
            .set("name", self.config.settings.name.as_str())
            .set("build", env!("CARGO_PKG_VERSION"))
            .set("role", self.role_description())
            .set("epochsReused", self.epoch_guard.violations())
            .set("answers", self.user_replies.answer_metrics())
            .set("refusals", self.user_replies.refusal_metrics())
            .set("turns", self.turns.metrics());
        let metrics = match &self.leader {
            Some(leader) => leader.metrics(metrics),
            None => metrics,
        };
        self.latencies.metrics(metrics.set("stateService", self.store_limits())).build()
    }

    fn role_description(&self) -> String {
        match self.routing.role() {
            Role::Leaderless => match self.routing.leading_peer(Instant::now()) {
                Some(leader) => format!("leaderless, {} says that it leads", leader.name),
                None => "leaderless".to_owned(),
            },
            Role::Follower { leader, .. } => format!("follows {leader}"),
            Role::Leader { .. } => "leads".to_owned(),
        }
    }

    fn store_limits(&self) -> Value {
        let limits = self.kv.limits();
        let announced = self.config.settings.cluster.kv.announced();
        MapBuilder::new()
            .set("changesPerSecond", limits.write_rps)
            .set("valueKib", limits.value_kb)
            .set("laterChangesPerSecond", announced.write_rps)
            .set("laterValueKib", announced.value_kb)
            .set("laterLimitsHold", limits == announced)
            .set("requests", self.request_metrics())
            .build()
    }

    /// How requests to the store have waited in this process, by class.
    fn request_metrics(&self) -> Value {
        let statistics = self.kv.statistics();
        let add_class = |metrics: MapBuilder, class: RequestClass| {
            let ClassStatistics { queued, oldest, sent, sent_for_nobody, dropped, longest_wait } =
                statistics.of(class);
            let of_class = MapBuilder::new()
                .set("queued", count_u32(queued))
                .set("oldestMs", whole_ms(oldest))
                .set("sent", sent)
                .set("sentForNobody", sent_for_nobody)
                .set("dropped", dropped)
                .set("longestWaitMs", whole_ms(longest_wait));
            metrics.set(class.name(), of_class.build())
        };
        CLASSES.into_iter().fold(MapBuilder::new(), add_class).build()
    }
}
