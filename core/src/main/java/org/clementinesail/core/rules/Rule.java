package org.clementinesail.core.rules;

import org.jspecify.annotations.Nullable;

/** One parsed line of a rule file; every rule keeps its line number and who asked for it. */
public sealed interface Rule {

  /** Returns the one-based line number in the rule file. */
  int line();

  /** Returns the text of the comment that names who asked for the rule. */
  String requester();

  /**
   * Sends calls of a workspace to a model or a service.
   *
   * @param line one-based line number
   * @param requester who asked for the rule
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
   * Bounds what one workspace may have in use.
   *
   * @param line one-based line number
   * @param requester who asked for the rule
   * @param workspace workspace name, or {@code *} for workspaces without a limit of their own
   * @param requestsPerSecond admitted requests a second on each VM
   * @param concurrent requests in progress at once on each VM
   */
  record Limit(
      int line, String requester, String workspace, double requestsPerSecond, int concurrent)
      implements Rule {}

  /**
   * States whether the calls below a path of a service may be repeated.
   *
   * @param line one-based line number
   * @param requester who asked for the rule
   * @param service service name
   * @param method HTTP method, or {@code *} for every method
   * @param pathPrefix path prefix within the service, starting with a slash
   * @param repeatable whether a call may run more than once
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
   * Keeps new work away from a target.
   *
   * @param line one-based line number
   * @param requester who asked for the rule
   * @param target target name
   */
  record Drain(int line, String requester, String target) implements Rule {}

  /**
   * Asks for a number of targets that hold a model.
   *
   * @param line one-based line number
   * @param requester who asked for the rule
   * @param model model name
   * @param replicas full copies of the model wanted
   */
  record Want(int line, String requester, String model, int replicas) implements Rule {}

  /** What a route leads to. */
  enum DestinationKind {
    /** A model that is run by a chain of engines. */
    MODEL,
    /** A plain service. */
    SERVICE
  }

  /** Priority class of a workspace's calls, from most to least urgent. */
  enum Priority {
    /** A person waits for the answer. */
    INTERACTIVE,
    /** The default. */
    NORMAL,
    /** Work that may wait. */
    BATCH
  }
}
