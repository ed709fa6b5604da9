/** Benchmarks of placement decisions and placement policies. */
package org.acaciafold.bench;
