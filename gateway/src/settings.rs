//! Settings of a gateway process.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use coltsfoothook_decision::budget::RepeatBounds;
use coltsfoothook_decision::freshness::RemovalPromise;
use coltsfoothook_decision::id::{DomainName, VmName};
use coltsfoothook_decision::limit::LimitExcess;
use coltsfoothook_decision::second_send::SecondSendBounds;
use coltsfoothook_settings::settings_struct;
use coltsfoothook_telemetry::{LogOutput, LogSettings};

const UNSPECIFIED: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

settings_struct! {
    /// Addresses that the process listens on.
    pub struct ListenSettings {
        /// For callers' requests.
        pub requests: SocketAddr = UNSPECIFIED;
        /// For the platform's check whether the VM is ready.
        pub ready: SocketAddr = UNSPECIFIED;
        /// For callers' queries for the addresses to use.
        pub addresses: SocketAddr = UNSPECIFIED;
        /// For other VMs of the system, over UDP and TCP; the port is the same on all VMs.
        pub peers: SocketAddr = UNSPECIFIED;
        /// For metrics.
        pub metrics: SocketAddr = UNSPECIFIED;
    }
}

settings_struct! {
    /// Capacity of the VM.
    pub struct CapacitySettings {
        /// Processor share of the VM, in cores.
        pub core_part: f64 = 1.0;
        /// Bandwidth of its network link, in megabits per second.
        pub link_mbps: f64 = 1_000.0;
    }
}

settings_struct! {
    /// Data that the VM holds for callers and servers that are slow, or that send without end.
    pub struct BufferSettings {
        /// Bodies of requests and answers, and incomplete events, in MB. One of them may have half
        /// of it, each of many an equal part. Buffers grow by doubling, so that up to twice as much
        /// memory is used.
        pub total_mb: usize = 24, in 1..=65_536;
        /// Buffer of the kernel for data from a server or to a caller that is not read, in KB for
        /// each connection; 0 leaves it to the system, which may take some MB.
        pub socket_kb: usize = 128, in 0..=65_536;
        /// Time after a request is due for which its caller may leave an answer unread, in
        /// milliseconds. Streams have only the time of their request.
        pub unread_ms: u64 = 3_000, in 100..=600_000;
    }
}

settings_struct! {
    /// The platform's store.
    pub struct StoreSettings {
        /// Address of the store.
        pub address: SocketAddr = UNSPECIFIED;
        /// Partitions per topic.
        pub parts: u32 = 12, in 1..=100_000;
        /// Shortest lifetime that the store accepts for a group's member, in milliseconds.
        pub least_lifetime_ms: u64 = 1_000, in 1..=600_000;
    }
}

settings_struct! {
    /// Limits that the operators require the system to keep. Times are in milliseconds unless the
    /// name says seconds.
    pub struct PromiseSettings {
        /// Maximum time from a stop signal to the end of the process, in seconds.
        pub grace_s: u64 = 8, in 1..=86_400;
        /// Minimum pause between orders of two VMs to one server.
        pub order_pause_ms: u64 = 3_000, in 0..=600_000;
        /// Whether servers refuse orders with an old fencing number.
        pub servers_check_fences: bool = false;
        /// Retries allowed for each request, over all VMs.
        pub repeat_ratio: f64 = 0.2;
        /// Retries allowed in addition in each window, over all VMs.
        pub repeat_slack: f64 = 10.0;
        /// Length of the window in which retries are counted, in seconds.
        pub repeat_window_s: u64 = 10, in 1..=3_600;
        /// How long callers may keep the addresses that they got, in seconds.
        pub address_lifetime_s: u64 = 5, in 1..=3_600;
        /// Time within which an accepted configuration must be in force.
        pub config_ms: u64 = 2_000, in 100..=3_600_000;
        /// Time within which a new version of an adapter must be in use.
        pub version_ms: u64 = 5_000, in 100..=3_600_000;
        /// Whether a removed key must be refused by every VM, reachable or not, once
        /// `key_removal_ms` is over. VMs that cannot tell whether their configuration is the newest
        /// then refuse keys.
        pub strict_key_removal: bool = false;
        /// Time within which a removed key must be refused.
        pub key_removal_ms: u64 = 5_000, in 500..=3_600_000;
        /// Window in which a customer's use is compared with its limit, in seconds.
        pub limit_window_s: f64 = 8.0;
        /// Fraction of what a limit allows in a window by which it may be exceeded, over all VMs.
        pub limit_excess_part: f64 = 0.1;
        /// Amount allowed in addition in each window, in the limit's unit.
        pub limit_slack: f64 = 0.0;
    }
}

