package org.clementinesail.server.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;

/** The writing operations on a file, so that tests can let a disk fail. */
interface DiskOps {
  /** Operations on a real disk. */
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

  /** Returns once everything written is on the disk. */
  void sync(FileChannel channel) throws IOException;
}
