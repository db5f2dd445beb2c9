//! Estimates of the fleet that VMs share: what is observed here, and what others report.

use coltsfoothook_decision::estimate::{EstimateEntry, FleetEstimates};
use coltsfoothook_decision::id::TimePoint;
use coltsfoothook_decision::speed::speed_estimates;
use coltsfoothook_decision::subject::ServerStart;
use coltsfoothook_decision::value;

use crate::settings::ChoiceSettings;
use crate::state::SystemView;

value! {
    /// Entries of estimates in a message. They follow the message itself, since earlier releases do
    /// not read them.
    #[derive(Default)]
    pub(crate) struct ReportedEstimates {
        /// Times of servers between events or to a plain answer, in microseconds.
        pub speeds: Vec<EstimateEntry<ServerStart>>,
    }
}

impl ReportedEstimates {
    pub(crate) fn is_empty(&self) -> bool {
        self.speeds.is_empty()
    }
}

/// The estimates of a VM; `None` where the settings do not ask for them.
#[derive(Debug)]
pub(crate) struct SharedEstimates {
    speeds: Option<FleetEstimates<ServerStart>>,
}

impl SharedEstimates {
    pub(crate) fn new(settings: &ChoiceSettings) -> Self {
        Self { speeds: settings.server_speed.then(speed_estimates) }
    }

    /// Returns what this VM, and as an aggregator those of its domain, observed since the last report.
    pub(crate) fn take_report(&mut self) -> ReportedEstimates {
        let speeds = self.speeds.as_mut().map(FleetEstimates::take_report).unwrap_or_default();
        ReportedEstimates { speeds }
    }

    /// Returns the fleet's estimates for the VMs that follow this one.
    pub(crate) fn take_update(&mut self, now: TimePoint) -> ReportedEstimates {
        let speeds = self.speeds.as_mut().map(|speeds| speeds.take_update(now));
        ReportedEstimates { speeds: speeds.unwrap_or_default() }
    }

    /// Adds another VM's report; an aggregator passes on those of its own domain.
    pub(crate) fn apply_report(
        &mut self,
        report: &ReportedEstimates,
        pass_on: bool,
        now: TimePoint,
    ) {
        if let Some(speeds) = &mut self.speeds {
            speeds.apply_report(now, &report.speeds, pass_on);
        }
    }

    /// Adopts the fleet's estimates from the aggregator.
    pub(crate) fn adopt(&mut self, update: &ReportedEstimates, now: TimePoint) {
        if let Some(speeds) = &mut self.speeds {
            speeds.adopt(now, &update.speeds);
        }
    }
}

impl SystemView {
    /// Records how long a server took for an event or an answer.
    pub(crate) fn record_response_time(
        &mut self,
        start: &ServerStart,
        took_us: f64,
        now: TimePoint,
    ) {
        if let Some(speeds) = &mut self.estimates.speeds {
            speeds.observe(now, start, took_us as f32);
        }
    }

    /// Applies the estimates to the choice of servers.
    pub(crate) fn apply_estimates(&mut self, now: TimePoint) {
        if let Some(speeds) = &mut self.estimates.speeds {
            self.backends.set_speeds(speeds, now);
        }
    }
}
