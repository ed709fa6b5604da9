package org.acaciafold.cli;

import org.apache.commons.cli.Options;

/**
 * A command of the command line.
 *
 * @param name the name, one or two words
 * @param arguments the names of the arguments, in capitals, separated by spaces
 * @param summary a one-line description
 * @param options the options besides {@code --help}
 * @param action the implementation
 */
record Command(String name, String arguments, String summary, Options options, Action action) {
    /** Returns the number of required arguments. */
    int argumentCount() {
        return arguments.isEmpty() ? 0 : arguments.split(" ").length;
    }

    /** The implementation of a command. */
    @FunctionalInterface
    interface Action {
        /**
         * Runs the command.
         *
         * @param invocation the parsed command line
         * @return the exit code
         * @throws CommandException if it fails
         */
        ExitCode run(Invocation invocation) throws CommandException;
    }
}
