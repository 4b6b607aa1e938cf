//! Extended-query messages of a caller, and their encoding for a pooled connection.

use std::collections::{HashMap, HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash as _, Hasher as _};
use std::sync::Arc;

use bytes::BytesMut;
use wire::backend;
use wire::frame::RawFrame;
use wire::frontend::{self, BindFields, FieldError, ObjectFields, ObjectKind, ParseFields};
use wire::statement::{StatementCache, StatementClass, StatementKind, may_commit_repeatedly};

/// Statement prepared by a session.
#[derive(Debug)]
pub(super) struct PreparedStatement {
    /// Hash of the query and the parameter types.
    id: u64,
    query: String,
    parameter_types: Vec<u8>,
    class: Arc<StatementClass>,
}

impl PreparedStatement {
    fn new(fields: &ParseFields<'_>, statement_cache: &StatementCache) -> Self {
        let mut hasher = DefaultHasher::new();
        (fields.query, fields.parameter_types).hash(&mut hasher);
        Self {
            id: hasher.finish(),
            query: fields.query.to_owned(),
            parameter_types: fields.parameter_types.to_vec(),
            class: statement_cache.classify(fields.query),
        }
    }

    /// Returns the statement's name at the member, equal for all sessions that prepare the text.
    fn remote_name(&self) -> String {
        format!("hb{:016x}", self.id)
    }
}

/// Extended-query message of a caller.
#[derive(Debug)]
pub(super) enum BatchMessage {
    /// Prepares a statement.
    Parse {
        /// The statement is named.
        named: bool,
        /// Statement.
        statement: Arc<PreparedStatement>,
    },
    /// Binds a statement to a portal.
    Bind {
        /// The statement is named.
        named: bool,
        /// Statement.
        statement: Arc<PreparedStatement>,
        /// Message as received.
        frame: RawFrame,
    },
    /// Describes a statement.
    DescribeStatement {
        /// The statement is named.
        named: bool,
        /// Statement.
        statement: Arc<PreparedStatement>,
    },
    /// Closes a statement.
    CloseStatement,
    /// Describes a portal.
    DescribePortal(RawFrame),
    /// Executes a portal.
    Execute(RawFrame),
    /// Closes a portal.
    ClosePortal(RawFrame),
}

impl BatchMessage {
    /// Reads a message. The inner error is the name of a statement that does not exist.
    pub(super) fn read(
        frame: RawFrame,
        statement_cache: &StatementCache,
        prepared_statements: &mut HashMap<String, Arc<PreparedStatement>>,
    ) -> Result<Result<Self, String>, FieldError> {
        let find_statement =
            |name: &str, prepared_statements: &HashMap<String, Arc<PreparedStatement>>| {
                prepared_statements.get(name).cloned().ok_or_else(|| name.to_owned())
            };
        let message = match frame.tag {
            frontend::PARSE => {
                let fields = frontend::read_parse(&frame)?;
                let statement = Arc::new(PreparedStatement::new(&fields, statement_cache));
                prepared_statements.insert(fields.name.to_owned(), statement.clone());
                Ok(Self::Parse { named: !fields.name.is_empty(), statement })
            }
            frontend::BIND => {
                let fields = frontend::read_bind(&frame)?;
                let (named, statement) = (
                    !fields.statement.is_empty(),
                    find_statement(fields.statement, prepared_statements),
                );
                statement.map(|statement| Self::Bind { named, statement, frame })
            }
            frontend::EXECUTE => {
                frontend::read_execute(&frame)?;
                Ok(Self::Execute(frame))
            }
            tag => {
                let ObjectFields { kind, name } = frontend::read_object(&frame)?;
                match (tag, kind) {
                    (frontend::DESCRIBE, ObjectKind::Statement) => {
                        find_statement(name, prepared_statements).map(|statement| {
                            Self::DescribeStatement { named: !name.is_empty(), statement }
                        })
                    }
                    (frontend::DESCRIBE, ObjectKind::Portal) => Ok(Self::DescribePortal(frame)),
                    (_, ObjectKind::Statement) => {
                        prepared_statements.remove(name);
                        Ok(Self::CloseStatement)
                    }
                    (_, ObjectKind::Portal) => Ok(Self::ClosePortal(frame)),
                }
            }
        };
        Ok(message)
    }

