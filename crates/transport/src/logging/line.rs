//! Formats a log record as one line of JSON.

use std::fmt;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use log::Record;
use log::kv::Error;
use log::kv::Key;
use log::kv::Value;
use log::kv::VisitSource;
use serde::Serializer;
use serde::ser::SerializeMap;

/// Formats a record as a line that ends with a line feed. `dropped` is the
/// number of lines of the same statement that were dropped before it.
pub(super) fn format(instance: &str, record: &Record<'_>, dropped: u64) -> Option<String> {
    let mut buf = Vec::with_capacity(256);
    write(&mut buf, instance, record, dropped).ok()?;
    buf.push(b'\n');
    String::from_utf8(buf).ok()
}

fn write(
    buf: &mut Vec<u8>,
    instance: &str,
    record: &Record<'_>,
    dropped: u64,
) -> Result<(), serde_json::Error> {
    let mut serializer = serde_json::Serializer::new(buf);
    let mut map = serializer.serialize_map(None)?;
    map.serialize_entry("at_ms", &wall_clock_ms())?;
    map.serialize_entry("level", record.level().as_str())?;
    map.serialize_entry("instance", instance)?;
    map.serialize_entry("module", record.target())?;
    map.serialize_entry("message", &Text(record.args()))?;
    let mut fields = Fields(&mut map);
    // A field that can't be serialized must not prevent the line from being
    // written.
    let _ = record.key_values().visit(&mut fields);
    if dropped > 0 {
        map.serialize_entry("left_out_before", &dropped)?;
    }
    map.end()
}

struct Fields<'a, M>(&'a mut M);

impl<'kvs, M: SerializeMap> VisitSource<'kvs> for Fields<'_, M> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let key = key.as_str();
        let written = match (value.to_u64(), value.to_bool()) {
            (Some(number), _) => self.0.serialize_entry(key, &number),
            (None, Some(flag)) => self.0.serialize_entry(key, &flag),
            (None, None) => self.0.serialize_entry(key, &Text(&value)),
        };
        written.map_err(|_| Error::msg("field can't be serialized"))
    }
}

/// Serializes a value as the text that it displays.
struct Text<T>(T);

impl<T: fmt::Display> serde::Serialize for Text<T> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

fn wall_clock_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}
