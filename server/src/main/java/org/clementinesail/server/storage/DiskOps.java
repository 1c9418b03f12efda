package org.clementinesail.server.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** All operations that change files; tests replace them to simulate disks that refuse some. */
interface DiskOps {
  /** Operations on the file system. */
  DiskOps REAL = new DiskOps() {};

  /** Creates an empty file, or empties it if it exists, and opens it. */
  default FileChannel create(Path file) throws IOException {
    return FileChannel.open(
        file,
        StandardOpenOption.CREATE,
        StandardOpenOption.TRUNCATE_EXISTING,
        StandardOpenOption.WRITE);
  }

  /** Opens the file whose lock guards the folder; creates it if it is missing. */
  default FileChannel openLock(Path file) throws IOException {
    return FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
  }

  /** Writes all bytes at the channel's position. */
  default void write(FileChannel channel, ByteBuffer bytes) throws IOException {
    while (bytes.hasRemaining()) {
      channel.write(bytes);
    }
  }

  /** Cuts a file to a length in bytes. */
  default void truncate(FileChannel channel, long length) throws IOException {
    channel.truncate(length);
  }

  /** Blocks until all written bytes are on the disk. */
  default void sync(FileChannel channel) throws IOException {
    channel.force(true);
  }

  /** Renames a file; replaces the one that has the name, if any. */
  default void move(Path from, Path to) throws IOException {
    Files.move(from, to, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }

  /** Deletes a file if it exists. */
  default void delete(Path file) throws IOException {
    Files.deleteIfExists(file);
  }
}
