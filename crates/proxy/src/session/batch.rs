//! Messages of an extended exchange, and their form on a pooled connection.

use std::collections::{HashMap, HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash as _, Hasher as _};
use std::sync::Arc;

use bytes::BytesMut;
use wire::backend;
use wire::frame::RawFrame;
use wire::frontend::{self, BindFields, FieldError, ObjectFields, ObjectKind, ParseFields};
use wire::statement::{StatementCache, StatementClass};

/// Statement prepared by a session.
#[derive(Debug)]
pub(super) struct PreparedText {
    id: u64,
    query: String,
    types: Vec<u8>,
    class: Arc<StatementClass>,
}

impl PreparedText {
    fn new(fields: &ParseFields<'_>, statements: &StatementCache) -> Self {
        let mut hasher = DefaultHasher::new();
        (fields.query, fields.parameter_types).hash(&mut hasher);
        Self {
            id: hasher.finish(),
            query: fields.query.to_owned(),
            types: fields.parameter_types.to_vec(),
            class: statements.classify(fields.query),
        }
    }

    /// Returns the name on the member's side, the same for every session that prepares the text.
    fn remote_name(&self) -> String {
        format!("hb{:016x}", self.id)
    }
}

/// Message of an extended exchange.
#[derive(Debug)]
pub(super) enum BatchMessage {
    /// Prepares a statement.
    Parse {
        /// Tells that the statement has a name.
        named: bool,
        /// Statement.
        text: Arc<PreparedText>,
    },
    /// Binds a statement to a portal.
    Bind {
        /// Tells that the statement has a name.
        named: bool,
        /// Statement.
        text: Arc<PreparedText>,
        /// Message as it came.
        frame: RawFrame,
    },
    /// Describes a statement.
    DescribeStatement {
        /// Tells that the statement has a name.
        named: bool,
        /// Statement.
        text: Arc<PreparedText>,
    },
    /// Forgets a statement.
    CloseStatement,
    /// Describes a portal.
    DescribePortal(RawFrame),
    /// Runs a portal.
    Execute(RawFrame),
    /// Forgets a portal.
    ClosePortal(RawFrame),
}

