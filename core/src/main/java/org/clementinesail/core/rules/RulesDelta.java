package org.clementinesail.core.rules;

import com.github.difflib.DiffUtils;
import com.github.difflib.patch.AbstractDelta;
import com.google.common.base.Joiner;
import com.google.common.base.Splitter;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The difference between two rule files, so that only the changed lines need to be sent.
 *
 * <pre>{@code
 * RulesDelta delta = RulesDelta.between(older, newer);
 * Optional<RulesText> rebuilt = delta.applyTo(older);
 * }</pre>
 *
 * @param base number of the older file
 * @param number number of the newer file
 * @param digest SHA-256 of the newer text in hexadecimal digits
 * @param hunks changed line ranges in the order of the older file
 */
public record RulesDelta(long base, long number, String digest, List<Hunk> hunks) {

  /**
   * Consecutive lines of the older file and the lines that replace them.
   *
   * @param start zero-based line of the older file where the change begins
   * @param removed number of lines of the older file that are removed, from 0
   * @param added lines that replace them; may be empty
   */
  public record Hunk(int start, int removed, List<String> added) {}

  /**
   * Computes the difference between two files.
   *
   * @param older the file that the receiver has
   * @param newer the file that {@link #applyTo} rebuilds from it
   */
  public static RulesDelta between(RulesText older, RulesText newer) {
    List<Hunk> hunks = new ArrayList<>();
    for (AbstractDelta<String> change : DiffUtils.diff(lines(older), lines(newer)).getDeltas()) {
      hunks.add(
          new Hunk(
              change.getSource().getPosition(),
              change.getSource().size(),
              List.copyOf(change.getTarget().getLines())));
    }
    return new RulesDelta(older.number(), newer.number(), newer.digest(), hunks);
  }

  /**
   * Rebuilds the newer file.
   *
   * @param older the file that the delta was computed from
   * @return the newer file, or empty if the given file is another one or the result does not match
   *     the digest
   */
  public Optional<RulesText> applyTo(RulesText older) {
    if (older.number() != base) {
      return Optional.empty();
    }
    List<String> source = lines(older);
    List<String> result = new ArrayList<>();
    int next = 0;
    for (Hunk hunk : hunks) {
      if (hunk.start < next || hunk.start + hunk.removed > source.size()) {
        return Optional.empty();
      }
      result.addAll(source.subList(next, hunk.start));
      result.addAll(hunk.added);
      next = hunk.start + hunk.removed;
    }
    result.addAll(source.subList(next, source.size()));
    RulesText rebuilt = new RulesText(number, Joiner.on('\n').join(result));
    return rebuilt.digest().equals(digest) ? Optional.of(rebuilt) : Optional.empty();
  }

  private static List<String> lines(RulesText file) {
    return Splitter.on('\n').splitToList(file.text());
  }
}
