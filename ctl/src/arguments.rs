//! Definition of the command line: subcommands, options and help texts.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;

const DESCRIPTION: &str =
    "Publishes manifests to coltsfoothook, shows its state and drains its VMs and servers";

const FOOTER: &str = "\
Examples:
  coltsfoothook-ctl check manifest.json
  coltsfoothook-ctl check config.json --against config-in-force.json --json
  coltsfoothook-ctl publish manifest.json --base 41 --settings ctl.json
  coltsfoothook-ctl publish --delta delta.json --base 42 --entry 10.0.0.1:8081 --json
  coltsfoothook-ctl diff manifest.json --settings ctl.json
  coltsfoothook-ctl drain server engine-7 --settings ctl.json
  coltsfoothook-ctl explain vm-2.51.1907 --settings ctl.json
  coltsfoothook-ctl trace 9c41d07be2a35f68 logs/*.log
  coltsfoothook-ctl losses --late-ms 800 logs/*.log
  coltsfoothook-ctl hash-credential --generate
Exit codes:
  0 done; 1 refused or findings, nothing changed; 2 usage; 3 no entry VM reached; 4 outcome unknown
  5 stale base; 6 try later, the log is down or the VM is not ready; 7 token refused
  After 3, 4 and 6 it is safe to repeat the same command.";

/// A subcommand with its options and positional arguments.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, descr(DESCRIPTION), footer(FOOTER))]
pub(crate) enum CtlCommand {
    /// Checks a manifest, a delta against a manifest, or the platform's configuration, offline
    #[bpaf(command)]
    Check {
        /// The manifest that the delta in FILE applies to
        #[bpaf(argument("MANIFEST"))]
        onto: Option<PathBuf>,
        #[bpaf(external)]
        configuration_arguments: ConfigurationArguments,
        #[bpaf(external)]
        json: bool,
        /// The file, in JSON with comments
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Publishes a manifest or a delta; repeating the command is safe
    #[bpaf(command)]
    Publish {
        #[bpaf(external)]
        connect_arguments: ConnectArguments,
        /// The version that the change builds on; 0 for the first manifest
        #[bpaf(argument("VERSION"))]
        base: u64,
        /// The publication's id; by default a hash of the change and its base
        #[bpaf(argument("ID"))]
        publish_id: Option<String>,
        /// Waits up to this many milliseconds until the version is in force at every VM
        #[bpaf(argument("MS"))]
        everywhere_ms: Option<u64>,
        /// FILE is a delta instead of a whole manifest
        delta: bool,
        #[bpaf(external)]
        json: bool,
        /// The file, in JSON with comments
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Shows what publishing a manifest would change; with --json as a delta
    #[bpaf(command)]
    Diff {
        #[bpaf(external)]
        connect_arguments: ConnectArguments,
        #[bpaf(external)]
        json: bool,
        /// The manifest, in JSON with comments
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Shows the version in force at each VM, owners, loaded adapters and queues
    #[bpaf(command)]
    Status {
        #[bpaf(external)]
        connect_arguments: ConnectArguments,
        /// Lists the loaded adapters
        loaded: bool,
        #[bpaf(external)]
        json: bool,
    },
    /// Takes an entry VM or a backend server out of use, or back into it
    #[bpaf(command)]
    Drain {
        #[bpaf(external)]
        connect_arguments: ConnectArguments,
        /// Ends the drain
        undo: bool,
        #[bpaf(external)]
        json: bool,
        #[bpaf(external)]
        drain_target: DrainTarget,
    },
    /// Shows how a request was routed and why
    #[bpaf(command)]
    Explain {
        #[bpaf(external)]
        connect_arguments: ConnectArguments,
        #[bpaf(external)]
        json: bool,
        /// The request's id, from its answer or the log
        #[bpaf(positional("REQUEST_ID"))]
        id: String,
    },
    /// Shows the log lines that concern a request and explains its outcome
    #[bpaf(command)]
    Trace {
        #[bpaf(external)]
        json: bool,
        /// The request's id
        #[bpaf(positional("REQUEST_ID"))]
        id: String,
        /// Log files of gateways, preferably of all VMs
        #[bpaf(positional("FILE"), some("a log file is needed"))]
        files: Vec<PathBuf>,
    },
    /// Counts late, refused and failed requests in log files of gateways
    #[bpaf(command)]
    Losses {
        /// Milliseconds until the first piece of an answer after which a request counts as late
        #[bpaf(argument("MS"), fallback(1_000))]
        late_ms: u64,
        /// Length in seconds of an interval of the table by time
        #[bpaf(argument("SECONDS"), fallback(2))]
        every_s: u64,
        #[bpaf(external)]
        json: bool,
        /// Log files of gateways, preferably of all VMs
        #[bpaf(positional("FILE"), some("a log file is needed"))]
        files: Vec<PathBuf>,
    },
    /// Lifts the condemnation of a request that crashed backend servers
    #[bpaf(command)]
    Lift {
        #[bpaf(external)]
        connect_arguments: ConnectArguments,
        #[bpaf(external)]
        json: bool,
        /// The request's fingerprint in hexadecimal, from the log
        #[bpaf(positional("FINGERPRINT"))]
        fingerprint: String,
    },
    /// Prints the hash of a credential read from standard input, for the manifest
    #[bpaf(command)]
    HashCredential {
        /// Generates a new credential and prints it with its hash
        generate: bool,
        #[bpaf(external)]
        json: bool,
    },
}

/// What the platform's configuration is compared with.
#[derive(Clone, Debug, Default, Bpaf)]
pub(crate) struct ConfigurationArguments {
    /// The platform's configuration in force; differences from it are findings
    #[bpaf(argument("CONFIGURATION"))]
    pub(crate) against: Option<PathBuf>,
    /// The registered servers, a JSON object of their entries by id, to compare attempts with
    #[bpaf(argument("SERVERS"))]
    pub(crate) servers: Option<PathBuf>,
}

/// The VM or server that a drain applies to.
#[derive(Clone, Debug, Bpaf)]
pub(crate) enum DrainTarget {
    /// An entry VM
    #[bpaf(command)]
    Vm {
        /// The VM's name
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// A backend server
    #[bpaf(command)]
    Server {
        /// The server's name
        #[bpaf(positional("NAME"))]
        name: String,
    },
}

/// How entry VMs are reached. These options override the settings file.
#[derive(Clone, Debug, Default, Bpaf)]
pub(crate) struct ConnectArguments {
    /// Settings file in JSON with comments; see docs/SETTINGS.md
    #[bpaf(argument("FILE"))]
    pub(crate) settings: Option<PathBuf>,
    /// Address of an entry VM's operators' interface; give several to try the next when one is
    /// unreachable
    #[bpaf(long("entry"), argument("ADDRESS"))]
    pub(crate) entries: Vec<SocketAddr>,
    /// File with the operator's token
    #[bpaf(argument("FILE"))]
    pub(crate) token_file: Option<PathBuf>,
    /// File with the certificates (PEM) of the authorities to trust
    #[bpaf(argument("FILE"))]
    pub(crate) ca_file: Option<PathBuf>,
    /// The name in the entry VMs' certificates; without it, their IP addresses
    #[bpaf(argument("NAME"))]
    pub(crate) server_name: Option<String>,
    /// Connects without TLS to non-loopback addresses; sends the token unencrypted
    pub(crate) plain: bool,
}

fn json() -> impl bpaf::Parser<bool> {
    bpaf::long("json").help("Prints one JSON object instead of plain text").switch()
}
