package org.acaciafold.settings;

/**
 * A value and its position in the INI text.
 *
 * @param value the value
 * @param line the line number, starting at 1
 */
record IniValue(String value, int line) {}
