//! Where a member's files are stored: a folder, or a stand-in that loses power on demand.

use std::fmt::Debug;
use std::fs;
use std::io;
use std::io::Write;
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

/// Holds files by name.
pub trait Medium: Debug + Send + Sync {
    /// Returns the names of all files, in no order.
    ///
    /// # Errors
    ///
    /// Fails if they can't be read.
    fn names(&self) -> io::Result<Vec<String>>;

    /// Opens a file, to read and sync it.
    ///
    /// # Errors
    ///
    /// Fails if there is none of that name.
    fn open(&self, name: &str) -> io::Result<Arc<dyn File>>;

    /// Reads a whole file.
    ///
    /// # Errors
    ///
    /// Fails if there is none of that name, or it can't be read.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Creates an empty file, or empties the one of that name.
    ///
    /// # Errors
    ///
    /// Fails if it can't be created.
    fn create(&self, name: &str) -> io::Result<Arc<dyn File>>;

    /// Renames a file, in place of the one that has the new name.
    ///
    /// # Errors
    ///
    /// Fails if there is none of that name.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// Fails if there is none of that name.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Returns once names that were created, changed or removed outlast a power loss.
    ///
    /// # Errors
    ///
    /// Fails if that can't be ensured.
    fn sync_names(&self) -> io::Result<()>;
}

/// A file.
pub trait File: Debug + Send + Sync {
    /// Reads bytes at an offset, fewer than asked for at the end of the file.
    ///
    /// # Errors
    ///
    /// Fails if they can't be read.
    fn read_at(&self, buffer: &mut [u8], offset: u64) -> io::Result<usize>;

    /// Writes bytes at the end. A part of them may be there after a failure.
    ///
    /// # Errors
    ///
    /// Fails if they can't all be written.
    fn append(&self, bytes: &[u8]) -> io::Result<()>;

    /// Returns once all that was written outlasts a power loss, whichever process wrote it.
    ///
    /// # Errors
    ///
    /// Fails if that can't be ensured.
    fn sync(&self) -> io::Result<()>;
}

/// A folder of the file system.
#[derive(Debug)]
pub struct Folder(PathBuf);

impl Folder {
    /// Opens a folder and creates it if there is none.
    ///
    /// # Errors
    ///
    /// Fails if it can't be created.
    pub fn open(path: &Path) -> io::Result<Arc<Self>> {
        fs::create_dir_all(path)?;
        Ok(Arc::new(Self(path.to_owned())))
    }
}

impl Medium for Folder {
    fn names(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.0)? {
            // A name that isn't text belongs to another program.
            names.extend(entry?.file_name().into_string().ok());
        }
        Ok(names)
    }

    fn open(&self, name: &str) -> io::Result<Arc<dyn File>> {
        Ok(Arc::new(fs::File::open(self.0.join(name))?))
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.0.join(name))
    }

    fn create(&self, name: &str) -> io::Result<Arc<dyn File>> {
        Ok(Arc::new(fs::File::create(self.0.join(name))?))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.0.join(from), self.0.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.0.join(name))
    }

    fn sync_names(&self) -> io::Result<()> {
        fs::File::open(&self.0)?.sync_all()
    }
}

impl File for fs::File {
    fn read_at(&self, buffer: &mut [u8], offset: u64) -> io::Result<usize> {
        FileExt::read_at(self, buffer, offset)
    }

    fn append(&self, bytes: &[u8]) -> io::Result<()> {
        let mut file = self;
        file.write_all(bytes)
    }

    fn sync(&self) -> io::Result<()> {
        self.sync_data()
    }
}
