/** Patterns of load on the scheduler of the users' platform, over simulated workers on a simulated clock. */
package org.acaciafold.bench.load;
