package org.clementinesail.server.proxy;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Keys of what a request shares with other requests: each part of its prompt, and the request as a
 * whole, which a caller may send again.
 */
final class RequestParts {
  /** Parts of a prompt that are followed, so that long lists of parts cost little. */
  private static final int MAX_PARTS = 64;

  private static final HashFunction HASH = Hashing.murmur3_128();

  private final HttpRequest head;
  private final ByteBuf body;
  private final List<String> promptParts;
  private @Nullable List<Long> sharedKeys;
  private @Nullable List<Long> allKeys;

  RequestParts(HttpRequest head, ByteBuf body, List<String> promptParts) {
    this.head = head;
    this.body = body;
    this.promptParts = promptParts;
  }

  /** Returns the keys of the shared parts of the prompt, which differ between services. */
  List<Long> sharedKeys(String service) {
    if (sharedKeys == null) {
      sharedKeys =
          promptParts.stream()
              .limit(MAX_PARTS)
              .map(part -> hasher("part", service, part).hash().asLong())
              .toList();
    }
    return sharedKeys;
  }

  /** Returns the keys of the shared parts and of the request as a whole. */
  List<Long> allKeys(String service, @Nullable String workspace) {
    if (allKeys == null) {
      List<Long> keys = new ArrayList<>(sharedKeys(service));
      keys.add(
          hasher("request", service, workspace == null ? "" : workspace)
              .putString(head.method().name() + " " + head.uri(), StandardCharsets.UTF_8)
              .putBytes(body.nioBuffer())
              .hash()
              .asLong());
      allKeys = List.copyOf(keys);
    }
    return allKeys;
  }

  private static Hasher hasher(String kind, String service, String name) {
    return HASH.newHasher()
        .putString(kind, StandardCharsets.UTF_8)
        .putChar('\n')
        .putString(service, StandardCharsets.UTF_8)
        .putChar('\n')
        .putString(name, StandardCharsets.UTF_8)
        .putChar('\n');
  }
}
