/** The model of a fleet: jobs, steps, workers, configuration, and the actions that the scheduler requests. */
package org.acaciafold.fleet;
