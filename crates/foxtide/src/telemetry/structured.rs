//! Formats log lines as JSON objects.

use foxtide_core::ids::InstanceId;
use log::Record;
use log::kv::{
    Error,
    Key,
    Value,
    VisitSource, //
};
use serde_json::{
    Map,
    Value as Json, //
};
use std::io::{
    self,
    Write, //
};
use std::sync::OnceLock;
use std::time::{
    SystemTime,
    UNIX_EPOCH, //
};

/// The name of the instance, set once its settings are loaded.
static INSTANCE: OnceLock<String> = OnceLock::new();

/// Sets the instance name that all further lines include.
pub(crate) fn set_instance(instance: &InstanceId) {
    // A process runs one instance, so only the first name is used.
    INSTANCE.get_or_init(|| instance.to_string());
}

/// Writes a record as one JSON line.
///
/// # Errors
///
/// Returns the errors of the writer.
pub(super) fn write_line(buffer: &mut impl Write, record: &Record<'_>) -> io::Result<()> {
    let mut fields = Fields(Map::new());
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let time_s = since_epoch.unwrap_or_default().as_secs_f64();
    fields.0.insert("time_s".to_owned(), time_s.into());
    let level = record.level().as_str().to_ascii_lowercase();
    fields.0.insert("level".to_owned(), level.into());
    if let Some(instance) = INSTANCE.get() {
        fields
            .0
            .insert("instance".to_owned(), instance.as_str().into());
    }
    if let Err(error) = record.key_values().visit(&mut fields) {
        let cause = error.to_string();
        fields.0.insert("unreadable_field".to_owned(), cause.into());
    }
    // The text of a record with a `number` field is the event's name.
    let text_field = if fields.0.contains_key("number") {
        "event"
    } else {
        "message"
    };
    let text = record.args().to_string();
    fields.0.insert(text_field.to_owned(), text.into());
    serde_json::to_writer(&mut *buffer, &fields.0)?;
    buffer.write_all(b"\n")
}

struct Fields(Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let json = serde_json::to_value(&value);
        let json = json.unwrap_or_else(|_| value.to_string().into());
        self.0.insert(key.as_str().to_owned(), json);
        Ok(())
    }
}
