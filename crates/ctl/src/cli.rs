//! Command line.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};

/// Command line over the administration API.
#[derive(Debug, Parser)]
#[command(name = "hibiscusctl", version)]
pub struct ControlArguments {
    #[command(flatten)]
    pub api: ApiArguments,
    #[command(subcommand)]
    pub command: ControlCommand,
}

/// Where and as whom to ask.
#[derive(Args, Debug)]
pub struct ApiArguments {
    /// Address of the administration API.
    #[arg(long, global = true, env = "HIBISCUS_ADMIN", default_value = "http://127.0.0.1:6434")]
    pub admin: String,
    /// Operator's token.
    #[arg(long, global = true, env = "HIBISCUS_OPERATOR_TOKEN", hide_env_values = true)]
    pub token: Option<String>,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum ControlCommand {
    /// Checks a document without an API.
    Validate {
        /// File of the document.
        file: PathBuf,
    },
    /// Shows what a document would change.
    Plan {
        /// File of the document.
        file: PathBuf,
    },
    /// Puts a document into force.
    Apply {
        /// File of the document.
        file: PathBuf,
        /// Revision that the change rests on; the one in force if absent.
        #[arg(long)]
        expect: Option<u64>,
        /// Identifier of the request; repeat it after a lost answer.
        #[arg(long)]
        request: Option<String>,
    },
    /// Puts a document into force that was in force in the environment before this one.
    Promote {
        /// Digest of the document, as `status` shows it there.
        digest: String,
        /// Revision that the change rests on; the one in force if absent.
        #[arg(long)]
        expect: Option<u64>,
        /// Identifier of the request; repeat it after a lost answer.
        #[arg(long)]
        request: Option<String>,
    },
    /// Shows the environment.
    Status {
        /// Shows the answer as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Prints the document in force.
    Show,
    /// Creates and changes teams.
    #[command(subcommand)]
    Team(TeamCommand),
    /// Grants and withdraws keys.
    #[command(subcommand)]
    Key(KeyCommand),
    /// Lets a database leave, or takes it back.
    Drain {
        /// Name of the database.
        database: String,
        /// Takes the database back.
        #[arg(long)]
        undo: bool,
    },
}

/// Changes of teams.
#[derive(Debug, Subcommand)]
pub enum TeamCommand {
    /// Creates a team.
    Create {
        /// Name of the team.
        name: String,
        /// Statements a second over all instances.
        #[arg(long)]
        rate: f64,
        /// Statements at once after a pause, over all instances.
        #[arg(long)]
        burst: f64,
    },
    /// Sets the limits of a team.
    Limit {
        /// Name of the team.
        name: String,
        /// Statements a second over all instances.
        #[arg(long)]
        rate: f64,
        /// Statements at once after a pause, over all instances.
        #[arg(long)]
        burst: f64,
    },
    /// Removes a team.
    Remove {
        /// Name of the team.
        name: String,
    },
}

/// Changes of keys.
#[derive(Debug, Subcommand)]
pub enum KeyCommand {
    /// Generates a key, puts its hash into force and prints the key once.
    Grant {
        /// Name of the team.
        team: String,
    },
    /// Withdraws a key.
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
    /// Prints the hash of a key read from standard input.
    Hash,
}
