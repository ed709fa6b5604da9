/** The scheduler of a fleet: tables of jobs and workers, and the systems that run over them each tick. */
package org.acaciafold.fleet.scheduling;
