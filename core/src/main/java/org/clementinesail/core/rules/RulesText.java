package org.clementinesail.core.rules;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * The text of a rule file with its number.
 *
 * @param number number that the file carries; 0 before the first file
 * @param text whole text
 */
public record RulesText(long number, String text) {
  /** The text in force before any file was accepted. */
  public static final RulesText NONE = new RulesText(0, "");

  /** Returns the SHA-256 of the text in hexadecimal digits. */
  public String digest() {
    return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
  }
}
