//! A compact encoding of many similar texts.
//!
//! Each text is split into a template and its values: decimal numbers, hexadecimal numbers and
//! words. The values of texts with the same template are stored by position, so that equal or
//! slowly growing ones compress to little. 3,000 objects of servers take a quarter of the bytes
//! that general compression alone leaves (49 of 201 KB), which decides how fast a host with a slow
//! link can pass them on.

use std::collections::BTreeMap;

use base::prelude::*;
use serde::Deserialize;
use serde::Serialize;

use crate::compress;

/// Longest encoded form before compression, in bytes. Bounds the memory that a forged length can
/// claim.
const PLAIN_BYTES_MAX: usize = 4 << 20;
/// Most bytes of all texts together. Bounds what forged references to long words can claim.
const TEXT_BYTES_MAX: usize = 16 << 20;
/// Fewest digits of a hexadecimal number: shorter ones are as cheap as words.
const HEX_DIGITS_MIN: usize = 8;
/// Placeholder of a decimal number in a template.
const DECIMAL: char = '\u{1}';
/// Placeholder of a hexadecimal number in a template.
const HEX: char = '\u{2}';
/// Placeholder of a word in a template.
const WORD: char = '\u{3}';
/// Separates the words of the dictionary.
const SEPARATOR: char = '\u{4}';

/// The encoded form before compression.
#[derive(Debug, Default, Serialize, Deserialize)]
struct Plain {
    words: String,
    groups: Vec<Group>,
}

/// The texts with one template.
#[derive(Debug, Default, Serialize, Deserialize)]
struct Group {
    template: String,
    /// Number of texts.
    texts: u32,
    columns: Vec<Column>,
}

/// The values at one position of a template.
#[derive(Debug, Serialize, Deserialize)]
enum Column {
    /// Differences between successive values.
    Narrow(Vec<i64>),
    /// Values of eight bytes each. Two columns with the same values, such as the name of a server
    /// and its identity, compress to one.
    Wide(Vec<[u8; 8]>),
}

/// Encodes texts. Their order is not kept. Returns `None` if a text contains a control character
/// that the encoding uses.
pub fn encode<'a>(texts: impl Iterator<Item = &'a str>) -> Option<Vec<u8>> {
    let mut words: BTreeMap<&'a str, u64> = BTreeMap::new();
    let mut groups: BTreeMap<String, Vec<Vec<u64>>> = BTreeMap::new();
    for text in texts {
        if text.contains([DECIMAL, HEX, WORD, SEPARATOR]) {
            return None;
        }
        let (template, values) = parse(text, &mut words);
        groups.entry(template).or_default().push(values);
    }
    let mut order: Vec<(u64, &str)> = words.iter().map(|(word, index)| (*index, *word)).collect();
    order.sort_unstable();
    let mut plain = Plain::default();
    for (_, word) in order {
        plain.words.push_str(word);
        plain.words.push(SEPARATOR);
    }
    let groups = groups.into_iter().map(|(template, rows)| Group {
        template,
        texts: rows.len() as u32,
        columns: columns(&rows),
    });
    plain.groups = groups.collect();
    let plain = postcard::to_stdvec(&plain).expect("postcard can encode all types of a snapshot");
    (plain.len() <= PLAIN_BYTES_MAX).then(|| compress::compress(&plain))
}

/// Splits a text into its template and values.
fn parse<'a>(text: &'a str, words: &mut BTreeMap<&'a str, u64>) -> (String, Vec<u64>) {
    let (mut template, mut values) = (String::new(), Vec::new());
    let mut rest = text;
    while !rest.is_empty() {
        let is_word = |c: char| c.is_ascii_alphanumeric();
        let length = rest.find(|c| !is_word(c)).unwrap_or(rest.len());
        let (token, tail) = rest.split_at(length);
        rest = tail;
        if token.is_empty() {
            let length = rest.find(is_word).unwrap_or(rest.len());
            let (literal, tail) = rest.split_at(length);
            template.push_str(literal);
            rest = tail;
        } else if let Some(value) = parse_decimal(token) {
            template.push(DECIMAL);
            values.push(value);
        } else if let Some(value) = parse_hex(token) {
            template.push(HEX);
            values.push(value);
        } else {
            let next = words.len() as u64;
            template.push(WORD);
            values.push(*words.entry(token).or_insert(next));
        }
    }
    (template, values)
}

