package org.clementinesail.server.storage;

import java.nio.file.Path;
import org.jspecify.annotations.Nullable;

/** Root of the errors of the data folder. */
public class StorageException extends Exception {
  private static final long serialVersionUID = 1L;

  private final transient Path file;

  /**
   * Creates an exception.
   *
   * @param file file or folder that the error is about
   * @param message what was wrong
   * @param cause the error below, or null
   */
  public StorageException(Path file, String message, @Nullable Throwable cause) {
    super(file.getFileName() + ": " + message, cause);
    this.file = file;
  }

  /** Returns the file or folder that the error is about. */
  public Path file() {
    return file;
  }

  /** A record before the last one is damaged, so that accepted state may be missing. */
  public static final class Corrupted extends StorageException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param file the damaged file
     * @param message what was found
     */
    public Corrupted(Path file, String message) {
      super(file, message, null);
    }
  }
}
