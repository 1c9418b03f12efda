package org.clementinesail.core.pipeline;

/** Reasons why a step has no result. */
public enum StepFailure {
  /** The connection to the target failed; nothing was sent. */
  UNREACHABLE,
  /** The connection broke after the step was sent, for example because the target crashed. */
  CRASHED,
  /** The target did not respond within the progress deadline, not even on a new connection. */
  SILENT,
  /** The target has not stored the positions that the step depends on. */
  CACHE_LOST,
  /** The target is reachable but rejected the step. */
  REJECTED
}
