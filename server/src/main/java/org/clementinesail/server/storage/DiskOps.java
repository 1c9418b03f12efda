package org.clementinesail.server.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;

/** Write and sync operations on a file; tests replace them to simulate disk failures. */
interface DiskOps {
  /** Operations on the file system. */
  DiskOps REAL =
      new DiskOps() {
        @Override
        public void write(FileChannel channel, ByteBuffer bytes) throws IOException {
          while (bytes.hasRemaining()) {
            channel.write(bytes);
          }
        }

        @Override
        public void sync(FileChannel channel) throws IOException {
          channel.force(true);
        }
      };

  /** Writes all bytes at the channel's position. */
  void write(FileChannel channel, ByteBuffer bytes) throws IOException;

  /** Blocks until all written bytes are on the disk. */
  void sync(FileChannel channel) throws IOException;
}
