/** The rules by which a host may act as the leader, and by which another host may replace it. */
package org.acaciafold.fleet.leadership;
