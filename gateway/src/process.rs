//! Start, settings reload and shutdown of a gateway process.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use coltsfoothook_exchange::{ServerDialer, TcpDialer};
use coltsfoothook_settings::load_settings;
use coltsfoothook_telemetry::event;
use snafu::{ResultExt, Snafu};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use crate::clock;
use crate::face::InterfaceListeners;
use crate::peer::PeerSocket;
use crate::settings::GatewaySettings;
use crate::state::Gateway;
use crate::{
    aggregate, confirm, crash_records, follow, group, operator_records, order, origin_records,
    origins, peer, record_exchange, suspects,
};

/// The fraction of the grace time during which a VM that shuts down still accepts requests, because callers use
/// cached addresses for some seconds more. A long stream accepted later would be cut by the end of the process,
/// while its caller could have gone to another VM.
const ACCEPT_FRACTION: f64 = 0.3;
/// The fraction of the grace time after which requests that still wait for a server are refused. Sent later, they would be
/// cut by the end of the process.
const SEND_FRACTION: f64 = 5.0 / 6.0;
/// The process ends at the latest when this much of the grace time is left, so that it is not killed while it
/// writes.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(300);
/// The interval between checks whether all requests have ended.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The interval between reads of the settings file, which may change without a SIGHUP.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(5);

/// The error of a process that did not start.
#[derive(Debug, Snafu)]
pub enum GatewayError {
    /// A socket could not be opened.
    #[snafu(display("cannot listen: {source}"))]
    Listen {
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// Signals cannot be received.
    #[snafu(display("cannot receive signals: {source}"))]
    Signals {
        /// The error of the operating system.
        source: std::io::Error,
    },
}

/// A running gateway process. Dropping it aborts its tasks and cuts open requests, as a kill does.
pub struct GatewayProcess {
    gateway: Arc<Gateway>,
    // Aborted on drop.
    _tasks: JoinSet<()>,
}

impl GatewayProcess {
    /// Opens the sockets and starts to serve.
    ///
    /// # Errors
    ///
    /// If a socket cannot be opened.
    pub async fn start(settings: GatewaySettings) -> Result<Self, GatewayError> {
        Self::start_with(settings, Arc::new(TcpDialer)).await
    }

    /// Starts as [`Self::start`] does, with connections to backend servers that `dialer` opens.
    ///
    /// # Errors
    ///
    /// If a socket cannot be opened.
    pub async fn start_with(
        settings: GatewaySettings,
        dialer: Arc<dyn ServerDialer>,
    ) -> Result<Self, GatewayError> {
        let peers = PeerSocket::bind(settings.listen.peers).await.context(ListenSnafu)?;
        let gateway = Arc::new(Gateway::with_dialer(settings, peers, dialer));
        let listeners = InterfaceListeners::open(&gateway).context(ListenSnafu)?;
        hint_seeds(&gateway);
        event!(
            ProcessStarted,
            incarnation = gateway.incarnation,
            domain = gateway.settings.domain,
            requests = gateway.settings.listen.requests,
            first_start = gateway.settings.first_start,
        );
        let mut tasks = JoinSet::new();
        listeners.serve(&gateway, &mut tasks);
        tasks.spawn(peer::listen(Arc::clone(&gateway)));
        tasks.spawn(peer::report_state(Arc::clone(&gateway)));
        tasks.spawn(order::order_waiting_loads(Arc::clone(&gateway)));
        tasks.spawn(peer::report_loads(Arc::clone(&gateway)));
        tasks.spawn(suspects::report_crashes(Arc::clone(&gateway)));
        tasks.spawn(crash_records::keep_recorded(Arc::clone(&gateway)));
        tasks.spawn(origins::report_streams(Arc::clone(&gateway)));
        tasks.spawn(origin_records::write_pending(Arc::clone(&gateway)));
        tasks.spawn(aggregate::run_aggregator(Arc::clone(&gateway)));
        tasks.spawn(peer::send_queued(Arc::clone(&gateway.peers)));
        tasks.spawn(operator_records::operators(Arc::clone(&gateway)));
        tasks.spawn(follow::servers(Arc::clone(&gateway)));
        tasks.spawn(record_exchange::fetch_missing(Arc::clone(&gateway)));
        tasks.spawn(confirm::keep_confirmed(Arc::clone(&gateway)));
        tasks.spawn(group::keep_membership(Arc::clone(&gateway)));
        tasks.spawn(group::find_others(Arc::clone(&gateway)));
        Ok(Self { gateway, _tasks: tasks })
    }

