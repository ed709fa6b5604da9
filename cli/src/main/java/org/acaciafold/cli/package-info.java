/** The command line. */
package org.acaciafold.cli;
