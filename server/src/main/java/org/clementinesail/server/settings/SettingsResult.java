package org.clementinesail.server.settings;

import java.util.List;

/** Result of reading a settings file. */
public sealed interface SettingsResult {

  /**
   * The file has no problems.
   *
   * @param settings the settings, with defaults for keys that the file omits
   */
  record Valid(Settings settings) implements SettingsResult {}

  /**
   * The file has problems.
   *
   * @param problems all problems, in the order of lines; never empty
   */
  record Invalid(List<SettingsProblem> problems) implements SettingsResult {}
}
