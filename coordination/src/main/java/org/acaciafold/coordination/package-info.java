/** Leases, membership, allotments, claims and settings in force, as one deterministic state machine. */
package org.acaciafold.coordination;
