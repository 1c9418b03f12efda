package org.clementinesail.server.storage;

import com.google.common.hash.Hashing;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Framing of records: a magic number, the payload length, a CRC-32C over length and payload, then
 * the payload. The header fields are 4 bytes each, in big-endian order.
 *
 * <p>One record holds everything that is synced together, so that a truncated write corrupts only
 * the last record.
 */
final class RecordFormat {
  static final int HEADER_BYTES = 12;

  private static final int MAGIC = 0x434c5331; // "CLS1" in ASCII
  private static final int MAX_PAYLOAD_BYTES = 256 * 1_024 * 1_024;

  /**
   * Result of reading a file.
   *
   * @param payloads payloads of the valid records before the first invalid one
   * @param validBytes length of these records in the file, in bytes
   * @param corrupted whether a valid record follows the first invalid one, which a truncated write
   *     cannot cause
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
