package org.clementinesail.fakes;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A deterministic stand-in for a model: each layer mixes its input with what it has stored for the
 * earlier positions, so that a layer left out, run twice or out of order changes every later token.
 */
public final class FakeModel {
  private static final List<String> VOCABULARY =
      List.of(
          "fold ", "the ", "paper ", "along ", "its ", "middle ", "then ", "crease ", "each ",
          "wing ", "down ", "gently ", "and ", "lift ", "nose ", "twice ");

  private FakeModel() {}

  /** What one layer has stored for one request. */
  public static final class LayerCache {
    private final List<Long> prefixHashes = new ArrayList<>();

    /** Returns how many positions are stored. */
    public int size() {
      return prefixHashes.size();
    }

    /**
     * Runs the layer at a position; a position already stored is computed again, not stored again.
     *
     * @param layer number of the layer
     * @param position the position, at most {@link #size}
     * @param input output of the layer before
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
   * Splits a text into tokens.
   *
   * @param text the text
   */
  public static List<String> tokenize(String text) {
    List<String> tokens = new ArrayList<>();
    for (String word : text.strip().split("\\s+")) {
      tokens.add(word + " ");
    }
    return tokens;
  }

  /**
   * Returns the input of the first layer for a token.
   *
   * @param token the token
   */
  public static long embed(String token) {
    return Hashing.murmur3_128().hashString(token, StandardCharsets.UTF_8).asLong();
  }

  /**
   * Returns the token that the last layer's output stands for.
   *
   * @param output output of the last layer
   */
  public static String token(long output) {
    return VOCABULARY.get((int) Math.floorMod(output, (long) VOCABULARY.size()));
  }

  /**
   * Generates a text on one machine, as the reference for tests.
   *
   * @param prompt text of the prompt
   * @param layers number of layers
   * @param count tokens to generate
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
