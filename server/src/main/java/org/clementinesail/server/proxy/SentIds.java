package org.clementinesail.server.proxy;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/** The latest request ids that a connection has carried, and does not carry again. */
final class SentIds {
  private static final int MAX_IDS = 256;

  private final Set<String> ids = new LinkedHashSet<>();

  void add(String id) {
    ids.add(id);
    if (ids.size() > MAX_IDS) {
      ids.remove(ids.iterator().next());
    }
  }

  boolean contains(String id) {
    return ids.contains(id);
  }

  boolean contains(Optional<String> id) {
    return id.filter(ids::contains).isPresent();
  }
}
