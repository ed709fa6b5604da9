/** HTTP clients of the platform table service, object store, host list and workers. */
package org.acaciafold.clients;
