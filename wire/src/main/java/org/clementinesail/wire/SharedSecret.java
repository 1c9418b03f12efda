package org.clementinesail.wire;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.SecureRandom;

/** The secret that all VMs of a site share. It is never sent; it keys the handshake's HMAC. */
public final class SharedSecret {
  private static final int NONCE_BYTES = 32;

  private final byte[] secret;
  private final SecureRandom random = new SecureRandom();

  /**
   * Creates a secret from its text, without checking its length.
   *
   * @param secret the secret, which should have at least 16 characters
   */
  public SharedSecret(String secret) {
    this.secret = secret.getBytes(StandardCharsets.UTF_8);
  }

  ByteString newNonce() {
    byte[] nonce = new byte[NONCE_BYTES];
    random.nextBytes(nonce);
    return ByteString.copyFrom(nonce);
  }

  /**
   * Computes the HMAC-SHA-256 that one side of a handshake sends.
   *
   * @param role {@code client} or {@code server}, so that the MAC of one side is not valid for the
   *     other
   * @param serverNonce random bytes of the accepting VM
   * @param clientNonce random bytes of the connecting VM
   * @param identity the VM's name; a client appends {@code @} and its address
   */
  ByteString computeMac(
      String role, ByteString serverNonce, ByteString clientNonce, String identity) {
    Hasher hasher = Hashing.hmacSha256(secret).newHasher();
    hasher.putString(role, StandardCharsets.UTF_8).putByte((byte) 0);
    hasher.putBytes(serverNonce.toByteArray()).putBytes(clientNonce.toByteArray());
    hasher.putString(identity, StandardCharsets.UTF_8);
    return ByteString.copyFrom(hasher.hash().asBytes());
  }

  static boolean constantTimeEquals(ByteString a, ByteString b) {
    return MessageDigest.isEqual(a.toByteArray(), b.toByteArray());
  }

  @Override
  public String toString() {
    return "SharedSecret[hidden]";
  }
}
