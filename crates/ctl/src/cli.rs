//! Command line arguments.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};

/// Command line client of the administration API.
#[derive(Debug, Parser)]
#[command(name = "hibiscusctl", version)]
pub struct ControlArguments {
    #[command(flatten)]
    pub api: ApiArguments,
    #[command(subcommand)]
    pub command: ControlCommand,
}

/// Address of the administration API and the credential for it.
#[derive(Args, Debug)]
pub struct ApiArguments {
    /// Base URL of the administration API.
    #[arg(long, global = true, env = "HIBISCUS_ADMIN", default_value = "http://127.0.0.1:6434")]
    pub admin: String,
    /// Token of the operator.
    #[arg(long, global = true, env = "HIBISCUS_OPERATOR_TOKEN", hide_env_values = true)]
    pub token: Option<String>,
}

/// Command to run.
#[derive(Debug, Subcommand)]
pub enum ControlCommand {
    /// Validates a document locally.
    Validate {
        /// Path of the document.
        file: PathBuf,
    },
    /// Shows the changes that a document would make.
    Plan {
        /// Path of the document.
        file: PathBuf,
    },
    /// Puts a document into force and waits for its rollout.
    Apply {
        /// Path of the document.
        file: PathBuf,
        /// Revision that must be in force; by default the one in force when the command starts.
        #[arg(long)]
        expect: Option<u64>,
        /// Identifier of the request; give the same one to retry after a lost response.
        #[arg(long)]
        request: Option<String>,
    },
    /// Puts a document into force that was in force in the source environment.
    Promote {
        /// Digest of the document, as `status` shows it in the source environment.
        digest: String,
        /// Revision that must be in force; by default the one in force when the command starts.
        #[arg(long)]
        expect: Option<u64>,
        /// Identifier of the request; give the same one to retry after a lost response.
        #[arg(long)]
        request: Option<String>,
    },
    /// Shows the document revision, the instances and the members of the environment.
    Status {
        /// Prints the status as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Prints the document in force.
    Show,
    /// Shows where an instance of `hibiscus-gateway` would send a request now, and why. Nothing is
    /// sent. Needs no operator token.
    Explain(ExplainArguments),
    /// Shows what instances of `hibiscus-gateway` have in force and reach, and where they disagree.
    /// Fails if there is anything to look at. Needs no operator token.
    Fleet(FleetArguments),
    /// Shows what logs of instances say about a request, with the events around it that concern it.
    /// Needs no operator token.
    Trace(TraceArguments),
    /// Creates, limits and removes teams.
    #[command(subcommand)]
    Team(TeamCommand),
    /// Grants, revokes, lists and hashes keys.
    #[command(subcommand)]
    Key(KeyCommand),
    /// Marks a database as leaving, so that no instance starts new work on it.
    Drain {
        /// Name of the database.
        database: String,
        /// Clears the mark.
        #[arg(long)]
        undo: bool,
    },
}

/// Instances to be compared.
#[derive(Args, Debug)]
pub struct FleetArguments {
    /// Base URLs of the instances' metrics ports.
    #[arg(required = true)]
    pub instances: Vec<String>,
    /// Prints the state as JSON.
    #[arg(long)]
    pub json: bool,
}

/// Request to be traced, and the logs to search.
#[derive(Args, Debug)]
pub struct TraceArguments {
    /// Identifier of the request.
    #[arg(long)]
    pub request: String,
    /// Seconds before the request from which events are shown.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(..=86_400))]
    pub seconds: u64,
    /// Logs of instances; their file names name the instances.
    #[arg(required = true)]
    pub logs: Vec<PathBuf>,
}

/// Request to be explained, and the instance that explains it.
#[derive(Args, Debug, serde::Serialize)]
pub struct ExplainArguments {
    /// Base URL of the instance's metrics port.
    #[arg(long)]
    #[serde(skip)]
    pub instance: String,
    /// Name of the team; `-` for callers without a key.
    #[arg(long, allow_hyphen_values = true)]
    pub team: String,
    /// Database that the caller requests.
    #[arg(long)]
    pub database: String,
    /// Kind of the request: read, write or transaction.
    #[arg(long)]
    pub kind: String,
    /// Position of the session's last commit, as TERM.INDEX.
    #[arg(long)]
    pub position: Option<String>,
    /// Prints the explanation as JSON.
    #[arg(long)]
    #[serde(skip)]
    pub json: bool,
}

/// Commands for teams.
#[derive(Debug, Subcommand)]
pub enum TeamCommand {
    /// Creates a team.
    Create {
        /// Name of the team.
        name: String,
        /// Rate limit in statements per second over all instances.
        #[arg(long)]
        rate: f64,
        /// Burst limit in statements over all instances.
        #[arg(long)]
        burst: f64,
    },
    /// Sets the rate and burst limits of a team.
    Limit {
        /// Name of the team.
        name: String,
        /// Rate limit in statements per second over all instances.
        #[arg(long)]
        rate: f64,
        /// Burst limit in statements over all instances.
        #[arg(long)]
        burst: f64,
    },
    /// Removes a team.
    Remove {
        /// Name of the team.
        name: String,
    },
}

/// Commands for keys.
#[derive(Debug, Subcommand)]
pub enum KeyCommand {
    /// Generates a key, puts its hash into force and prints the key, which is not stored.
    Grant {
        /// Name of the team.
        team: String,
    },
    /// Revokes a key.
    Withdraw {
        /// Name of the team.
        team: String,
        /// Fingerprint of the key, as `key list` shows it.
        fingerprint: String,
    },
    /// Lists the fingerprints of a team's keys.
    List {
        /// Name of the team.
        team: String,
    },
    /// Reads a key from standard input and prints its salted hash.
    Hash,
}
