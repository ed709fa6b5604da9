package org.acaciafold.standin;

import java.io.IOException;
import java.io.Reader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.Step;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.SubnodeConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;

/** One section of the settings file of an emulated platform, an emulated worker or the demo. */
final class StandinSettings {
    private final String file;
    private final String section;
    private final Map<String, String> values;

    private StandinSettings(String file, String section, Map<String, String> values) {
        this.file = file;
        this.section = section;
        this.values = values;
    }

    /**
     * Reads a section of a settings file.
     *
     * @param file the settings file
     * @param section the name of the section
     * @return the section; empty when the file has no section of that name
     * @throws AcaciafoldException when the file cannot be read
     */
    static StandinSettings read(Path file, String section) throws AcaciafoldException {
        INIConfiguration ini = new INIConfiguration();
        try (Reader reader = Files.newBufferedReader(file)) {
            ini.read(reader);
        } catch (IOException | ConfigurationException e) {
            throw new AcaciafoldException(failure(file.toString(), "cannot be read: " + e.getMessage()), e);
        }
        SubnodeConfiguration node = ini.getSection(section);
        Map<String, String> values = new TreeMap<>();
        node.getKeys().forEachRemaining(key -> values.put(key.replace("..", "."), node.getString(key)));
        return new StandinSettings(file.toString(), section, values);
    }

    /**
     * Returns all values of the section.
     *
     * @return the values by name
     */
    Map<String, String> values() {
        return values;
    }

    /**
     * Returns the value of a setting as an integer.
     *
     * @param name the name of the setting
     * @param defaultValue the number to return when the setting is absent
     * @return the number
     * @throws AcaciafoldException when the value is not an integer
     */
    long number(String name, long defaultValue) throws AcaciafoldException {
        String text = values.get(name);
        try {
            return text == null ? defaultValue : Long.parseLong(text.trim());
        } catch (NumberFormatException e) {
            throw new AcaciafoldException(
                    failure(file, qualifiedName(name) + " must be a whole number, not " + text), e);
        }
    }

    /**
     * Returns the value of an optional setting.
     *
     * @param name the name of the setting
     * @return the value; empty when the setting is absent
     */
    Optional<String> optionalText(String name) {
        return Optional.ofNullable(values.get(name));
    }

    /**
     * Returns the value of a required setting.
     *
     * @param name the name of the setting
     * @return the value without surrounding blanks
     * @throws AcaciafoldException when the setting is missing
     */
    String requiredText(String name) throws AcaciafoldException {
        String text = values.get(name);
        if (text == null) {
            throw new AcaciafoldException(failure(file, qualifiedName(name) + " is missing"));
        }
        return text.trim();
    }

    private String qualifiedName(String name) {
        return name + " in [" + section + "]";
    }

    private static Failure failure(String file, String message) {
        return Failure.notRun(Step.SETTINGS, file, "bad-settings", message);
    }
}
