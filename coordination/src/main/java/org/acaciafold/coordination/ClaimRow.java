package org.acaciafold.coordination;

import java.util.Optional;

import com.fasterxml.jackson.annotation.JsonIgnore;

/**
 * The table row of an idempotency key.
 *
 * @param claim the identifier of the attempt that holds the key, unique across all entry hosts and their incarnations
 * @param digest the digest of the request
 * @param abandoned true when the attempt provably did not run, so that the key may be claimed again
 * @param outcome the outcome, empty while it is unknown
 */
record ClaimRow(String claim, String digest, boolean abandoned, Optional<StoredOutcome> outcome) {
    static ClaimRow of(String claim, String digest) {
        return new ClaimRow(claim, digest, false, Optional.empty());
    }

    ClaimRow abandon() {
        return new ClaimRow(claim, digest, true, Optional.empty());
    }

    @JsonIgnore
    boolean heldBy(String attempt) {
        return claim.equals(attempt);
    }

    ClaimRow settle(StoredOutcome value) {
        return new ClaimRow(claim, digest, false, Optional.of(value));
    }
}
