package org.clementinesail.core.replication;

/**
 * One entry of the replicated log.
 *
 * @param index position in the log, from 1
 * @param term term of the leader that appended it
 * @param payload content of the entry
 */
public record LogEntry(long index, long term, Payload payload) {

  /** Returns the size of the command in bytes; 0 for an entry of another type, which is small. */
  long payloadBytes() {
    return payload instanceof Command command ? command.bytes().length : 0;
  }

  /** Content of an entry. */
  public sealed interface Payload {}

  /** Marks the start of a leader's term; committing it also commits all entries before it. */
  public record NoOp() implements Payload {}

  /**
   * Changes the configuration; takes effect at each replica as soon as it is appended.
   *
   * @param config the configuration from this entry on
   */
  public record Reconfigure(ReplicaConfig config) implements Payload {}

  /**
   * A command for the state machine.
   *
   * @param bytes the encoded command; not copied, must not be changed
   */
  @SuppressWarnings("ArrayRecordComponent")
  public record Command(byte[] bytes) implements Payload {}
}
