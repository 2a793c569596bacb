use std::fs;
use std::fs::OpenOptions;
use std::io::Write;
use std::path::PathBuf;

use bytes::Bytes;
use rstest::rstest;

use super::Entry;
use super::Identity;
use super::open;
use crate::record;
use crate::record::Key;
use crate::record::Record;
use crate::record::Turn;

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("disk-{}-{name}", std::process::id()));
        Self(path)
    }

    fn segments(&self) -> Vec<PathBuf> {
        let entries = fs::read_dir(&self.0)
            .unwrap()
            .map(|entry| entry.unwrap().path());
        let mut paths: Vec<PathBuf> = entries
            .filter(|path| path.to_string_lossy().contains("segment-"))
            .collect();
        paths.sort();
        paths
    }

    fn records(&self) -> Vec<Record> {
        let mut records = Vec::new();
        open(&self.0, 100_000_000, &mut |found: Entry| {
            records.push(found.record);
        })
        .unwrap();
        records
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // Left behind only if the test failed early.
        let _absent = fs::remove_dir_all(&self.0);
    }
}

fn turn(number: u128) -> Record {
    Record::Turn(Turn {
        key: Key(number),
        previous: None,
        text: Bytes::from(vec![b'x'; 500]),
    })
}

async fn write(folder: &Folder, numbers: std::ops::Range<u128>) {
    let opened = open(&folder.0, 100_000_000, &mut |_| {}).unwrap();
    for number in numbers {
        let frame = record::encode_frame(&turn(number)).unwrap();
        let locations = opened.disk.append(vec![frame]).await.unwrap();
        assert_eq!(opened.disk.read(locations[0]).unwrap(), turn(number));
    }
}

/// The power fails while a record is written, so that its end is missing or replaced by other
/// bytes. After the start, everything that was answered is there and the torn record isn't. What is
/// written after that start is found after the next one.
#[rstest]
#[case::cut_short("cut", |bytes: &mut Vec<u8>| bytes.truncate(bytes.len() - 7))]
#[case::zeroes("zeroes", |bytes: &mut Vec<u8>| { let at = bytes.len() - 100; bytes[at..].fill(0); })]
#[case::one_byte("byte", |bytes: &mut Vec<u8>| { let at = bytes.len() - 1; bytes[at] ^= 1; })]
#[tokio::test]
async fn torn_end_is_not_read_as_a_record(#[case] name: &str, #[case] tear: fn(&mut Vec<u8>)) {
    let folder = Folder::new(name);
    write(&folder, 0..4).await;
    let segment = folder.segments().pop().unwrap();
    let mut bytes = fs::read(&segment).unwrap();
    tear(&mut bytes);
    fs::write(&segment, bytes).unwrap();
    assert_eq!(folder.records(), [turn(0), turn(1), turn(2)]);
    write(&folder, 7..9).await;
    assert_eq!(
        folder.records(),
        [turn(0), turn(1), turn(2), turn(7), turn(8)]
    );
}

/// Bytes that are no record follow the last one, as after a power loss during a later write.
#[tokio::test]
async fn garbage_after_the_last_record_is_skipped() {
    let folder = Folder::new("rubbish");
    write(&folder, 0..2).await;
    let segment = folder.segments().pop().unwrap();
    let mut file = OpenOptions::new().append(true).open(segment).unwrap();
    file.write_all(&[0xAB; 64]).unwrap();
    assert_eq!(folder.records(), [turn(0), turn(1)]);
}

#[tokio::test]
async fn identity_survives_a_restart() {
    let folder = Folder::new("identity");
    let identity = Identity {
        disk: 7,
        ready: 3,
        ..Identity::default()
    };
    let opened = open(&folder.0, 100_000_000, &mut |_| {}).unwrap();
    assert_eq!(opened.identity, None);
    opened.disk.write_identity(&identity).await.unwrap();
    let opened = open(&folder.0, 100_000_000, &mut |_| {}).unwrap();
    assert_eq!(opened.identity, Some(identity));
}

/// The disk fills. The oldest records, which nobody continues any more, are removed and writing
/// goes on.
#[tokio::test]
async fn oldest_segments_are_removed_when_the_disk_fills() {
    let folder = Folder::new("full");
    let opened = open(&folder.0, 30_000_000, &mut |_| {}).unwrap();
    for number in 0..40 {
        let record = Record::Turn(Turn {
            key: Key(number),
            previous: None,
            text: Bytes::from(vec![b'x'; 1_000_000]),
        });
        let frame = record::encode_frame(&record).unwrap();
        opened.disk.append(vec![frame]).await.unwrap();
    }
    let used: u64 = folder
        .segments()
        .iter()
        .map(|path| fs::metadata(path).unwrap().len())
        .sum();
    assert!(used < 30_000_000, "{used}");
    assert!(
        opened
            .events
            .try_iter()
            .any(|event| matches!(event, super::SegmentEvent::Removed(1)))
    );
}
