//! Storage of documents in the platform services: a head row per environment, bodies as objects.

use serde::{Deserialize, Serialize};
use snafu::{OptionExt as _, ResultExt as _, Snafu};
use state::credential::sha256_hex;
use wire::platform::{RowCheck, RowWrite, TableRow, TableTransaction, TransactionReply};

use crate::platform::{ObjectStore, PlatformError, TableService};

/// Error of the document store.
#[derive(Debug, Snafu)]
pub enum StoreError {
    /// An operation on a platform service failed.
    #[snafu(display("{source}"), context(false))]
    Platform {
        /// Error of the operation.
        source: PlatformError,
    },
    /// A row cannot be decoded or encoded.
    #[snafu(display("row {key} is malformed: {source}"))]
    MalformedRow {
        /// Key of the row.
        key: String,
        /// Error of the JSON codec.
        source: serde_json::Error,
    },
    /// A platform service did not respond in time.
    #[snafu(display("no response from platform service within {} ms", limit.as_millis()))]
    Timeout {
        /// Timeout of the operation.
        limit: std::time::Duration,
    },
    /// A document body is missing or does not match its digest.
    #[snafu(display("document body {digest} is missing or damaged"))]
    MissingBody {
        /// Digest of the body.
        digest: String,
    },
}

/// Head row of an environment: the revision of its document that is in force.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct DocumentHead {
    /// Revision, counted from 1.
    pub revision: u64,
    /// Digest of the document's bytes.
    pub digest: String,
    /// Identifier of the request that created the revision.
    pub request: String,
    /// Operator who created the revision.
    pub operator: String,
}

/// Document together with its head.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredDocument {
    /// Head of the revision.
    pub head: DocumentHead,
    /// Text of the document.
    pub text: String,
}

/// Outcome of an attempt to replace a document.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReplaceOutcome {
    /// The document is in force with this head.
    Accepted(DocumentHead),
    /// Another revision than the expected one is in force.
    Conflict(DocumentHead),
}

/// Reads and replaces the documents of one environment.
pub struct DocumentStore<'a, P> {
    platform: &'a P,
    environment: &'a str,
}

impl<'a, P: TableService + ObjectStore> DocumentStore<'a, P> {
    /// Creates a store for one environment.
    pub fn new(platform: &'a P, environment: &'a str) -> Self {
        Self { platform, environment }
    }

    /// Reads the current head. Returns `None` before the first document.
    pub async fn head(&self) -> Result<Option<DocumentHead>, StoreError> {
        Ok(self.head_row().await?.map(|(head, _)| head))
    }

    /// Reads the document body of a head and verifies its digest.
    pub async fn body(&self, head: &DocumentHead) -> Result<String, StoreError> {
        let digest = &head.digest;
        let bytes = self.platform.get(object_name(digest)).await?;
        let text = bytes.and_then(|bytes| String::from_utf8(bytes).ok());
        let text = text.filter(|text| sha256_hex(text.as_bytes()) == *digest);
        text.context(MissingBodySnafu { digest })
    }

    /// Reads the document in force. Returns `None` before the first document.
    pub async fn current(&self) -> Result<Option<StoredDocument>, StoreError> {
        let Some(head) = self.head().await? else {
            return Ok(None);
        };
        let text = self.body(&head).await?;
        Ok(Some(StoredDocument { head, text }))
    }

    /// Returns whether a document with this digest has ever been in force in the environment.
    pub async fn was_in_force(&self, digest: &str) -> Result<bool, StoreError> {
        Ok(self.platform.row(self.history_key(digest)).await?.is_some())
    }

    /// Replaces the document if its revision is `expected_revision`, zero for no document.
    ///
    /// The operation is idempotent: a `request` that took effect before returns the head that it
    /// created, so a caller may repeat it after a lost response.
    pub async fn replace(
        &self,
        expected_revision: u64,
        text: &str,
        request: &str,
        operator: &str,
    ) -> Result<ReplaceOutcome, StoreError> {
        if let Some(head) = self.request_head(request).await? {
            return Ok(ReplaceOutcome::Accepted(head));
        }
        let current = self.head_row().await?;
        let (revision, row_revision) =
            current.as_ref().map_or((0, 0), |(head, row)| (head.revision, *row));
        if let Some((head, _)) = current.filter(|_| revision != expected_revision) {
            return Ok(ReplaceOutcome::Conflict(head));
        }
        let digest = sha256_hex(text.as_bytes());
        self.platform.put(object_name(&digest), text.as_bytes().to_vec()).await?;
        let head = DocumentHead {
            revision: expected_revision + 1,
            digest,
            request: request.to_owned(),
            operator: operator.to_owned(),
        };
        let transaction = self.replace_transaction(&head, row_revision)?;
        match self.platform.transact(transaction).await {
            Ok(TransactionReply::Applied { .. }) => Ok(ReplaceOutcome::Accepted(head)),
            Ok(TransactionReply::Conflict { .. }) => self.resolve_conflict(request).await,
            // The write may have taken effect; the row of the request resolves the outcome.
            Err(error) => match self.request_head(request).await? {
                Some(head) => Ok(ReplaceOutcome::Accepted(head)),
                None => Err(error.into()),
            },
        }
    }

    async fn resolve_conflict(&self, request: &str) -> Result<ReplaceOutcome, StoreError> {
        if let Some(head) = self.request_head(request).await? {
            return Ok(ReplaceOutcome::Accepted(head));
        }
        let head = self.head().await?;
        // No digest is known here: the head row itself is missing.
        let digest = "head";
        Ok(ReplaceOutcome::Conflict(head.context(MissingBodySnafu { digest })?))
    }

