package org.acaciafold.settings;

import java.util.List;
import java.util.stream.Collectors;

import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.Step;

/** Thrown when settings are invalid; it lists every error found, and none of the settings has taken effect. */
public final class SettingsException extends AcaciafoldException {
    /** The error code of the {@link Failure}. */
    public static final String CODE = "invalid-settings";

    private static final long serialVersionUID = 1L;

    private final transient List<SettingsProblem> problems;

    /**
     * Creates an exception from the errors found.
     *
     * @param source the file or settings tree that was read
     * @param problems the errors, at least one
     */
    public SettingsException(String source, List<SettingsProblem> problems) {
        super(Failure.notRun(Step.SETTINGS, source, CODE, describe(problems)));
        this.problems = List.copyOf(problems);
    }

    /**
     * Returns all errors found.
     *
     * @return the errors, in the order they were found
     */
    public List<SettingsProblem> problems() {
        return problems;
    }

    private static String describe(List<SettingsProblem> problems) {
        return problems.stream().map(SettingsProblem::toString).collect(Collectors.joining("\n"));
    }
}
