//! `foxtidectl organisation list`: lists the organisations.

use crate::failure::Failure;
use crate::report::{
    Report,
    Table, //
};
use crate::session::Session;
use argh::FromArgs;
use foxtide_config::change::{
    self,
    StoredDocument, //
};
use serde_json::{
    Value,
    json, //
};

/// List the organisations
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
pub(super) struct List {}

impl List {
    /// Lists all organisations in the store.
    pub(super) async fn run(self, session: &Session) -> Result<Report, Failure> {
        let stored = change::load_all(session.store()).await?;
        let heading = [
            "organisation",
            "revision",
            "template",
            "services",
            "moves",
            "drains",
        ];
        let mut table = Table::new(heading);
        for one in &stored {
            table.row(cells(one));
        }
        let json: Vec<Value> = stored.iter().map(summary).collect();
        Ok(Report::new(table.text(), json!(json)))
    }
}

fn cells(stored: &StoredDocument) -> [String; 6] {
    let document = &stored.document;
    let template = document.template.as_ref();
    [
        document.organisation.to_string(),
        document.revision.to_string(),
        template.map_or("-".to_owned(), |used| {
            format!("{} v{}", used.name, used.version)
        }),
        document.services.len().to_string(),
        document.moves.len().to_string(),
        document.drains.len().to_string(),
    ]
}

fn summary(stored: &StoredDocument) -> Value {
    let document = &stored.document;
    json!({
        "organisation": document.organisation,
        "revision": document.revision,
        "change_id": document.change_id,
    })
}