    fn bytes(&self) -> usize {
        match self {
            Self::Parse { statement, .. } => statement.query.len(),
            Self::Bind { frame, .. }
            | Self::DescribePortal(frame)
            | Self::Execute(frame)
            | Self::ClosePortal(frame) => frame.bytes.len(),
            Self::DescribeStatement { .. } | Self::CloseStatement => 0,
        }
    }

    fn class(&self) -> Option<&Arc<StatementClass>> {
        match self {
            Self::Parse { statement, .. }
            | Self::Bind { statement, .. }
            | Self::DescribeStatement { statement, .. } => Some(&statement.class),
            _ => None,
        }
    }
}

/// Response in an exchange, from the member or generated by the proxy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ExpectedResponse {
    /// Parse completion from the member, after which the statement exists on the connection.
    ParseComplete {
        /// Id of the statement, or none if it is unnamed.
        id: Option<u64>,
        /// The proxy added the parse message, so the completion is not relayed.
        suppressed: bool,
    },
    /// Response from the member that is relayed up to its last message.
    Relayed,
    /// Response without a body that the proxy generates, by message type.
    Synthesized(u8),
}

/// Extended-query messages up to a sync or flush.
#[derive(Debug, Default)]
pub(super) struct CallerBatch {
    messages: Vec<BatchMessage>,
    bytes: usize,
}

impl CallerBatch {
    /// Appends a message.
    pub(super) fn push(&mut self, message: BatchMessage) {
        self.bytes += message.bytes();
        self.messages.push(message);
    }

    /// Removes all messages.
    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns the total size of the messages in bytes; of a parse message only the query counts.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns whether there are no messages.
    pub(super) fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }

    /// Returns the messages.
    pub(super) fn messages(&self) -> &[BatchMessage] {
        &self.messages
    }

    /// Returns the number of execute messages.
    pub(super) fn execute_count(&self) -> usize {
        let is_execute = |message: &&BatchMessage| matches!(message, BatchMessage::Execute(_));
        self.messages.iter().filter(is_execute).count()
    }

    /// Returns whether the batch may commit more than once, given that it has statements of this kind
    /// together.
    pub(super) fn may_commit_repeatedly(&self, kind: StatementKind) -> bool {
        if kind != StatementKind::Mixed {
            return false;
        }
        let mut portals: HashMap<String, StatementKind> = HashMap::new();
        let mut executed = Vec::new();
        for message in &self.messages {
            match message {
                BatchMessage::Bind { statement, frame, .. } => {
                    if let Ok(fields) = frontend::read_bind(frame) {
                        portals.insert(fields.portal.to_owned(), statement.class.kind);
                    }
                }
                // A portal of an earlier batch may run anything.
                BatchMessage::Execute(frame) => {
                    let portal = frontend::read_execute(frame).ok();
                    let kind = portal.and_then(|name| portals.get(name)).copied();
                    executed.push(kind.unwrap_or(StatementKind::Mixed));
                }
                BatchMessage::Parse { .. }
                | BatchMessage::DescribeStatement { .. }
                | BatchMessage::CloseStatement
                | BatchMessage::DescribePortal(_)
                | BatchMessage::ClosePortal(_) => {}
            }
        }
        may_commit_repeatedly(executed.iter().copied())
    }

    /// Returns the combined class of the batch's statements; a batch without any is a read.
    pub(super) fn class(&self) -> Arc<StatementClass> {
        let mut distinct: Vec<&Arc<StatementClass>> = Vec::new();
        for class in self.messages.iter().filter_map(BatchMessage::class) {
            if !distinct.iter().any(|other| Arc::ptr_eq(other, class)) {
                distinct.push(class);
            }
        }
        match distinct[..] {
            [only] => only.clone(),
            _ => {
                let classes: Vec<&StatementClass> =
                    distinct.iter().map(|class| &***class).collect();
                Arc::new(StatementClass::merge(&classes))
            }
        }
    }

    /// Encodes the batch for a connection on which `connection_statements` are prepared.
    ///
    /// Returns the responses to expect, in order.
    pub(super) fn encode(
        &self,
        connection_statements: &HashSet<u64>,
        output: &mut BytesMut,
    ) -> VecDeque<ExpectedResponse> {
        let mut encoder = BatchEncoder {
            connection_statements,
            output,
            expected: VecDeque::with_capacity(self.messages.len() + 1),
            newly_prepared: HashSet::new(),
            unnamed_statement: None,
        };
        self.messages.iter().for_each(|message| encoder.encode_message(message));
        encoder.expected
    }
}

