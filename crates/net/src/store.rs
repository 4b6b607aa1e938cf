//! Documents in the platform's services: a head row for each environment, bodies as objects.

use serde::{Deserialize, Serialize};
use snafu::{OptionExt as _, ResultExt as _, Snafu};
use state::credential::digest_text;
use wire::platform::{RowCheck, RowWrite, TableRow, TableTransaction, TransactionReply};

use crate::platform::{ObjectStore, PlatformError, TableService};

/// Errors of the document store.
#[derive(Debug, Snafu)]
pub enum StoreError {
    /// The platform's service failed.
    #[snafu(display("{source}"), context(false))]
    Platform {
        /// Cause reported by the service.
        source: PlatformError,
    },
    /// A row cannot be read.
    #[snafu(display("row {key} is malformed: {source}"))]
    MalformedRow {
        /// Key of the row.
        key: String,
        /// Cause reported by the JSON reader.
        source: serde_json::Error,
    },
    /// The platform's service took too long.
    #[snafu(display("no answer from the platform's service within {} ms", limit.as_millis()))]
    Timeout {
        /// Time that was waited.
        limit: std::time::Duration,
    },
    /// A body is missing or does not match its digest.
    #[snafu(display("document body {digest} is missing or damaged"))]
    MissingBody {
        /// Digest of the body.
        digest: String,
    },
}

/// Revision in force in one environment.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct DocumentHead {
    /// Revision, counted from 1.
    pub revision: u64,
    /// Digest of the document's bytes.
    pub digest: String,
    /// Identifier of the request that made the revision.
    pub request: String,
    /// Operator who made the revision.
    pub operator: String,
}

/// Document with its head.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredDocument {
    /// Head of the revision.
    pub head: DocumentHead,
    /// Text of the document.
    pub text: String,
}

/// Answer to an attempt to replace a document.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReplaceOutcome {
    /// The document is accepted under this head.
    Accepted(DocumentHead),
    /// Another revision is in force.
    Conflict(DocumentHead),
}

/// Reads and replaces documents.
pub struct DocumentStore<'a, P> {
    platform: &'a P,
    environment: &'a str,
}

impl<'a, P: TableService + ObjectStore> DocumentStore<'a, P> {
    /// Creates a store for one environment.
    pub fn new(platform: &'a P, environment: &'a str) -> Self {
        Self { platform, environment }
    }

    /// Reads the head in force, or none before the first document.
    pub async fn head(&self) -> Result<Option<DocumentHead>, StoreError> {
        Ok(self.head_row().await?.map(|(head, _)| head))
    }

    /// Reads the document of a head.
    pub async fn body(&self, head: &DocumentHead) -> Result<String, StoreError> {
        let digest = &head.digest;
        let bytes = self.platform.get(object_name(digest)).await?;
        let text = bytes.and_then(|bytes| String::from_utf8(bytes).ok());
        let text = text.filter(|text| digest_text(text.as_bytes()) == *digest);
        text.context(MissingBodySnafu { digest })
    }

    /// Reads the document in force.
    pub async fn current(&self) -> Result<Option<StoredDocument>, StoreError> {
        let Some(head) = self.head().await? else {
            return Ok(None);
        };
        let text = self.body(&head).await?;
        Ok(Some(StoredDocument { head, text }))
    }

    /// Tells whether a document of this digest was ever in force in the environment.
    pub async fn was_in_force(&self, digest: &str) -> Result<bool, StoreError> {
        Ok(self.platform.row(self.history_key(digest)).await?.is_some())
    }

    /// Replaces the revision `expected`; zero stands for none.
    ///
    /// A request that was carried out before is answered with the head it made, so a caller whose
    /// answer was lost repeats it safely.
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
        let digest = digest_text(text.as_bytes());
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
            // The write may have taken effect; its request row tells.
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

/// Head and epoch as one read finds them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EnvironmentSnapshot {
    /// Head of the document in force.
    pub head: Option<DocumentHead>,
    /// Epoch of the allotment ledger.
    pub epoch: Option<LedgerEpoch>,
    /// Table revision of the epoch's row, zero if it is absent.
    pub epoch_row_revision: u64,
}

/// Epoch of the allotment ledger.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LedgerEpoch {
    /// Number of the epoch, counted from 1.
    pub number: u64,
    /// Incarnation of the instance that issues what nobody reports.
    pub issuer: u64,
}

impl<P: TableService + ObjectStore> DocumentStore<'_, P> {
    /// Reads head and epoch together.
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

    /// Starts an epoch if the row still has revision `row`; false if another instance was first.
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
        // A lost answer or a conflict is settled by reading back who issues the epoch.
        Ok(self.snapshot().await?.epoch.as_ref() == Some(epoch))
    }

    /// Records a finished promotion, unless a higher term is recorded.
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

/// Record of the last promotion of a database.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PrimaryRecord {
    /// Term of the primary.
    pub term: u64,
    /// Logical name of the primary.
    pub primary: String,
    /// Instance that promoted it.
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
