/** The scheduler of a fleet: tables of jobs and workers, and the systems that process them in each tick. */
package org.acaciafold.fleet.scheduling;
