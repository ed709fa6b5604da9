package org.acaciafold.settings;

/**
 * A key of a workspace or of the operators, stored only as a salted hash.
 *
 * @param id the public part of the key, before its dot
 * @param salt the salt in hexadecimal
 * @param hash the hash of salt and secret in hexadecimal
 */
public record KeyHash(String id, String salt, String hash) {}
