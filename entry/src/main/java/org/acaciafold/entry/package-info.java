/** The entry host on the users' platform: client API, leadership and the runtime of the scheduler. */
package org.acaciafold.entry;
