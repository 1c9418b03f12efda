package org.clementinesail.server.settings;

import java.util.List;

/** The outcome of reading a settings file. */
public sealed interface SettingsResult {

  /**
   * The settings are usable.
   *
   * @param settings the settings
   */
  record Valid(Settings settings) implements SettingsResult {}

  /**
   * The settings are refused.
   *
   * @param problems everything that is wrong, in the order of lines; never empty
   */
  record Invalid(List<SettingsProblem> problems) implements SettingsResult {}
}