    /// Shuts down without cutting requests, as far as they end within the grace time.
    ///
    /// Callers are sent to other VMs first. Then the VM accepts no more connections, and the process ends when all
    /// open requests and the connections of their callers have, or the grace time is nearly over.
    pub async fn stop(self) {
        let gateway = &self.gateway;
        let stop_started = Instant::now();
        let grace = Duration::from_secs(gateway.settings.promises.grace_s);
        gateway.leave();
        event!(ShutdownStarted, open = gateway.open.load(Ordering::Relaxed));
        peer::report_state_now(gateway);
        // The VM stays a member of the group: a process restarted before the membership lapses keeps its
        // partitions, while leaving would move them twice.
        sleep((grace.mul_f64(ACCEPT_FRACTION)).saturating_sub(stop_started.elapsed())).await;
        gateway.closing.send_replace(true);
        let max_time = grace.saturating_sub(SHUTDOWN_MARGIN);
        let last_send = grace.mul_f64(SEND_FRACTION);
        while gateway.unfinished() != (0, 0) && stop_started.elapsed() < max_time {
            gateway.ending.send_if_modified(|ending| {
                !std::mem::replace(ending, stop_started.elapsed() >= last_send) && *ending
            });
            sleep(SHUTDOWN_POLL_INTERVAL).await;
        }
        let (open, connections) = gateway.unfinished();
        if (open, connections) != (0, 0) {
            event!(ShutdownOverdue, open = open, connections = connections);
        }
        // Gives the last writes time to leave the buffers of this process.
        sleep(SHUTDOWN_POLL_INTERVAL).await;
        event!(ProcessStopped, took_ms = stop_started.elapsed().as_millis());
    }
}

/// Serves until SIGTERM or SIGINT, then shuts down as [`GatewayProcess::stop`] does.
///
/// `file` is the settings file, which is read again on SIGHUP and when it has changed.
///
/// # Errors
///
/// If a socket cannot be opened or signals cannot be received.
pub async fn run_gateway(settings: GatewaySettings, file: &Path) -> Result<(), GatewayError> {
    let mut term = signal(SignalKind::terminate()).context(SignalsSnafu)?;
    let mut int = signal(SignalKind::interrupt()).context(SignalsSnafu)?;
    let hup = signal(SignalKind::hangup()).context(SignalsSnafu)?;
    let process = GatewayProcess::start(settings).await?;
    tokio::spawn(follow_settings(Arc::clone(&process.gateway), file.to_owned(), hup));
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    process.stop().await;
    Ok(())
}

/// Adds the seed VMs to the roster. They listen on the same port for other VMs as this one.
fn hint_seeds(gateway: &Gateway) {
    let port = gateway.settings.listen.peers.port();
    let mut view = gateway.view();
    for seed in &gateway.settings.seeds {
        view.roster.hint(std::net::SocketAddr::new(seed.ip(), port));
    }
}

/// Applies changes of the settings file that need no restart, on SIGHUP and every [`SETTINGS_POLL_INTERVAL`].
async fn follow_settings(gateway: Arc<Gateway>, file: PathBuf, mut hup: Signal) {
    let mut known = gateway.settings.clone();
    loop {
        let signalled = tokio::select! {
            _ = hup.recv() => true,
            () = sleep(SETTINGS_POLL_INTERVAL) => false,
        };
        match load_settings::<GatewaySettings>(&file) {
            Ok(settings) if settings != known => {
                apply(&gateway, &settings);
                event!(SettingsReloaded, changed = true, told = signalled);
                known = settings;
            }
            Ok(_) if signalled => event!(SettingsReloaded, changed = false, told = signalled),
            Ok(_) => {}
            Err(error) => event!(SettingsRefused, cause = error),
        }
    }
}

/// Applies bounds and seeds. Addresses and names need a restart.
fn apply(gateway: &Gateway, settings: &GatewaySettings) {
    let promises = &settings.promises;
    let port = gateway.settings.listen.peers.port();
    let mut view = gateway.view();
    view.budget.set_bounds(promises.repeats(), clock::now());
    view.second_sends.set_bounds(settings.second_send.bounds());
    view.confirmation.set_promise(promises.key_removal());
    view.limiter.set_excess(promises.limit_excess());
    for seed in &settings.seeds {
        view.roster.hint(std::net::SocketAddr::new(seed.ip(), port));
    }
}
