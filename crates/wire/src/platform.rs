//! JSON messages of the platform's HTTP services: table service and instance list.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Row of the table service.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TableRow {
    /// Key of the row.
    pub key: String,
    /// Value of the row.
    pub value: String,
    /// Revision of the last write to the row.
    pub revision: u64,
}

/// Precondition of a transaction.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RowCheck {
    /// Key of the row.
    pub key: String,
    /// Expected revision of the row; zero if the row must be absent.
    pub revision: u64,
}

/// Write in a transaction.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RowWrite {
    /// Key of the row.
    pub key: String,
    /// New value; `None` deletes the row.
    pub value: Option<String>,
}

/// Transaction on the table service, which applies all writes if all checks hold, else none.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct TableTransaction {
    /// Preconditions.
    pub checks: Vec<RowCheck>,
    /// Writes.
    pub writes: Vec<RowWrite>,
}

/// Reply to a transaction.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "lowercase")]
pub enum TransactionReply {
    /// All checks held and the writes took effect.
    Applied {
        /// Revision of the written rows.
        revision: u64,
    },
    /// At least one check failed and no write took effect.
    Conflict {
        /// Current rows whose revision differs from the expected one.
        rows: Vec<TableRow>,
    },
}

/// State of an instance in the platform's instance list.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// Starting or serving.
    Live,
    /// About to be stopped.
    Leaving,
}

/// Entry of the platform's instance list.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// Name of the instance.
    pub name: String,
    /// Availability zone of the instance.
    pub zone: String,
    /// Address of the peer service.
    pub peer: SocketAddr,
    /// State that the platform last observed.
    pub state: InstanceState,
}
