/** The command-line program {@code acaciafold}. */
package org.acaciafold.cli;
