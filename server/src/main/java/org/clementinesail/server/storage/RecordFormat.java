package org.clementinesail.server.storage;

import com.google.common.hash.Hashing;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Framing of records: a mark, the length, a CRC-32C over length and payload, then the payload.
 *
 * <p>One record holds everything that is synced together, so that a write cut short damages the
 * last record only.
 */
final class RecordFormat {
  static final int HEADER_BYTES = 12;

  private static final int MAGIC = 0x434c5331;
  private static final int MAX_PAYLOAD_BYTES = 256 * 1_024 * 1_024;

  /**
   * The records of a file.
   *
   * @param payloads payloads of the good records before the first bad one
   * @param validBytes length of the good part
   * @param corrupted whether a good record stands behind the first bad one
   */
  record Scan(List<byte[]> payloads, long validBytes, boolean corrupted) {}

  private RecordFormat() {}

  static ByteBuffer frame(byte[] payload) {
    ByteBuffer out = ByteBuffer.allocate(HEADER_BYTES + payload.length);
    out.putInt(MAGIC).putInt(payload.length).putInt(checksum(payload)).put(payload);
    return out.flip();
  }

  static Scan scan(ByteBuffer file) {
    List<byte[]> payloads = new ArrayList<>();
    int offset = 0;
    while (offset < file.limit() && isValidRecord(file, offset)) {
      int length = file.getInt(offset + 4);
      byte[] payload = new byte[length];
      file.get(offset + HEADER_BYTES, payload);
      payloads.add(payload);
      offset += HEADER_BYTES + length;
    }
    return new Scan(payloads, offset, validRecordFollows(file, offset + 1));
  }

  private static boolean validRecordFollows(ByteBuffer file, int from) {
    for (int offset = from; offset + HEADER_BYTES <= file.limit(); offset++) {
      if (file.getInt(offset) == MAGIC && isValidRecord(file, offset)) {
        return true;
      }
    }
    return false;
  }

  private static boolean isValidRecord(ByteBuffer file, int offset) {
    if (offset + HEADER_BYTES > file.limit() || file.getInt(offset) != MAGIC) {
      return false;
    }
    int length = file.getInt(offset + 4);
    if (length < 0 || length > MAX_PAYLOAD_BYTES || length > file.limit() - offset - HEADER_BYTES) {
      return false;
    }
    byte[] payload = new byte[length];
    file.get(offset + HEADER_BYTES, payload);
    return file.getInt(offset + 8) == checksum(payload);
  }

  private static int checksum(byte[] payload) {
    return Hashing.crc32c().newHasher().putInt(payload.length).putBytes(payload).hash().asInt();
  }
}
