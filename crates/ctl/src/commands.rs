//! Execution of the commands.

use std::path::{Path, PathBuf};

use admin::api::{
    ApplyRequest, ApplyResponse, DocumentRequest, DocumentResponse, PlanResponse, PromoteRequest,
    StatusResponse,
};
use snafu::{OptionExt as _, ResultExt as _, Snafu};
use state::credential::{KeyHash, generate_key};
use state::document::{Document, DocumentError};

use crate::cli::{ControlArguments, ControlCommand, KeyCommand, TeamCommand};
use crate::client::{AdminClient, ClientError};
use crate::edit::{self, DocumentEdit, EditError};
use crate::explain;
use crate::fleet;
use crate::inspection::InspectionError;
use crate::output;
use crate::trace::{self, TraceError};

/// Maximum number of attempts at an edit while other operators change the document.
const MAX_EDIT_ATTEMPTS: usize = 5;

/// Error of a command.
#[derive(Debug, Snafu)]
pub enum ControlError {
    /// A file cannot be read.
    #[snafu(display("cannot read {}: {source}", path.display()))]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Cause reported by the system.
        source: std::io::Error,
    },
    /// The document is invalid.
    #[snafu(display("{source}"), context(false))]
    Document {
        /// Cause.
        source: DocumentError,
    },
    /// The API rejected the request or did not respond.
    #[snafu(display("{source}"), context(false))]
    Client {
        /// Cause.
        source: ClientError,
    },
    /// The edit cannot be applied to the document in force.
    #[snafu(display("{source}"), context(false))]
    Edit {
        /// Cause.
        source: EditError,
    },
    /// The document in force has no such team.
    #[snafu(display("team {name:?} does not exist"))]
    UnknownTeam {
        /// Name of the team.
        name: String,
    },
    /// The request cannot be explained.
    #[snafu(display("{source}"), context(false))]
    Inspection {
        /// Cause.
        source: InspectionError,
    },
    /// An instance cannot be reached, or something is wrong with the fleet.
    #[snafu(display("findings: {count}"))]
    Findings {
        /// Number of findings.
        count: usize,
    },
    /// The request cannot be traced.
    #[snafu(display("{source}"), context(false))]
    Trace {
        /// Cause.
        source: TraceError,
    },
    /// The status cannot be formatted as JSON.
    #[snafu(display("{source}"), context(false))]
    Json {
        /// Cause.
        source: serde_json::Error,
    },
}

impl ControlError {
    /// Returns the exit code for the error: 2 for an unreadable file or an invalid document, the
    /// client's code for an error of a request, else 1.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Client { source } => source.exit_code(),
            Self::Read { .. } | Self::Document { .. } => 2,
            Self::Trace { source: TraceError::Read { .. } } => 2,
            _ => 1,
        }
    }
}

/// Runs a command and prints its result.
pub async fn run(arguments: ControlArguments) -> Result<(), ControlError> {
    let api_arguments = &arguments.api;
    match arguments.command {
        ControlCommand::Validate { file } => {
            let text = read_file(&file)?;
            Document::parse(&text)?;
            println!("{} is valid", file.display());
            Ok(())
        }
        ControlCommand::Key(KeyCommand::Hash) => {
            let mut line = String::new();
            let path = Path::new("standard input");
            std::io::stdin().read_line(&mut line).context(ReadSnafu { path })?;
            println!("{}", KeyHash::generate(line.trim()));
            Ok(())
        }
        ControlCommand::Explain(arguments) => Ok(explain::run(&arguments).await?),
        ControlCommand::Fleet(arguments) => match fleet::run(&arguments).await? {
            0 => Ok(()),
            count => FindingsSnafu { count }.fail(),
        },
        ControlCommand::Trace(arguments) => Ok(trace::run(&arguments)?),
        command => run_remote(&AdminClient::new(api_arguments)?, command).await,
    }
}

