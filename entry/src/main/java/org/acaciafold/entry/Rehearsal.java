package org.acaciafold.entry;

import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.settings.EntrySettings;
import org.acaciafold.settings.EntrySettingsReader;
import org.acaciafold.settings.SettingsException;

/** Starts and stops a host on loopback without a platform, so that the classes of a start are known. */
final class Rehearsal {
    private static final String SETTINGS = """
            [host]
            id = rehearsal
            failure-domain = rehearsal
            [listen]
            consumers = 127.0.0.1:18183
            readiness = 127.0.0.1:18184
            peers = 127.0.0.1:18185
            [platform]
            store = 127.0.0.1:18186
            advice = 127.0.0.1:18187
            [cluster]
            secret = rehearsal-of-a-start
            """;

    private Rehearsal() {}

    static void run() throws SettingsException, AcaciafoldException, InterruptedException {
        EntrySettings settings = EntrySettingsReader.read("rehearsal", SETTINGS);
        EntryHost host = EntryHost.start(settings);
        Thread.sleep(1_000);
        host.stop();
    }
}
