/** What is scheduled and where: jobs, steps, workers, configuration and the orders that follow from decisions. */
package org.acaciafold.fleet;