impl PromiseSettings {
    pub(crate) fn key_removal(&self) -> RemovalPromise {
        let within = Duration::from_millis(self.key_removal_ms);
        RemovalPromise { within, strict: self.strict_key_removal }
    }

    /// Returns how many repeats all VMs may send.
    pub(crate) fn repeats(&self) -> RepeatBounds {
        RepeatBounds {
            ratio: self.repeat_ratio,
            slack: self.repeat_slack,
            window_us: self.repeat_window_s * 1_000_000,
        }
    }

    /// Returns by how much customers' limits may be exceeded.
    pub(crate) fn limit_excess(&self) -> LimitExcess {
        LimitExcess {
            window_s: self.limit_window_s,
            part: self.limit_excess_part,
            slack: self.limit_slack,
        }
    }
}

settings_struct! {
    /// How servers are chosen.
    pub struct ChoiceSettings {
        /// Whether VMs share how fast servers work, and divide the work ahead of a request by it. For
        /// services whose servers differ in speed.
        pub server_speed: bool = false;
        /// Whether an adapter returns to a server that still has it in its own memory, also where
        /// another one could fetch it from the weight store at once. For servers with few adapter slots.
        pub memory_first: bool = false;
    }
}

settings_struct! {
    /// Requests that are sent to a second server as the first one answers late. Off by default.
    pub struct SecondSendSettings {
        /// Maximum share of a service's requests that are sent to a second server, in percent; 0 turns second sends off.
        pub percent: f64 = 0.0, in 0.0..=5.0;
        /// Fraction of a route's requests that are answered sooner than a request that is sent to a second server.
        pub quantile: f64 = 0.95, in 0.5..=0.999;
    }
}

impl SecondSendSettings {
    pub(crate) fn bounds(&self) -> SecondSendBounds {
        SecondSendBounds { percent: self.percent, quantile: self.quantile }
    }
}

settings_struct! {
    /// Settings of a gateway process.
    pub struct GatewaySettings {
        /// The VM's name.
        pub vm: VmName = VmName::default(), required;
        /// Its failure domain.
        pub domain: DomainName = DomainName::default(), required;
        /// Where it listens.
        pub listen: ListenSettings = ListenSettings::default();
        /// Capacity of the VM. In large fleets VMs with more capacity send updates to the others.
        pub capacity: CapacitySettings = CapacitySettings::default();
        /// What it holds for callers and servers.
        pub buffers: BufferSettings = BufferSettings::default();
        /// VMs that are contacted first to discover the others; their ports are not used.
        pub seeds: Vec<SocketAddr> = Vec::new();
        /// Whether the whole system starts for the first time. It then gives its first orders
        /// without a pause.
        pub first_start: bool = false;
        /// The platform's store.
        pub store: StoreSettings = StoreSettings::default();
        /// Limits that the operators require the system to keep.
        pub promises: PromiseSettings = PromiseSettings::default();
        /// How servers are chosen.
        pub choice: ChoiceSettings = ChoiceSettings::default();
        /// Requests that are sent to a second server as the first one answers late.
        pub second_send: SecondSendSettings = SecondSendSettings::default();
        /// What is logged, and where.
        pub logs: LogSettings = LogSettings { output: LogOutput::Stdout, ..LogSettings::default() };
    }
}
