/** The entry host on the users' platform: consumers' interface, leadership and the runtime of the scheduler. */
package org.acaciafold.entry;
