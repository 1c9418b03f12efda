package org.clementinesail.core.pipeline;

/** Why a step did not come back. */
public enum StepFailure {
  /** No connection could be made; nothing was sent. */
  UNREACHABLE,
  /** The connection broke after the step was sent, as when the target's process dies. */
  CRASHED,
  /** Nothing came back within the progress deadline, on a fresh connection either. */
  SILENT,
  /** The target does not hold the positions that the step builds on. */
  CACHE_LOST,
  /** The target is alive but refuses the step. */
  REJECTED
}
