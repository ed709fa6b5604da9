package org.acaciafold.cli;

import org.apache.commons.cli.Options;

/**
 * A command of the command line.
 *
 * @param name its one or two words
 * @param arguments the names of its arguments, in capitals
 * @param summary what it does, one line
 * @param options its options besides {@code --help}
 * @param action what it does
 */
record Command(String name, String arguments, String summary, Options options, Action action) {
    /** Returns how many arguments it takes. */
    int argumentCount() {
        return arguments.isEmpty() ? 0 : arguments.split(" ").length;
    }

    /** What a command does. */
    @FunctionalInterface
    interface Action {
        /**
         * Runs the command.
         *
         * @param invocation the parsed command line
         * @return the exit code
         * @throws CommandException when it did not succeed
         */
        ExitCode run(Invocation invocation) throws CommandException;
    }
}
