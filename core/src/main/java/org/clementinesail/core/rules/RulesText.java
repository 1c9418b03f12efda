package org.clementinesail.core.rules;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * The text and the number of a rule file.
 *
 * @param number number stated in the file; 0 before the first file
 * @param text whole text, empty before the first file
 */
public record RulesText(long number, String text) {
  /** The empty text, in force before any file is accepted. */
  public static final RulesText NONE = new RulesText(0, "");

  /** Returns the SHA-256 of the text, encoded in UTF-8, in hexadecimal digits. */
  public String digest() {
    return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
  }
}
