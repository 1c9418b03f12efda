package org.clementinesail.core.desired;

import java.util.List;
import java.util.Optional;

/**
 * How the engines of a service behave, as the operator states it.
 *
 * @param slots requests that an engine runs at once
 * @param layers layers of the model
 * @param layerMegabytes memory of one layer
 * @param kvBytesPerToken memory of one token over all layers
 * @param stepMillis time of one token step over all layers at factor 1
 * @param perRequestMillis further time of a step for each request that is writing
 * @param contextMillisPerThousandTokens further time of a step for each 1,000 tokens of context
 * @param prefillTokensPerSecond prompt tokens read a second over all layers at factor 1
 * @param activationBytes bytes that each token sends from one engine to the next
 * @param linkMegabitsPerSecond bandwidth that all transfers between two data centres share
 * @param meanPromptTokens mean prompt
 * @param meanAnswerTokens mean answer
 * @param accelerators kinds of accelerators
 */
public record EngineModel(
    int slots,
    int layers,
    double layerMegabytes,
    double kvBytesPerToken,
    double stepMillis,
    double perRequestMillis,
    double contextMillisPerThousandTokens,
    double prefillTokensPerSecond,
    double activationBytes,
    double linkMegabitsPerSecond,
    int meanPromptTokens,
    int meanAnswerTokens,
    List<Accelerator> accelerators) {

  /**
   * A kind of accelerator.
   *
   * @param kind its name
   * @param megabytes its memory
   * @param stepFactor how many times longer a step takes
   * @param prefillFactor how many times longer reading takes
   */
  public record Accelerator(
      String kind, double megabytes, double stepFactor, double prefillFactor) {

    /**
     * Returns how many layers fit into the memory.
     *
     * @param layerMegabytes memory of one layer
     */
    public int maxLayers(double layerMegabytes) {
      return (int) Math.floor(megabytes / layerMegabytes);
    }
  }

  /** Copies the kinds. */
  public EngineModel {
    accelerators = List.copyOf(accelerators);
  }

  /**
   * Returns a kind of accelerator.
   *
   * @param kind name of the kind
   */
  public Optional<Accelerator> accelerator(String kind) {
    return accelerators.stream().filter(a -> a.kind().equals(kind)).findFirst();
  }
}
