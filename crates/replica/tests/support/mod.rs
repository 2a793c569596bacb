//! A stand-in for a disk that loses what was not synced.
#![allow(dead_code)] // each test file uses only a part of this module

pub mod vm;

use std::io;
use std::mem;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use replica::medium;
use replica::medium::Medium;

/// A disk whose power can fail.
#[derive(Clone, Debug, Default)]
pub struct Disk(Arc<Shared>);

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// Whether appends find space.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Space {
    #[default]
    Free,
    Full,
}

#[derive(Debug, Default)]
struct State {
    /// Files by name, sorted.
    names: Vec<(String, File)>,
    /// The names that a power loss leaves.
    synced_names: Vec<(String, File)>,
    /// Whether syncs wait.
    blocked: bool,
    /// How many syncs wait.
    waiting: usize,
    /// How many files were created.
    created: usize,
    /// Which of the next appends fails half-way, counted from zero.
    failing_append: Option<usize>,
    /// Whether the next sync of a file fails.
    failing_sync: bool,
    space: Space,
    /// Whether the process has no descriptors left to open files with.
    out_of_descriptors: bool,
}

/// A file of a stand-in disk.
#[derive(Clone, Debug)]
struct File {
    disk: Disk,
    content: Arc<Mutex<Content>>,
}

#[derive(Debug, Default)]
struct Content {
    bytes: Vec<u8>,
    synced: usize,
}

impl Disk {
    /// Returns the disk as a member's medium.
    pub fn medium(&self) -> Arc<dyn Medium> {
        Arc::new(self.clone())
    }

    /// Returns what is there after a power loss. The old disk stays as it is, for processes that still
    /// have it open.
    pub fn after_power_loss(&self) -> Self {
        let state = self.lock();
        let after = Self::default();
        for (name, file) in &state.synced_names {
            let content = file.lock();
            let bytes = content.bytes[..content.synced].to_vec();
            let content = Content {
                synced: bytes.len(),
                bytes,
            };
            let file = File {
                disk: after.clone(),
                content: Arc::new(Mutex::new(content)),
            };
            let mut new = after.lock();
            new.names.push((name.clone(), file.clone()));
            new.synced_names.push((name.clone(), file));
        }
        drop(state);
        after
    }

    /// Returns what the next process finds after this one was killed: all that was written, synced or not.
    /// The killed one's waiting syncs have no effect on it.
    pub fn clone_unsynced(&self) -> Self {
        let state = self.lock();
        let after = Self::default();
        let copy = |files: &[(String, File)]| -> Vec<(String, File)> {
            let copied = files.iter().map(|(name, file)| {
                let content = file.lock();
                let content = Content {
                    bytes: content.bytes.clone(),
                    synced: content.synced,
                };
                let file = File {
                    disk: after.clone(),
                    content: Arc::new(Mutex::new(content)),
                };
                (name.clone(), file)
            });
            copied.collect()
        };
        let names = copy(&state.names);
        // A name's file is the same one, whether its name was synced or not.
        let synced: Vec<&str> = state
            .synced_names
            .iter()
            .map(|file| file.0.as_str())
            .collect();
        let is_synced = |file: &&(String, File)| synced.contains(&file.0.as_str());
        let mut new = after.lock();
        new.synced_names = names.iter().filter(is_synced).cloned().collect();
        new.names = names;
        drop(new);
        after
    }

    /// Has all syncs wait from now on.
    pub fn block(&self) {
        self.lock().blocked = true;
    }

    /// Lets syncs go on.
    pub fn unblock(&self) {
        self.lock().blocked = false;
        self.0.changed.notify_all();
    }

