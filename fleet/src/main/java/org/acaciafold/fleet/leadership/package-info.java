/** When a host may act as the leader, and when another may take its place. */
package org.acaciafold.fleet.leadership;
