package org.clementinesail.core.rules;

import org.jspecify.annotations.Nullable;

/**
 * One parsed line of a rule file, with its line number and the comment that names who asked for it.
 */
public sealed interface Rule {

  /** Returns the one-based line number in the rule file. */
  int line();

  /** Returns the comment that names who asked for the rule, without the leading {@code #}. */
  String requester();

  /**
   * Sends calls of a workspace to a model or a service.
   *
   * @param line one-based line number
   * @param requester comment that names who asked for the rule
   * @param workspace workspace name, or {@code *} for every workspace
   * @param kind whether {@code destination} names a model or a service
   * @param destination model or service name
   * @param dataCentre preferred data centre, or null for no preference
   * @param priority priority class of the calls
   */
  record Route(
      int line,
      String requester,
      String workspace,
      DestinationKind kind,
      String destination,
      @Nullable String dataCentre,
      Priority priority)
      implements Rule {}

  /**
   * Limits the requests of a workspace.
   *
   * @param line one-based line number
   * @param requester comment that names who asked for the rule
   * @param workspace workspace name, or {@code *} for workspaces without a limit of their own
   * @param requestsPerSecond maximum number of admitted requests per second on each VM
   * @param concurrent maximum number of requests in progress on each VM
   */
  record Limit(
      int line, String requester, String workspace, double requestsPerSecond, int concurrent)
      implements Rule {}

  /**
   * States whether calls of a service may be repeated, for all paths with a prefix.
   *
   * @param line one-based line number
   * @param requester comment that names who asked for the rule
   * @param service service name
   * @param method HTTP method, or {@code *} for every method
   * @param pathPrefix path prefix within the service, starting with a slash
   * @param repeatable whether a call may run more than once without harm
   */
  record Call(
      int line,
      String requester,
      String service,
      String method,
      String pathPrefix,
      boolean repeatable)
      implements Rule {}

  /**
   * Excludes a target from new work.
   *
   * @param line one-based line number
   * @param requester comment that names who asked for the rule
   * @param target target name
   */
  record Drain(int line, String requester, String target) implements Rule {}

  /**
   * Requests a number of full copies of a model.
   *
   * @param line one-based line number
   * @param requester comment that names who asked for the rule
   * @param model model name
   * @param replicas number of full copies, at least 1
   */
  record Want(int line, String requester, String model, int replicas) implements Rule {}

  /** Kind of a route's destination. */
  enum DestinationKind {
    /** A model, which a chain of engines runs. */
    MODEL,
    /** A service that is not a model. */
    SERVICE
  }

  /** Priority class of a workspace's calls; the constants are in order of falling urgency. */
  enum Priority {
    /** Calls whose answer a person waits for. */
    INTERACTIVE,
    /** Calls of routes without a class. */
    NORMAL,
    /** Calls that may wait. */
    BATCH
  }
}
