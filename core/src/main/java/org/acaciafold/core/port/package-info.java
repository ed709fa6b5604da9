/** Typed messages exchanged with the table service, the host list, the workers and peer entry hosts. */
package org.acaciafold.core.port;
