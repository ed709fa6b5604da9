/** Simulates patterns of load on the scheduler of the users' platform, with simulated workers and clock. */
package org.acaciafold.bench.load;
