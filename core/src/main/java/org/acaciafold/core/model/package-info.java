/** Identifiers, resources, jobs, time and errors shared by all modules. */
package org.acaciafold.core.model;
