/** Small stand-ins of the platform and of a worker, for tests and the demo. */
package org.acaciafold.standin;
