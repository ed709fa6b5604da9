package org.acaciafold.settings;

/**
 * The addresses of an entry host, sections {@code [listen]} and {@code [platform]}, each an IP number and a port.
 *
 * @param callers the address that callers connect to, {@code callers}
 * @param operators the address that operators connect to, {@code operators}
 * @param peers the address that peers connect to, {@code peers}
 * @param platform the address that the platform listens on, {@code address}
 */
public record HostAddresses(String callers, String operators, String peers, String platform) {}
