package org.acaciafold.settings;

/**
 * A value with its place in the text.
 *
 * @param value the value
 * @param line the line, from 1
 */
record IniValue(String value, int line) {}
