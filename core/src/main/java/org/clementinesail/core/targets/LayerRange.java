package org.clementinesail.core.targets;

/**
 * A range of consecutive layers of a model, such as {@code 0..16}.
 *
 * @param from first layer; layers count from 0
 * @param to last layer plus 1
 */
public record LayerRange(int from, int to) {

  /**
   * Creates a range.
   *
   * @throws IllegalArgumentException if the range is empty or starts below 0
   */
  public LayerRange {
    if (from < 0 || to <= from) {
      throw new IllegalArgumentException(
          "layer range " + from + ".." + to + " is empty or negative; allowed is 0 <= from < to");
    }
  }

  /** Returns the number of layers, at least 1. */
  public int size() {
    return to - from;
  }

  /**
   * Returns whether this range includes all layers of another.
   *
   * @param other range of the same model
   */
  public boolean contains(LayerRange other) {
    return from <= other.from && other.to <= to;
  }

  @Override
  public String toString() {
    return from + ".." + to;
  }
}
