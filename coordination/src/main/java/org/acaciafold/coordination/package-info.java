/** Manages leases, membership, allotments, claims and the settings in force in one deterministic state machine. */
package org.acaciafold.coordination;