/// Returns the number that a token is, if it is written as the decoder writes it.
fn parse_decimal(token: &str) -> Option<u64> {
    let is_canonical = token == "0" || token.starts_with(|c: char| matches!(c, '1'..='9'));
    token.parse().ok().filter(|_| is_canonical)
}

fn parse_hex(token: &str) -> Option<u64> {
    let value = u64::from_str_radix(token, 16).ok()?;
    (token.len() >= HEX_DIGITS_MIN && format!("{value:x}") == token).then_some(value)
}

fn columns(rows: &[Vec<u64>]) -> Vec<Column> {
    let width = rows.first().map_or(0, Vec::len);
    let column = |index: usize| {
        let values = || rows.iter().map(|row| row[index]);
        if values().any(|value| value > u32::MAX.into()) {
            return Column::Wide(values().map(u64::to_le_bytes).collect());
        }
        let mut last = 0;
        let deltas = values().map(|value| {
            let delta = value as i64 - last;
            last = value as i64;
            delta
        });
        Column::Narrow(deltas.collect())
    };
    (0..width).map(column).collect()
}

/// Decodes texts.
///
/// # Errors
///
/// `Malformed` if the bytes are not encoded texts, or exceed the limits.
pub fn decode(bytes: &[u8]) -> Result<Vec<String>, Code> {
    let plain = compress::decompress(bytes, PLAIN_BYTES_MAX)?;
    let plain: Plain = postcard::from_bytes(&plain).map_err(|_| Code::Malformed)?;
    let words: Vec<&str> = plain.words.split(SEPARATOR).collect();
    let (mut texts, mut budget) = (Vec::new(), TEXT_BYTES_MAX);
    for group in &plain.groups {
        let columns: Option<Vec<Vec<u64>>> = group.columns.iter().map(values).collect();
        let columns = columns.ok_or(Code::Malformed)?;
        let placeholders = group.template.matches([DECIMAL, HEX, WORD]).count();
        let has_all = |column: &Vec<u64>| column.len() == group.texts as usize;
        // A group without columns holds equal texts, which a sender has no reason to repeat.
        let is_bounded = placeholders > 0 || group.texts <= 1;
        if columns.len() != placeholders || !columns.iter().all(has_all) || !is_bounded {
            return Err(Code::Malformed);
        }
        for row in 0..group.texts as usize {
            let values = columns.iter().map(|column| column[row]);
            let text = fill(&group.template, values, &words).ok_or(Code::Malformed)?;
            // Each text counts for one byte more, so that empty ones are bounded too.
            budget = budget.checked_sub(text.len() + 1).ok_or(Code::Malformed)?;
            texts.push(text);
        }
    }
    Ok(texts)
}

/// Returns the values of a column; `None` if they exceed what is ever encoded.
fn values(column: &Column) -> Option<Vec<u64>> {
    match column {
        Column::Wide(values) => Some(values.iter().copied().map(u64::from_le_bytes).collect()),
        Column::Narrow(deltas) => {
            let mut last = 0_i64;
            let value = |delta: &i64| {
                last = last.checked_add(*delta)?;
                u64::try_from(last).ok()
            };
            deltas.iter().map(value).collect()
        }
    }
}

fn fill(template: &str, values: impl Iterator<Item = u64>, words: &[&str]) -> Option<String> {
    let (mut text, mut values) = (String::with_capacity(template.len() * 2), values);
    for c in template.chars() {
        match c {
            DECIMAL => text.push_str(&values.next()?.to_string()),
            HEX => text.push_str(&format!("{:x}", values.next()?)),
            WORD => text.push_str(words.get(usize::try_from(values.next()?).ok()?)?),
            _ => text.push(c),
        }
        if text.len() > TEXT_BYTES_MAX {
            return None;
        }
    }
    Some(text)
}
