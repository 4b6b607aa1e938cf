//! Requests and answers of the platform's services, carried as JSON over HTTP.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Row of the table service.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TableRow {
    /// Key of the row.
    pub key: String,
    /// Value of the row.
    pub value: String,
    /// Revision at which the row was written last.
    pub revision: u64,
}

/// Condition of a transaction.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RowCheck {
    /// Key of the row.
    pub key: String,
    /// Revision that the row must have; zero means that it must be absent.
    pub revision: u64,
}

/// Write of a transaction.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RowWrite {
    /// Key of the row.
    pub key: String,
    /// New value; none deletes the row.
    pub value: Option<String>,
}

/// Transaction on the table service: all checks hold and all writes happen, or none.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct TableTransaction {
    /// Conditions.
    pub checks: Vec<RowCheck>,
    /// Writes.
    pub writes: Vec<RowWrite>,
}

/// Answer to a transaction.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "lowercase")]
pub enum TransactionReply {
    /// Every check held and the writes took effect.
    Applied {
        /// Revision of the written rows.
        revision: u64,
    },
    /// Some check did not hold.
    Conflict {
        /// Rows that differ from their check, as they are now.
        rows: Vec<TableRow>,
    },
}

/// State of an instance in the platform's list.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// Serves or starts.
    Live,
    /// Is about to be stopped.
    Leaving,
}

/// Instance in the platform's list.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// Name of the instance.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address for peers.
    pub peer: SocketAddr,
    /// State as the platform last saw it.
    pub state: InstanceState,
}
