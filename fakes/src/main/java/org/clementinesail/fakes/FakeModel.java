package org.clementinesail.fakes;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A deterministic stand-in for a language model. Each layer hashes its input with its state of the
 * previous position, so a layer that is skipped, run twice or run out of order changes all later
 * tokens.
 */
public final class FakeModel {
  private static final List<String> VOCABULARY =
      List.of(
          "fold ", "the ", "paper ", "along ", "its ", "middle ", "then ", "crease ", "each ",
          "wing ", "down ", "gently ", "and ", "lift ", "nose ", "twice ");

  private FakeModel() {}

  /** State of one layer for one request, one hash per position, like a KV cache. */
  public static final class LayerCache {
    private final List<Long> prefixHashes = new ArrayList<>();

    /** Returns the number of positions stored. */
    public int size() {
      return prefixHashes.size();
    }

    /**
     * Returns the layer's output at a position and stores it unless the position is stored already.
     *
     * @param layer index of the layer, from 0
     * @param position index of the token, from 0 to {@link #size}
     * @param input output of the previous layer, or the embedding of the token for the first layer
     */
    public long run(int layer, int position, long input) {
      long before = position == 0 ? 0 : prefixHashes.get(position - 1);
      long prefix = combineHashes(combineHashes(before, input), layer);
      if (position == prefixHashes.size()) {
        prefixHashes.add(prefix);
      }
      return prefix;
    }
  }

  /**
   * Splits a text at white space into words, each with a trailing space.
   *
   * @param text text to split
   */
  public static List<String> tokenize(String text) {
    List<String> tokens = new ArrayList<>();
    for (String word : text.strip().split("\\s+")) {
      tokens.add(word + " ");
    }
    return tokens;
  }

  /**
   * Returns the embedding of a token: a 64-bit hash, the input of the first layer.
   *
   * @param token token with its trailing space
   */
  public static long embed(String token) {
    return Hashing.murmur3_128().hashString(token, StandardCharsets.UTF_8).asLong();
  }

  /**
   * Returns the token that an output selects from the vocabulary.
   *
   * @param output output of the last layer; any value is allowed
   */
  public static String token(long output) {
    return VOCABULARY.get((int) Math.floorMod(output, (long) VOCABULARY.size()));
  }

  /**
   * Generates a text with all layers in one process, as the expected result for tests.
   *
   * @param prompt prompt text
   * @param layers number of layers of the model
   * @param count number of tokens to generate
   */
  public static String generate(String prompt, int layers, int count) {
    List<String> tokens = new ArrayList<>(tokenize(prompt));
    List<LayerCache> caches = new ArrayList<>();
    for (int i = 0; i < layers; i++) {
      caches.add(new LayerCache());
    }
    StringBuilder text = new StringBuilder();
    int position = 0;
    for (int n = 0; n < count; n++) {
      long output = 0;
      for (; position < tokens.size(); position++) {
        output = embed(tokens.get(position));
        for (int layer = 0; layer < layers; layer++) {
          output = caches.get(layer).run(layer, position, output);
        }
      }
      tokens.add(token(output));
      text.append(token(output));
    }
    return text.toString();
  }

  private static long combineHashes(long a, long b) {
    return Hashing.murmur3_128().newHasher().putLong(a).putLong(b).hash().asLong();
  }
}
