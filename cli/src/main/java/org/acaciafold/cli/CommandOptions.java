package org.acaciafold.cli;

import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/** The options that several commands share. */
final class CommandOptions {
    private CommandOptions() {}

    /** Returns the options of a command that calls a host. */
    static Options calling() {
        return new Options()
                .addOption(option(
                        "host",
                        "IP:PORT",
                        "the host, or several with commas, tried in turn; default $" + Invocation.HOST_VARIABLE))
                .addOption(option("key", "KEY", "the key; default $" + Invocation.KEY_VARIABLE))
                .addOption(option("output", "text|json", "the format of the result; default text"))
                .addOption(option("timeout", "SECONDS", "how long to try and to wait; default 30"));
    }

    /** Returns the options of a command that changes settings. */
    static Options editing() {
        return calling()
                .addOption(Option.builder()
                        .longOpt("wait")
                        .desc("wait until in force everywhere")
                        .get());
    }

    /** Returns an option with a value. */
    static Option option(String name, String argument, String description) {
        return Option.builder()
                .longOpt(name)
                .hasArg()
                .argName(argument)
                .desc(description)
                .get();
    }
}
