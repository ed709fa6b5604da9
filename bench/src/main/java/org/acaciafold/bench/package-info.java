/** Benchmarks of decisions and of policies. */
package org.acaciafold.bench;
