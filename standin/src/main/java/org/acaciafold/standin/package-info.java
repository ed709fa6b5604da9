/** Emulates the platform and workers for tests and the demo. */
package org.acaciafold.standin;
