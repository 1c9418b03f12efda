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

  private static final int MARK = 0x434c5331;
  private static final int MAX_PAYLOAD_BYTES = 256 * 1_024 * 1_024;

  /**
   * The records of a file.
   *
   * @param payloads payloads of the good records before the first bad one
   * @param goodBytes length of the good part
   * @param damaged whether a good record stands behind the first bad one
   */
  record Scan(List<byte[]> payloads, long goodBytes, boolean damaged) {}

  private RecordFormat() {}

  static ByteBuffer frame(byte[] payload) {
    ByteBuffer out = ByteBuffer.allocate(HEADER_BYTES + payload.length);
    out.putInt(MARK).putInt(payload.length).putInt(checksum(payload)).put(payload);
    return out.flip();
  }

  static Scan scan(ByteBuffer file) {
    List<byte[]> payloads = new ArrayList<>();
    int at = 0;
    while (at < file.limit() && isRecord(file, at)) {
      int length = file.getInt(at + 4);
      byte[] payload = new byte[length];
      file.get(at + HEADER_BYTES, payload);
      payloads.add(payload);
      at += HEADER_BYTES + length;
    }
    return new Scan(payloads, at, recordFollows(file, at + 1));
  }

  private static boolean recordFollows(ByteBuffer file, int from) {
    for (int at = from; at + HEADER_BYTES <= file.limit(); at++) {
      if (file.getInt(at) == MARK && isRecord(file, at)) {
        return true;
      }
    }
    return false;
  }

  private static boolean isRecord(ByteBuffer file, int at) {
    if (at + HEADER_BYTES > file.limit() || file.getInt(at) != MARK) {
      return false;
    }
    int length = file.getInt(at + 4);
    if (length < 0 || length > MAX_PAYLOAD_BYTES || length > file.limit() - at - HEADER_BYTES) {
      return false;
    }
    byte[] payload = new byte[length];
    file.get(at + HEADER_BYTES, payload);
    return file.getInt(at + 8) == checksum(payload);
  }

  private static int checksum(byte[] payload) {
    return Hashing.crc32c().newHasher().putInt(payload.length).putBytes(payload).hash().asInt();
  }
}
