package org.clementinesail.core.rules;

import java.util.Collection;
import java.util.Optional;

/** Finds the allowed word that is closest to a misspelt one, for suggestions in error messages. */
public final class NearestWord {
  /** Largest edit distance at which a word is suggested. */
  private static final int MAX_DISTANCE = 3;

  private NearestWord() {}

  /**
   * Returns the allowed word with the smallest edit distance, or empty if every distance is above
   * 3.
   *
   * @param word the unknown word
   * @param allowed the allowed words; the first of several equally close words is returned
   */
  public static Optional<String> find(String word, Collection<String> allowed) {
    String best = null;
    int bestDistance = MAX_DISTANCE + 1;
    for (String candidate : allowed) {
      int distance = editDistance(word, candidate);
      if (distance < bestDistance) {
        bestDistance = distance;
        best = candidate;
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * Returns the end of an error message, such as {@code "; did you mean 'route'?"}, or an empty
   * string if no allowed word is close.
   *
   * @param word the unknown word
   * @param allowed the allowed words
   */
  public static String didYouMean(String word, Collection<String> allowed) {
    return find(word, allowed).map(s -> "; did you mean '" + s + "'?").orElse("");
  }

  private static int editDistance(String a, String b) {
    int[] previous = new int[b.length() + 1];
    int[] current = new int[b.length() + 1];
    for (int j = 0; j <= b.length(); j++) {
      previous[j] = j;
    }
    for (int i = 1; i <= a.length(); i++) {
      current[0] = i;
      for (int j = 1; j <= b.length(); j++) {
        int substitution = previous[j - 1] + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
        current[j] = Math.min(substitution, 1 + Math.min(previous[j], current[j - 1]));
      }
      int[] swap = previous;
      previous = current;
      current = swap;
    }
    return previous[b.length()];
  }
}
