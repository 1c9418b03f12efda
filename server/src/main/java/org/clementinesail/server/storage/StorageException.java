package org.clementinesail.server.storage;

import java.nio.file.Path;
import org.jspecify.annotations.Nullable;

/** Signals that a data folder or a file in it cannot be used. */
public class StorageException extends Exception {
  private static final long serialVersionUID = 1L;

  private final transient Path file;

  /**
   * Creates an exception.
   *
   * @param file file or folder at fault; its name starts the message
   * @param message reason of the failure
   * @param cause underlying exception, or null
   */
  public StorageException(Path file, String message, @Nullable Throwable cause) {
    super(file.getFileName() + ": " + message, cause);
    this.file = file;
  }

  /** Returns the file or folder at fault. */
  public Path file() {
    return file;
  }

  /**
   * Signals that a file is missing or invalid, so that accepted state may be lost. An invalid last
   * record of the log is not an error, because a truncated write leaves one.
   */
  public static final class Corrupted extends StorageException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param file missing or invalid file
     * @param message what is wrong with the file
     */
    public Corrupted(Path file, String message) {
      super(file, message, null);
    }
  }
}