impl BatchMessage {
    /// Reads a message; the inner error names a statement that was never prepared.
    pub(super) fn read(
        frame: RawFrame,
        statements: &StatementCache,
        prepared: &mut HashMap<String, Arc<PreparedText>>,
    ) -> Result<Result<Self, String>, FieldError> {
        let find = |name: &str, prepared: &HashMap<String, Arc<PreparedText>>| {
            prepared.get(name).cloned().ok_or_else(|| name.to_owned())
        };
        let message = match frame.tag {
            frontend::PARSE => {
                let fields = frontend::read_parse(&frame)?;
                let text = Arc::new(PreparedText::new(&fields, statements));
                prepared.insert(fields.name.to_owned(), text.clone());
                Ok(Self::Parse { named: !fields.name.is_empty(), text })
            }
            frontend::BIND => {
                let fields = frontend::read_bind(&frame)?;
                let (named, text) =
                    (!fields.statement.is_empty(), find(fields.statement, prepared));
                text.map(|text| Self::Bind { named, text, frame })
            }
            frontend::EXECUTE => {
                frontend::read_execute(&frame)?;
                Ok(Self::Execute(frame))
            }
            tag => {
                let ObjectFields { kind, name } = frontend::read_object(&frame)?;
                match (tag, kind) {
                    (frontend::DESCRIBE, ObjectKind::Statement) => find(name, prepared)
                        .map(|text| Self::DescribeStatement { named: !name.is_empty(), text }),
                    (frontend::DESCRIBE, ObjectKind::Portal) => Ok(Self::DescribePortal(frame)),
                    (_, ObjectKind::Statement) => {
                        prepared.remove(name);
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
            Self::Parse { text, .. } => text.query.len(),
            Self::Bind { frame, .. }
            | Self::DescribePortal(frame)
            | Self::Execute(frame)
            | Self::ClosePortal(frame) => frame.bytes.len(),
            Self::DescribeStatement { .. } | Self::CloseStatement => 0,
        }
    }

    fn class(&self) -> Option<&Arc<StatementClass>> {
        match self {
            Self::Parse { text, .. }
            | Self::Bind { text, .. }
            | Self::DescribeStatement { text, .. } => Some(&text.class),
            _ => None,
        }
    }
}

/// Reply that a message sent to a member leads to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ReplyStep {
    /// Completion of a parse; the statement with this identifier is prepared then.
    Parsed {
        /// Identifier of a named statement.
        id: Option<u64>,
        /// Tells that the caller did not ask for it.
        hidden: bool,
    },
    /// Reply that ends with one of the message types of its request.
    Relayed,
    /// Reply that the proxy gives itself.
    Given(u8),
}

/// Messages of an extended exchange up to a sync or flush.
#[derive(Debug, Default)]
pub(super) struct CallerBatch {
    messages: Vec<BatchMessage>,
    bytes: usize,
}

impl CallerBatch {
    /// Adds a message.
    pub(super) fn push(&mut self, message: BatchMessage) {
        self.bytes += message.bytes();
        self.messages.push(message);
    }

    /// Drops every message.
    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns the bytes of the messages.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Tells whether there is no message.
    pub(super) fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }

    /// Returns the messages.
    pub(super) fn messages(&self) -> &[BatchMessage] {
        &self.messages
    }

    /// Returns the number of portals that run.
    pub(super) fn executions(&self) -> usize {
        let runs = |message: &&BatchMessage| matches!(message, BatchMessage::Execute(_));
        self.messages.iter().filter(runs).count()
    }

    /// Returns what running the batch does; one that runs nothing counts as a read.
    pub(super) fn class(&self) -> Arc<StatementClass> {
        let mut distinct: Vec<&Arc<StatementClass>> = Vec::new();
        for class in self.messages.iter().filter_map(BatchMessage::class) {
            if !distinct.iter().any(|known| Arc::ptr_eq(known, class)) {
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

    /// Writes the batch for a connection on which `known` statements are prepared.
    pub(super) fn encode(
        &self,
        known: &HashSet<u64>,
        output: &mut BytesMut,
    ) -> VecDeque<ReplyStep> {
        let mut encoder = BatchEncoder {
            known,
            output,
            steps: VecDeque::with_capacity(self.messages.len() + 1),
            parsed: HashSet::new(),
            unnamed: None,
        };
        self.messages.iter().for_each(|message| encoder.put(message));
        encoder.steps
    }
}

/// Rewrites statement names and prepares what a pooled connection lacks.
struct BatchEncoder<'a> {
    known: &'a HashSet<u64>,
    output: &'a mut BytesMut,
    steps: VecDeque<ReplyStep>,
    parsed: HashSet<u64>,
    unnamed: Option<u64>,
}

impl BatchEncoder<'_> {
    fn put(&mut self, message: &BatchMessage) {
        match message {
            BatchMessage::Parse { named: true, text } if self.is_prepared(text) => {
                self.steps.push_back(ReplyStep::Given(backend::PARSE_COMPLETE));
            }
            BatchMessage::Parse { named, text } => self.parse(*named, text, false),
            BatchMessage::Bind { named, text, frame } => {
                self.prepare(*named, text);
                let Ok(fields) = frontend::read_bind(frame) else {
                    return;
                };
                let statement = remote(*named, text);
                let fields = BindFields { statement: &statement, ..fields };
                frontend::put_bind(self.output, &fields);
                self.steps.push_back(ReplyStep::Relayed);
            }
            BatchMessage::DescribeStatement { named, text } => {
                self.prepare(*named, text);
                let name = remote(*named, text);
                let fields = ObjectFields { kind: ObjectKind::Statement, name: &name };
                frontend::put_object(self.output, frontend::DESCRIBE, &fields);
                self.steps.push_back(ReplyStep::Relayed);
            }
            // The member keeps the statement for other sessions that prepare the same text.
            BatchMessage::CloseStatement => {
                self.steps.push_back(ReplyStep::Given(backend::CLOSE_COMPLETE))
            }
            BatchMessage::DescribePortal(frame)
            | BatchMessage::Execute(frame)
            | BatchMessage::ClosePortal(frame) => {
                self.output.extend_from_slice(&frame.bytes);
                self.steps.push_back(ReplyStep::Relayed);
            }
        }
    }

    fn is_prepared(&self, text: &PreparedText) -> bool {
        self.known.contains(&text.id) || self.parsed.contains(&text.id)
    }

    fn prepare(&mut self, named: bool, text: &PreparedText) {
        let ready = if named { self.is_prepared(text) } else { self.unnamed == Some(text.id) };
        if !ready {
            self.parse(named, text, true);
        }
    }

    fn parse(&mut self, named: bool, text: &PreparedText, hidden: bool) {
        let name = remote(named, text);
        let fields = ParseFields { name: &name, query: &text.query, parameter_types: &text.types };
        frontend::put_parse(self.output, &fields);
        if named {
            self.parsed.insert(text.id);
        } else {
            self.unnamed = Some(text.id);
        }
        self.steps.push_back(ReplyStep::Parsed { id: named.then_some(text.id), hidden });
    }
}

fn remote(named: bool, text: &PreparedText) -> String {
    if named { text.remote_name() } else { String::new() }
}