    fn replace_transaction(
        &self,
        head: &DocumentHead,
        row_revision: u64,
    ) -> Result<TableTransaction, StoreError> {
        let key = self.head_key();
        let value = serde_json::to_string(head).context(MalformedRowSnafu { key: key.clone() })?;
        let request_key = self.request_key(&head.request);
        Ok(TableTransaction {
            checks: vec![
                RowCheck { key: key.clone(), revision: row_revision },
                RowCheck { key: request_key.clone(), revision: 0 },
            ],
            writes: vec![
                RowWrite { key, value: Some(value.clone()) },
                RowWrite { key: request_key, value: Some(value.clone()) },
                RowWrite { key: self.history_key(&head.digest), value: Some(value) },
            ],
        })
    }

    async fn head_row(&self) -> Result<Option<(DocumentHead, u64)>, StoreError> {
        let row = self.platform.row(self.head_key()).await?;
        row.map(|row| parse_head(&row).map(|head| (head, row.revision))).transpose()
    }

    async fn request_head(&self, request: &str) -> Result<Option<DocumentHead>, StoreError> {
        let row = self.platform.row(self.request_key(request)).await?;
        row.as_ref().map(parse_head).transpose()
    }

    fn head_key(&self) -> String {
        format!("{}head", current_prefix(self.environment))
    }

    fn request_key(&self, request: &str) -> String {
        format!("environment/{}/request/{request}", self.environment)
    }

    fn history_key(&self, digest: &str) -> String {
        format!("environment/{}/history/{digest}", self.environment)
    }
}

/// Head and epoch of an environment, read in one scan.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EnvironmentSnapshot {
    /// Head of the document in force, if any.
    pub head: Option<DocumentHead>,
    /// Current epoch of the share ledger, if any.
    pub epoch: Option<LedgerEpoch>,
    /// Table revision of the epoch row, zero if the row is absent.
    pub epoch_row_revision: u64,
}

/// Epoch of the share ledger.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LedgerEpoch {
    /// Number of the epoch, counted from 1.
    pub number: u64,
    /// Incarnation of the instance that issues the shares which no instance reports.
    pub issuer: u64,
}

impl<P: TableService + ObjectStore> DocumentStore<'_, P> {
    /// Reads head and epoch in one scan.
    pub async fn snapshot(&self) -> Result<EnvironmentSnapshot, StoreError> {
        let prefix = current_prefix(self.environment);
        let mut snapshot = EnvironmentSnapshot::default();
        for row in self.platform.scan(prefix.clone()).await? {
            match row.key.strip_prefix(&prefix) {
                Some("head") => snapshot.head = Some(parse_head(&row)?),
                Some("epoch") => {
                    let epoch = serde_json::from_str(&row.value);
                    snapshot.epoch =
                        Some(epoch.context(MalformedRowSnafu { key: row.key.clone() })?);
                    snapshot.epoch_row_revision = row.revision;
                }
                _ => {}
            }
        }
        Ok(snapshot)
    }

    /// Starts an epoch if the epoch row still has revision `row_revision`.
    ///
    /// Returns false if another instance has started one first.
    pub async fn start_epoch(
        &self,
        row_revision: u64,
        epoch: &LedgerEpoch,
    ) -> Result<bool, StoreError> {
        let key = format!("{}epoch", current_prefix(self.environment));
        let value = serde_json::to_string(epoch).context(MalformedRowSnafu { key: key.clone() })?;
        let transaction = TableTransaction {
            checks: vec![RowCheck { key: key.clone(), revision: row_revision }],
            writes: vec![RowWrite { key, value: Some(value) }],
        };
        let reply = self.platform.transact(transaction).await;
        if let Ok(TransactionReply::Applied { .. }) = reply {
            return Ok(true);
        }
        // After a lost response or a conflict the stored epoch shows whether this write succeeded.
        Ok(self.snapshot().await?.epoch.as_ref() == Some(epoch))
    }

    /// Records a finished promotion, unless the same or a higher term is recorded already.
    pub async fn record_primary(
        &self,
        database: &str,
        term: u64,
        primary: &str,
        instance: &str,
    ) -> Result<(), StoreError> {
        let key = format!("environment/{}/primary/{database}", self.environment);
        let row = self.platform.row(key.clone()).await?;
        let current: Option<PrimaryRecord> =
            row.as_ref().and_then(|row| serde_json::from_str(&row.value).ok());
        if current.is_some_and(|current| current.term >= term) {
            return Ok(());
        }
        let record =
            PrimaryRecord { term, primary: primary.to_owned(), instance: instance.to_owned() };
        let value =
            serde_json::to_string(&record).context(MalformedRowSnafu { key: key.clone() })?;
        let revision = row.map_or(0, |row| row.revision);
        let transaction = TableTransaction {
            checks: vec![RowCheck { key: key.clone(), revision }],
            writes: vec![RowWrite { key, value: Some(value) }],
        };
        self.platform.transact(transaction).await?;
        Ok(())
    }
}

/// Row with the last promotion of a database.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PrimaryRecord {
    /// Term of the primary.
    pub term: u64,
    /// Logical name of the primary.
    pub primary: String,
    /// Name of the instance that promoted it.
    pub instance: String,
}

fn current_prefix(environment: &str) -> String {
    format!("environment/{environment}/current/")
}

fn object_name(digest: &str) -> String {
    format!("document/{digest}")
}

fn parse_head(row: &TableRow) -> Result<DocumentHead, StoreError> {
    serde_json::from_str(&row.value).context(MalformedRowSnafu { key: row.key.clone() })
}
