package org.clementinesail.core.desired;

import java.util.List;
import java.util.Optional;

/**
 * Capacity and speed of the engines of a service, as given by the operator.
 *
 * @param slots number of requests that an engine runs concurrently
 * @param layers number of layers of the model
 * @param layerMegabytes memory of one layer in megabytes
 * @param kvBytesPerToken KV cache memory of one token over all layers, in bytes
 * @param stepMillis time of one token step over all layers, for a step factor of 1
 * @param perRequestMillis additional time of a step for each running request
 * @param contextMillisPerThousandTokens additional time of a step for each 1,000 tokens of context
 * @param prefillTokensPerSecond prompt tokens processed per second over all layers, for a prefill
 *     factor of 1
 * @param activationBytes bytes sent from one engine to the next for each token
 * @param linkMegabitsPerSecond bandwidth that all transfers between two data centres share, in
 *     megabits per second
 * @param meanPromptTokens mean length of a prompt in tokens
 * @param meanAnswerTokens mean length of an answer in tokens
 * @param accelerators kinds of accelerators that engines have
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
   * @param kind name of the kind
   * @param megabytes memory of one accelerator in megabytes
   * @param stepFactor how many times longer a step takes than stated in the model
   * @param prefillFactor how many times longer prefill takes than stated in the model
   */
  public record Accelerator(
      String kind, double megabytes, double stepFactor, double prefillFactor) {

    /**
     * Returns how many layers fit into the memory if nothing else uses it.
     *
     * @param layerMegabytes memory of one layer in megabytes
     */
    public int maxLayers(double layerMegabytes) {
      return (int) Math.floor(megabytes / layerMegabytes);
    }
  }

  /** Makes the list of accelerators immutable by copying it. */
  public EngineModel {
    accelerators = List.copyOf(accelerators);
  }

  /**
   * Returns a kind of accelerator, or empty if its name is unknown.
   *
   * @param kind name of the kind
   */
  public Optional<Accelerator> accelerator(String kind) {
    return accelerators.stream().filter(a -> a.kind().equals(kind)).findFirst();
  }
}