/// Rewrites statement names, and prepares statements that do not exist on the connection yet.
struct BatchEncoder<'a> {
    connection_statements: &'a HashSet<u64>,
    output: &'a mut BytesMut,
    expected: VecDeque<ExpectedResponse>,
    newly_prepared: HashSet<u64>,
    unnamed_statement: Option<u64>,
}

impl BatchEncoder<'_> {
    fn encode_message(&mut self, message: &BatchMessage) {
        match message {
            BatchMessage::Parse { named: true, statement } if self.is_prepared(statement) => {
                self.expected.push_back(ExpectedResponse::Synthesized(backend::PARSE_COMPLETE));
            }
            BatchMessage::Parse { named, statement } => self.encode_parse(*named, statement, false),
            BatchMessage::Bind { named, statement, frame } => {
                self.ensure_prepared(*named, statement);
                // Always succeeds, since `BatchMessage::read` has read the same frame.
                let Ok(fields) = frontend::read_bind(frame) else {
                    return;
                };
                let name = remote_statement_name(*named, statement);
                let fields = BindFields { statement: &name, ..fields };
                frontend::put_bind(self.output, &fields);
                self.expected.push_back(ExpectedResponse::Relayed);
            }
            BatchMessage::DescribeStatement { named, statement } => {
                self.ensure_prepared(*named, statement);
                let name = remote_statement_name(*named, statement);
                let fields = ObjectFields { kind: ObjectKind::Statement, name: &name };
                frontend::put_object(self.output, frontend::DESCRIBE, &fields);
                self.expected.push_back(ExpectedResponse::Relayed);
            }
            // The statement stays prepared for other sessions that use the same text.
            BatchMessage::CloseStatement => {
                self.expected.push_back(ExpectedResponse::Synthesized(backend::CLOSE_COMPLETE))
            }
            BatchMessage::DescribePortal(frame)
            | BatchMessage::Execute(frame)
            | BatchMessage::ClosePortal(frame) => {
                self.output.extend_from_slice(&frame.bytes);
                self.expected.push_back(ExpectedResponse::Relayed);
            }
        }
    }

    fn is_prepared(&self, statement: &PreparedStatement) -> bool {
        self.connection_statements.contains(&statement.id)
            || self.newly_prepared.contains(&statement.id)
    }

    fn ensure_prepared(&mut self, named: bool, statement: &PreparedStatement) {
        let is_ready = if named {
            self.is_prepared(statement)
        } else {
            self.unnamed_statement == Some(statement.id)
        };
        if !is_ready {
            self.encode_parse(named, statement, true);
        }
    }

    fn encode_parse(&mut self, named: bool, statement: &PreparedStatement, suppressed: bool) {
        let name = remote_statement_name(named, statement);
        let fields = ParseFields {
            name: &name,
            query: &statement.query,
            parameter_types: &statement.parameter_types,
        };
        frontend::put_parse(self.output, &fields);
        if named {
            self.newly_prepared.insert(statement.id);
        } else {
            self.unnamed_statement = Some(statement.id);
        }
        self.expected.push_back(ExpectedResponse::ParseComplete {
            id: named.then_some(statement.id),
            suppressed,
        });
    }
}

fn remote_statement_name(named: bool, statement: &PreparedStatement) -> String {
    if named { statement.remote_name() } else { String::new() }
}
