//! Truncated, corrupt, newer and locked files, full disks, and writes that fail at any point.

use redb::backends::InMemoryBackend;
use redb::{Builder, StorageBackend};
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{mpsc, Arc, Mutex};
use std::time::Duration;
use whinwall_override_store::storage_thread::{StorageThread, StoreReply};
use whinwall_override_store::{OverrideStore, WriteBatch};

fn batch_with_record(number: u64, text: &str) -> WriteBatch {
    WriteBatch { writes: vec![(number, text.into())], removals: vec![], stamp: b"stamp".to_vec() }
}

fn record_numbers(store: &mut OverrideStore) -> Vec<u64> {
    store.open().unwrap().records.into_iter().map(|(number, _)| number).collect()
}

fn store_file(folder: &Path) -> std::path::PathBuf {
    folder.join("overrides.redb")
}

#[test]
fn written_records_are_read_after_reopening() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("new/folder");
    let mut store = OverrideStore::new(path.clone());
    assert_eq!(store.open().unwrap().records, vec![]);
    for n in 0..20 {
        store.write(&batch_with_record(n, &format!("record {n}"))).unwrap();
    }
    store
        .write(&WriteBatch { removals: (0..15).collect(), stamp: b"later".to_vec(), ..WriteBatch::default() })
        .unwrap();
    drop(store);
    let found = OverrideStore::new(path).open().unwrap();
    assert_eq!(found.records[0], (15, b"record 15".to_vec()));
    assert_eq!((found.records.len(), found.stamp, found.set_aside), (5, Some(b"later".to_vec()), None));
}

#[test]
fn corrupt_file_is_set_aside_and_reported() {
    type Corrupt = fn(&Path);
    let corrupt: [(&str, Corrupt); 4] = [
        ("text", |path| std::fs::write(path, "no store at all, but long enough to be looked into").unwrap()),
        ("truncated", |path| {
            let bytes = std::fs::read(path).unwrap();
            std::fs::write(path, &bytes[..bytes.len() / 3]).unwrap();
        }),
        ("zeros", |path| {
            let bytes = std::fs::read(path).unwrap();
            std::fs::write(path, vec![0; bytes.len()]).unwrap();
        }),
        ("flipped bits", |path| {
            let mut bytes = std::fs::read(path).unwrap();
            bytes.iter_mut().skip(64).for_each(|byte| *byte ^= 0x5a);
            std::fs::write(path, bytes).unwrap();
        }),
    ];
    for (name, corrupt) in corrupt {
        let folder = tempfile::tempdir().unwrap();
        let mut store = OverrideStore::new(folder.path().into());
        store.open().unwrap();
        store.write(&batch_with_record(1, "one")).unwrap();
        drop(store);
        corrupt(&store_file(folder.path()));
        let mut store = OverrideStore::new(folder.path().into());
        let found = store.open().unwrap_or_else(|error| panic!("{name}: {error}"));
        assert!(found.set_aside.is_some_and(|file| file.to_string().contains("spoilt-1")), "{name}");
        assert_eq!(found.records, vec![], "{name}");
        store.write(&batch_with_record(2, "two")).unwrap();
        drop(store);
        assert_eq!(record_numbers(&mut OverrideStore::new(folder.path().into())), [2], "{name}");
        assert!(folder.path().join("overrides.redb.spoilt-1").exists(), "{name}: the corrupt file is kept");
    }
}

#[test]
fn newer_file_and_locked_file_are_unchanged() {
    let folder = tempfile::tempdir().unwrap();
    let mut first = OverrideStore::new(folder.path().into());
    first.open().unwrap();
    first.write(&batch_with_record(1, "one")).unwrap();
    assert!(OverrideStore::new(folder.path().into()).open().is_err(), "two stores opened one file");
    drop(first);
    let newer = redb::Database::open(store_file(folder.path())).unwrap();
    let write = newer.begin_write().unwrap();
    let meta = redb::TableDefinition::<&str, &[u8]>::new("meta");
    write.open_table(meta).unwrap().insert("form", 9u64.to_be_bytes().as_slice()).unwrap();
    write.commit().unwrap();
    drop(newer);
    let error = OverrideStore::new(folder.path().into()).open().unwrap_err();
    assert!(error.to_string().contains("file format 9"), "{error}");
    assert!(!folder.path().join("overrides.redb.spoilt-1").exists());
}

