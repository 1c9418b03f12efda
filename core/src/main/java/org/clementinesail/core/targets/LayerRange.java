package org.clementinesail.core.targets;

/**
 * A range of consecutive layers of a model.
 *
 * @param from first layer, from 0
 * @param to one past the last layer
 */
public record LayerRange(int from, int to) {

  /** Refuses empty and negative ranges. */
  public LayerRange {
    if (from < 0 || to <= from) {
      throw new IllegalArgumentException(
          "layer range " + from + ".." + to + " is empty or negative; allowed is 0 <= from < to");
    }
  }

  /** Returns the number of layers. */
  public int size() {
    return to - from;
  }

  /**
   * Returns whether another range lies within this one.
   *
   * @param other the other range
   */
  public boolean contains(LayerRange other) {
    return from <= other.from && other.to <= to;
  }

  @Override
  public String toString() {
    return from + ".." + to;
  }
}
