/** The entry host: request plane, HTTP interfaces and the runtime of the state machine. */
package org.acaciafold.daemon;
