package org.clementinesail.core.fleet;

/**
 * The 64-bit FNV-1a hash over 16-bit units, by which two VMs compare statements. It detects
 * differences between statements and is no protection against forgery.
 */
final class StatementDigest {
  private static final long OFFSET_BASIS = 0xcbf29ce484222325L;
  private static final long PRIME = 0x100000001b3L;

  private StatementDigest() {}

  static long start() {
    return OFFSET_BASIS;
  }

  /** Adds a text and its length, so that the limits between two texts count. */
  static long add(long hash, String text) {
    long result = add(hash, text.length());
    for (int i = 0; i < text.length(); i++) {
      result = (result ^ text.charAt(i)) * PRIME;
    }
    return result;
  }

  static long add(long hash, long number) {
    long result = hash;
    for (int shift = 0; shift < Long.SIZE; shift += Character.SIZE) {
      result = (result ^ (number >>> shift & 0xffff)) * PRIME;
    }
    return result;
  }
}
