package org.acaciafold.wire;

/**
 * One header of a relayed request or response.
 *
 * @param name the name in lower case
 * @param value the value
 */
public record Header(String name, String value) {}
