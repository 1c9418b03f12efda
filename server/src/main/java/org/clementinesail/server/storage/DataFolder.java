package org.clementinesail.server.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.BasicFileAttributes;
import java.security.SecureRandom;
import java.util.List;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/** Reads and writes the files of a data folder, which is locked while open. */
final class DataFolder implements AutoCloseable {
  private static final String IDENTITY_FILE = "identity";
  private static final String LOCK_FILE = "lock";
  private static final String TEMPORARY_SUFFIX = ".tmp";
  private static final int HEX_RADIX = 16;

  private final Path folder;
  private final DiskOps disk;
  private final FileChannel lockChannel;
  private long syncCount;
  private long bytesWritten;

  private DataFolder(Path folder, DiskOps disk, FileChannel lockChannel) {
    this.folder = folder;
    this.disk = disk;
    this.lockChannel = lockChannel;
  }

  static DataFolder open(Path folder, DiskOps disk) throws StorageException {
    FileChannel channel = null;
    try {
      channel = disk.openLock(folder.resolve(LOCK_FILE));
      FileLock fileLock = channel.tryLock();
      if (fileLock != null) {
        return new DataFolder(folder, disk, channel);
      }
      closeQuietly(channel);
      throw new StorageException(folder, "the data folder is in use by another process", null);
    } catch (OverlappingFileLockException e) {
      closeQuietly(channel);
      throw new StorageException(folder, "the data folder is already open in this process", e);
    } catch (IOException e) {
      closeQuietly(channel);
      throw new StorageException(folder, "cannot be locked: " + e.getMessage(), e);
    }
  }

  Path path(String name) {
    return folder.resolve(name);
  }

  Path folder() {
    return folder;
  }

  long syncCount() {
    return syncCount;
  }

  long bytesWritten() {
    return bytesWritten;
  }

  /**
   * Returns the random number that identifies the disk, which is written when the folder is first
   * used; never 0.
   */
  long readOrCreateIdentity(boolean snapshotExists) throws IOException, StorageException {
    Path path = path(IDENTITY_FILE);
    if (exists(path)) {
      String hex = new String(readRecord(path), StandardCharsets.US_ASCII);
      return Long.parseUnsignedLong(hex, HEX_RADIX);
    }
    if (snapshotExists) {
      throw new StorageException.Corrupted(
          path, "the file is missing although the folder holds a snapshot");
    }
    long identity = new SecureRandom().nextLong() | 1;
    replaceFile(IDENTITY_FILE, Long.toHexString(identity).getBytes(StandardCharsets.US_ASCII));
    return identity;
  }

  /**
   * Returns whether a file exists.
   *
   * @throws IOException if the disk does not tell, which {@link Files#exists} takes for "no"
   */
  static boolean exists(Path path) throws IOException {
    try {
      Files.readAttributes(path, BasicFileAttributes.class);
      return true;
    } catch (NoSuchFileException e) {
      return false;
    }
  }

  /** Deletes all files except the lock. */
  void discard() throws IOException {
    // Deletes the identity first: without it, files left by a crash here cannot be loaded as the
    // state of this replica.
    disk.delete(path(IDENTITY_FILE));
    syncFolder();
    for (Path file : files()) {
      if (!file.endsWith(LOCK_FILE)) {
        disk.delete(file);
      }
    }
    syncFolder();
  }

  byte[] readRecord(Path path) throws IOException, StorageException {
    RecordFormat.Scan scan = RecordFormat.scan(ByteBuffer.wrap(Files.readAllBytes(path)));
    if (scan.payloads().size() != 1) {
      throw new StorageException.Corrupted(path, "expected one record with a valid checksum");
    }
    return scan.payloads().get(0);
  }

  /** Replaces a whole file with one record; a crash leaves either the old or the new file. */
  void replaceFile(String name, byte[] payload) throws IOException {
    Path temporary = path(name + TEMPORARY_SUFFIX);
    try (FileChannel channel = create(temporary)) {
      append(channel, payload);
    }
    disk.move(temporary, path(name));
    syncFolder();
  }

  /** Deletes what refused writes have left, which takes room and is never read. */
  void deleteTemporaryFiles() throws IOException {
    for (Path file : files()) {
      if (file.getFileName().toString().endsWith(TEMPORARY_SUFFIX)) {
        delete(file);
      }
    }
  }

  FileChannel create(Path path) throws IOException {
    return disk.create(path);
  }

  void delete(Path path) throws IOException {
    disk.delete(path);
  }

  /** Cuts a file to a length in bytes; the next sync makes that durable. */
  void truncate(FileChannel channel, long length) throws IOException {
    disk.truncate(channel, length);
  }

  void append(FileChannel channel, byte[] payload) throws IOException {
    ByteBuffer frame = RecordFormat.frame(payload);
    bytesWritten += frame.remaining();
    disk.write(channel, frame);
    sync(channel);
  }

  void sync(FileChannel channel) throws IOException {
    disk.sync(channel);
    syncCount++;
  }

  List<Path> files() throws IOException {
    try (Stream<Path> list = Files.list(folder)) {
      return list.toList();
    }
  }

  @Override
  public void close() {
    closeQuietly(lockChannel);
  }

  /** Syncs the names of the files: those that were created, renamed or deleted. */
  void syncFolder() throws IOException {
    try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
      sync(channel);
    }
  }

  static void closeQuietly(@Nullable FileChannel channel) {
    try {
      if (channel != null) {
        channel.close();
      }
    } catch (IOException e) {
      // Loses no data, because every save was synced before.
    }
  }
}
