//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::{Bpaf, OptionParser};

/// What to do.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, generate(options))]
/// A load balancer for expert-parallel model groups and the plain services beside them.
///
/// Exit codes: 0 done, 1 refused or missing, 2 wrong use, 3 unknown or unreachable.
pub enum Command {
    /// Run an entry, which takes callers' requests.
    ///
    /// Example: grebedeck entry --settings entry.json
    #[bpaf(command)]
    Entry {
        /// Settings file
        #[bpaf(long, argument("FILE"))]
        settings: PathBuf,
    },
    /// Run a gateway, which takes callers' requests on the Cedarline platform.
    ///
    /// The settings file is named by the environment where the option is left out.
    #[bpaf(command)]
    Gateway {
        /// Settings file
        #[bpaf(long, argument("FILE"), env("GREBEDECK_CONFIG"))]
        settings: PathBuf,
    },
    /// Run a rank process, which stands beside a rank of a model's group on the Cedarline platform.
    ///
    /// The settings file is named by the environment where the option is left out.
    #[bpaf(command)]
    Rank {
        /// Settings file
        #[bpaf(long, argument("FILE"), env("GREBEDECK_CONFIG"))]
        settings: PathBuf,
    },
    /// Run an agent, which stands beside one target.
    ///
    /// Example: grebedeck agent --settings agent.json
    #[bpaf(command)]
    Agent {
        /// Settings file
        #[bpaf(long, argument("FILE"))]
        settings: PathBuf,
    },
    /// Tell a request's trace from the logs of processes.
    ///
    /// Example: grebedeck explain 9c41d07be2a35f68 gateway-1.log gateway-2.log
    #[bpaf(command)]
    Explain {
        /// The request's id
        #[bpaf(positional("ID"))]
        id: String,
        /// Logs
        #[bpaf(positional("FILE"), some("at least one log is needed"))]
        files: Vec<PathBuf>,
    },
    /// Apply a change of targets, groups, organisations or selectors.
    ///
    /// Example: grebedeck apply --operator 10.0.0.1:7003 -f change.json --wait
    #[bpaf(command)]
    Apply {
        /// Operator address
        #[bpaf(external)]
        operator: SocketAddr,
        /// The change
        #[bpaf(external)]
        file: PathBuf,
        /// Check the change and apply nothing
        dry_run: bool,
        /// Wait until all live processes have it in force
        wait: bool,
        /// Print JSON
        #[bpaf(external)]
        json: bool,
    },
    /// Print the configuration in force.
    ///
    /// Example: grebedeck get --operator 10.0.0.1:7003 targets
    #[bpaf(command)]
    Get {
        /// Operator address
        #[bpaf(external)]
        operator: SocketAddr,
        /// Print JSON
        #[bpaf(external)]
        json: bool,
        /// One of targets, groups, organisations, selectors; all where left out
        #[bpaf(positional("KIND"), optional)]
        kind: Option<String>,
    },
    /// Show what a change would change, and which organisations gain or lose targets.
    ///
    /// Example: grebedeck diff --operator 10.0.0.1:7003 -f change.json
    #[bpaf(command)]
    Diff {
        /// Operator address
        #[bpaf(external)]
        operator: SocketAddr,
        /// The change
        #[bpaf(external)]
        file: PathBuf,
        /// Print JSON
        #[bpaf(external)]
        json: bool,
    },
    /// List the last accepted changes, newest first.
    ///
    /// Example: grebedeck history --operator 10.0.0.1:7003
    #[bpaf(command)]
    History {
        /// Operator address
        #[bpaf(external)]
        operator: SocketAddr,
        /// Print JSON
        #[bpaf(external)]
        json: bool,
    },
    /// Print the state of one process.
    ///
    /// Example: grebedeck dump --operator 10.0.0.1:7003
    #[bpaf(command)]
    Dump {
        /// Operator address
        #[bpaf(external)]
        operator: SocketAddr,
    },
    /// Check a settings file and list every fault.
    ///
    /// Example: grebedeck check-settings entry entry.json
    #[bpaf(command("check-settings"))]
    CheckSettings {
        /// entry or agent
        #[bpaf(positional("ROLE"))]
        role: String,
        /// Settings file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

fn operator() -> impl bpaf::Parser<SocketAddr> {
    bpaf::long("operator")
        .help("Operator address of a process; also read from GREBEDECK_OPERATOR")
        .env("GREBEDECK_OPERATOR")
        .argument("ADDRESS")
}

fn file() -> impl bpaf::Parser<PathBuf> {
    bpaf::short('f').long("file").help("File with the change, in JSON").argument("FILE")
}

fn json() -> impl bpaf::Parser<bool> {
    bpaf::long("json").help("Print JSON for programs").switch()
}

/// Parser of the command line.
pub fn parser() -> OptionParser<Command> {
    options()
}
