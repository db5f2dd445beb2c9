//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;

const DESCRIPTION: &str = "Checks, publishes and watches what coltsfoothook serves";

const FOOTER: &str = "\
Examples:
  coltsfoothook-ctl check manifest.json
  coltsfoothook-ctl publish manifest.json --base 41 --settings ctl.json
  coltsfoothook-ctl publish --delta delta.json --base 42 --entry 10.0.0.1:8081 --json
  coltsfoothook-ctl diff manifest.json --settings ctl.json
  coltsfoothook-ctl drain server engine-7 --settings ctl.json
  coltsfoothook-ctl explain vm-2.51.1907 --settings ctl.json
  coltsfoothook-ctl trace 9c41d07be2a35f68 logs/*.log
  coltsfoothook-ctl losses --late-ms 800 logs/*.log
  coltsfoothook-ctl hash-credential --generate
Exit codes:
  0 done; 1 refused, nothing changed; 2 usage; 3 no entry VM reached; 4 outcome unknown
  5 stale base; 6 not now, the log is down or the VM is not ready; 7 token refused
  After 3, 4 and 6 the same command again is safe.";

/// A command with its arguments.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, descr(DESCRIPTION), footer(FOOTER))]
pub(crate) enum CtlCommand {
    /// Checks a manifest, or a delta on a manifest, without a connection
    #[bpaf(command)]
    Check {
        /// The manifest that FILE is a delta on
        #[bpaf(argument("MANIFEST"))]
        onto: Option<PathBuf>,
        #[bpaf(external)]
        json: bool,
        /// The file, in JSON with comments
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Publishes a manifest or a delta; repeating the same command is safe
    #[bpaf(command)]
    Publish {
        #[bpaf(external)]
        connect_arguments: ConnectArguments,
        /// The version that the change builds on; 0 for the first manifest
        #[bpaf(argument("VERSION"))]
        base: u64,
        /// The publication's id; by default made from the change and its base
        #[bpaf(argument("ID"))]
        publish_id: Option<String>,
        /// The longest time in milliseconds to wait until the version is in force at every VM
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
    /// Tells why a request went where it did
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
    /// Follows a request through log files of gateways, and says what its end means
    #[bpaf(command)]
    Trace {
        #[bpaf(external)]
        json: bool,
        /// The request's id
        #[bpaf(positional("REQUEST_ID"))]
        id: String,
        /// Log files, best of all VMs
        #[bpaf(positional("FILE"), some("a log file is needed"))]
        files: Vec<PathBuf>,
    },
    /// Shows where requests were late, refused or lost, from log files of gateways
    #[bpaf(command)]
    Losses {
        /// After how many milliseconds to the first piece a request is late
        #[bpaf(argument("MS"), fallback(1_000))]
        late_ms: u64,
        /// How many seconds are counted together
        #[bpaf(argument("SECONDS"), fallback(2))]
        every_s: u64,
        #[bpaf(external)]
        json: bool,
        /// Log files, best of all VMs
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
        /// Makes a new credential and prints it too
        generate: bool,
        #[bpaf(external)]
        json: bool,
    },
}

/// What is drained.
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

/// How entry VMs are reached. What stands here goes before the settings file.
#[derive(Clone, Debug, Default, Bpaf)]
pub(crate) struct ConnectArguments {
    /// Settings file in JSON with comments; see docs/SETTINGS.md
    #[bpaf(argument("FILE"))]
    pub(crate) settings: Option<PathBuf>,
    /// Operators' address of an entry VM; give several to have the next asked when one is away
    #[bpaf(long("entry"), argument("ADDRESS"))]
    pub(crate) entries: Vec<SocketAddr>,
    /// File with the operator's token
    #[bpaf(argument("FILE"))]
    pub(crate) token_file: Option<PathBuf>,
    /// File with the certificates (PEM) of the authorities to trust
    #[bpaf(argument("FILE"))]
    pub(crate) ca_file: Option<PathBuf>,
    /// The name in the entry VMs' certificates; without it, their IP numbers
    #[bpaf(argument("NAME"))]
    pub(crate) server_name: Option<String>,
    /// Speaks without TLS to addresses other than loopback ones, token included
    pub(crate) plain: bool,
}

fn json() -> impl bpaf::Parser<bool> {
    bpaf::long("json").help("Prints one JSON object instead of text for a human").switch()
}