/// A disk whose writes fail once `writes_left` reaches 0, as on a full disk.
#[derive(Clone, Debug)]
struct FailingDisk {
    backend: Arc<Mutex<InMemoryBackend>>,
    writes_left: Arc<AtomicU64>,
}

impl FailingDisk {
    fn new() -> Self {
        FailingDisk { backend: Arc::default(), writes_left: Arc::new(AtomicU64::new(u64::MAX)) }
    }

    fn consume_write(&self) -> Result<(), std::io::Error> {
        let consumed =
            self.writes_left.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| left.checked_sub(1));
        consumed.map(|_| ()).map_err(|_| std::io::ErrorKind::StorageFull.into())
    }
}

impl StorageBackend for FailingDisk {
    fn len(&self) -> Result<u64, std::io::Error> {
        self.backend.lock().unwrap().len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), std::io::Error> {
        self.backend.lock().unwrap().read(offset, out)
    }

    fn set_len(&self, len: u64) -> Result<(), std::io::Error> {
        self.consume_write()?;
        self.backend.lock().unwrap().set_len(len)
    }

    fn sync_data(&self) -> Result<(), std::io::Error> {
        self.consume_write()
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), std::io::Error> {
        self.consume_write()?;
        self.backend.lock().unwrap().write(offset, data)
    }
}

fn store_on(disk: &FailingDisk, folder: &Path) -> OverrideStore {
    let disk = disk.clone();
    OverrideStore::with_opener(
        folder.into(),
        Box::new(move |_| Builder::new().create_with_backend(disk.clone())),
    )
}

/// Lets the disk fail at the first write, the second write and so on, until a batch succeeds. Acknowledged batches have
/// to be on disk, rejected ones not (unless only the last flush failed), and the store has to work again once the disk
/// has space.
#[test]
fn full_disk_rejects_writes_and_keeps_acknowledged_ones() {
    let folder = tempfile::tempdir().unwrap();
    let mut rejected_batches = 0;
    for permitted_writes in 0.. {
        let disk = FailingDisk::new();
        let mut store = store_on(&disk, folder.path());
        store.open().unwrap();
        store.write(&batch_with_record(1, "one")).unwrap();
        disk.writes_left.store(permitted_writes, Ordering::SeqCst);
        let written = store.write(&batch_with_record(2, "two"));
        disk.writes_left.store(u64::MAX, Ordering::SeqCst);
        store.write(&batch_with_record(3, "three")).unwrap();
        drop(store);
        let found = record_numbers(&mut store_on(&disk, folder.path()));
        match written {
            Ok(()) => {
                assert_eq!(found, [1, 2, 3]);
                break;
            }
            // If only the last flush failed, the batch may be on disk: its outcome is unknown.
            Err(_) => {
                assert!(found == [1, 3] || found == [1, 2, 3], "{found:?} after {permitted_writes} writes");
            }
        }
        rejected_batches += 1;
    }
    assert!(rejected_batches > 2, "only {rejected_batches} batches were rejected");
}

#[test]
fn storage_thread_retries_opening_and_replies_to_each_write() {
    let folder = tempfile::tempdir().unwrap();
    let mut lock_holder = OverrideStore::new(folder.path().into());
    lock_holder.open().unwrap();
    let (sender, replies) = mpsc::channel();
    let thread =
        StorageThread::spawn(OverrideStore::new(folder.path().into()), move |reply| _ = sender.send(reply))
            .unwrap();
    assert!(thread.request_open().is_ok());
    let timeout = Duration::from_secs(20);
    assert!(matches!(replies.recv_timeout(timeout).unwrap(), StoreReply::Unavailable(_)));
    drop(lock_holder);
    let is_opened = || matches!(replies.recv_timeout(timeout).unwrap(), StoreReply::Opened(_));
    while !is_opened() {}
    assert!(thread.request_write(7, batch_with_record(1, "one")).is_ok());
    assert_eq!(replies.recv_timeout(timeout).unwrap(), StoreReply::Written { serial: 7, outcome: Ok(()) });
}
