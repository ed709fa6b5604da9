/** The entry host: live request services, HTTP interfaces and the runtime of the state machine. */
package org.acaciafold.daemon;