    /// Returns once a sync waits.
    pub async fn wait_for_blocked_sync(&self) {
        while self.lock().waiting == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    /// Returns how many bytes all files have.
    pub fn bytes(&self) -> usize {
        let state = self.lock();
        let lengths = state.names.iter().map(|(_, file)| file.lock().bytes.len());
        lengths.sum()
    }

    /// Returns how many files were created.
    pub fn created(&self) -> usize {
        self.lock().created
    }

    /// Has the append after `count` others fail half-way.
    pub fn fail_append_after(&self, count: usize) {
        self.lock().failing_append = Some(count);
    }

    /// Has the next sync of a file fail. What it was to sync is dropped: zeroes are there after a power loss.
    pub fn fail_next_sync(&self) {
        self.lock().failing_sync = true;
    }

    /// Has all appends fail half-way from now on.
    pub fn fill(&self) {
        self.lock().space = Space::Full;
    }

    /// Makes room for appends.
    pub fn make_room(&self) {
        self.lock().space = Space::Free;
    }

    /// Has the process run out of descriptors: it opens no more files.
    pub fn use_up_descriptors(&self) {
        self.lock().out_of_descriptors = true;
    }

    /// Lets the process open files again.
    pub fn free_descriptors(&self) {
        self.lock().out_of_descriptors = false;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap()
    }

    fn pass_sync(&self) {
        let mut state = self.lock();
        state.waiting += 1;
        while state.blocked {
            state = self.0.changed.wait(state).unwrap();
        }
        state.waiting -= 1;
    }
}

impl State {
    fn find(&self, name: &str) -> io::Result<usize> {
        let found = self
            .names
            .binary_search_by(|file| file.0.as_str().cmp(name));
        found.map_err(|_| io::Error::from(io::ErrorKind::NotFound))
    }

    fn put(&mut self, name: &str, file: File) {
        let found = self
            .names
            .binary_search_by(|file| file.0.as_str().cmp(name));
        match found {
            Ok(at) => self.names[at].1 = file,
            Err(at) => self.names.insert(at, (name.to_owned(), file)),
        }
    }
}

impl File {
    fn lock(&self) -> MutexGuard<'_, Content> {
        self.content.lock().unwrap()
    }
}

impl Medium for Disk {
    fn names(&self) -> io::Result<Vec<String>> {
        let state = self.lock();
        Ok(state.names.iter().map(|file| file.0.clone()).collect())
    }

    fn open(&self, name: &str) -> io::Result<Arc<dyn medium::File>> {
        let state = self.lock();
        if state.out_of_descriptors {
            return Err(io::Error::other("too many open files"));
        }
        let at = state.find(name)?;
        Ok(Arc::new(state.names[at].1.clone()))
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let state = self.lock();
        let at = state.find(name)?;
        let content = state.names[at].1.lock();
        Ok(content.bytes.clone())
    }

    fn create(&self, name: &str) -> io::Result<Arc<dyn medium::File>> {
        let file = File {
            disk: self.clone(),
            content: Arc::default(),
        };
        let mut state = self.lock();
        state.created += 1;
        state.put(name, file.clone());
        Ok(Arc::new(file))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.lock();
        let at = state.find(from)?;
        let (_, file) = state.names.remove(at);
        state.put(to, file);
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut state = self.lock();
        let at = state.find(name)?;
        state.names.remove(at);
        Ok(())
    }

    fn sync_names(&self) -> io::Result<()> {
        self.pass_sync();
        let mut state = self.lock();
        let state = &mut *state;
        state.synced_names.clone_from(&state.names);
        Ok(())
    }
}

impl medium::File for File {
    fn read_at(&self, buffer: &mut [u8], offset: u64) -> io::Result<usize> {
        let content = self.lock();
        let from = usize::try_from(offset).unwrap().min(content.bytes.len());
        let bytes = &content.bytes[from..];
        let read = bytes.len().min(buffer.len());
        buffer[..read].copy_from_slice(&bytes[..read]);
        Ok(read)
    }

    fn append(&self, bytes: &[u8]) -> io::Result<()> {
        let fails = {
            let mut state = self.disk.lock();
            let fails = state.space == Space::Full || state.failing_append == Some(0);
            state.failing_append = state.failing_append.and_then(|left| left.checked_sub(1));
            fails
        };
        let mut content = self.lock();
        if fails {
            content.bytes.extend_from_slice(&bytes[..bytes.len() / 2]);
            return Err(io::Error::other("no space"));
        }
        content.bytes.extend_from_slice(bytes);
        Ok(())
    }

    fn sync(&self) -> io::Result<()> {
        self.disk.pass_sync();
        let fails = mem::take(&mut self.disk.lock().failing_sync);
        let mut content = self.lock();
        let from = content.synced;
        content.synced = content.bytes.len();
        if fails {
            content.bytes[from..].fill(0);
            return Err(io::Error::other("the disk failed"));
        }
        Ok(())
    }
}
