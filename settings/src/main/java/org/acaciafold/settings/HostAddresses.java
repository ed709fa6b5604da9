package org.acaciafold.settings;

/**
 * The addresses of an entry host, sections {@code [listen]} and {@code [platform]}, each an IP number and a port.
 *
 * @param callers where callers connect, {@code callers}
 * @param operators where operators connect, {@code operators}
 * @param peers where peers connect, {@code peers}
 * @param platform where the platform listens, {@code address}
 */
public record HostAddresses(String callers, String operators, String peers, String platform) {}