async fn run_remote(client: &AdminClient, command: ControlCommand) -> Result<(), ControlError> {
    match command {
        ControlCommand::Plan { file } => {
            let body = DocumentRequest { text: read_file(&file)? };
            let plan: PlanResponse = client.post("/v1/plan", &body).await?;
            print!("against revision {}\n{}", plan.revision, output::format_changes(&plan.changes));
        }
        ControlCommand::Apply { file, expect, request } => {
            let text = read_file(&file)?;
            Document::parse(&text)?;
            let expected_revision = resolve_expected_revision(client, expect).await?;
            let request_id = request.unwrap_or_else(new_request_id);
            eprintln!("request {request_id}");
            let body = ApplyRequest { expected_revision, text, request_id };
            print_applied(&client.post("/v1/document", &body).await?);
        }
        ControlCommand::Promote { digest, expect, request } => {
            let expected_revision = resolve_expected_revision(client, expect).await?;
            let request_id = request.unwrap_or_else(new_request_id);
            eprintln!("request {request_id}");
            let body = PromoteRequest { expected_revision, digest, request_id };
            print_applied(&client.post("/v1/promote", &body).await?);
        }
        ControlCommand::Status { json } => {
            let status: StatusResponse = client.get("/v1/status").await?;
            if json {
                println!("{}", serde_json::to_string_pretty(&status)?);
            } else {
                print!("{}", output::format_status(&status));
            }
        }
        ControlCommand::Show => {
            let document: DocumentResponse = client.get("/v1/document").await?;
            print!("{}", document.text);
        }
        ControlCommand::Team(command) => edit_document(client, team_edit(command)).await?,
        ControlCommand::Key(command) => run_key_command(client, command).await?,
        ControlCommand::Drain { database, undo } => {
            edit_document(client, DocumentEdit::SetLeaving { database, leaving: !undo }).await?;
        }
        ControlCommand::Validate { .. }
        | ControlCommand::Explain(_)
        | ControlCommand::Fleet(_)
        | ControlCommand::Trace(_) => {}
    }
    Ok(())
}

async fn run_key_command(client: &AdminClient, command: KeyCommand) -> Result<(), ControlError> {
    match command {
        KeyCommand::Grant { team } => {
            let key = generate_key();
            let hash = KeyHash::generate(&key);
            edit_document(client, DocumentEdit::AddKey { team, hash }).await?;
            println!("key {key}\nfingerprint {}", hash.fingerprint());
        }
        KeyCommand::Withdraw { team, fingerprint } => {
            edit_document(client, DocumentEdit::RemoveKey { team, fingerprint }).await?;
        }
        KeyCommand::List { team } => {
            let current: DocumentResponse = client.get("/v1/document").await?;
            let document = Document::parse(&current.text)?;
            let found = document.teams.iter().find(|section| section.name == team);
            let section = found.context(UnknownTeamSnafu { name: team })?;
            section.keys.iter().for_each(|key| println!("{}", key.fingerprint()));
        }
        KeyCommand::Hash => {}
    }
    Ok(())
}

fn team_edit(command: TeamCommand) -> DocumentEdit {
    match command {
        TeamCommand::Create { name, rate, burst } => DocumentEdit::AddTeam { name, rate, burst },
        TeamCommand::Limit { name, rate, burst } => {
            DocumentEdit::SetTeamLimits { name, rate, burst }
        }
        TeamCommand::Remove { name } => DocumentEdit::RemoveTeam { name },
    }
}

/// Edits one entry of the document in force. Retries on the new document if another operator
/// changed it in the meantime.
async fn edit_document(client: &AdminClient, edit: DocumentEdit) -> Result<(), ControlError> {
    let mut attempt = 1;
    loop {
        let current: DocumentResponse = client.get("/v1/document").await?;
        let text = edit::apply_edit(&current.text, &edit)?;
        Document::parse(&text)?;
        let expected_revision = current.head.map_or(0, |head| head.revision);
        let body = ApplyRequest { expected_revision, text, request_id: new_request_id() };
        match client.post::<_, ApplyResponse>("/v1/document", &body).await {
            // Exit code 4 stands for a conflict.
            Err(error) if error.exit_code() == 4 && attempt < MAX_EDIT_ATTEMPTS => attempt += 1,
            other => {
                print_applied(&other?);
                return Ok(());
            }
        }
    }
}

fn print_applied(response: &ApplyResponse) {
    print!("{}{}", output::format_head(&response.head), output::format_rollout(&response.rollout));
}

async fn resolve_expected_revision(
    client: &AdminClient,
    explicit: Option<u64>,
) -> Result<u64, ControlError> {
    if let Some(revision) = explicit {
        return Ok(revision);
    }
    let status: StatusResponse = client.get("/v1/status").await?;
    Ok(status.head.map_or(0, |head| head.revision))
}

fn new_request_id() -> String {
    format!("{:016x}", rand::random::<u64>())
}

fn read_file(path: &Path) -> Result<String, ControlError> {
    std::fs::read_to_string(path).context(ReadSnafu { path })
}
