package org.acaciafold.daemon;

import java.security.SecureRandom;
import java.util.Optional;
import java.util.UUID;

import org.acaciafold.coordination.ClientCall;
import org.acaciafold.coordination.ClientReply;
import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.Step;
import org.acaciafold.settings.Keys;
import org.acaciafold.settings.NewKey;
import org.acaciafold.settings.SubtreeEdits;
import reactor.core.publisher.Mono;

/** Edits single values of the settings: reads a subtree, changes it and writes it back by compare-and-set. */
final class SettingsEdits {
    private static final int MAX_ATTEMPTS = 5;
    private static final String OPERATOR = "operator";

    private final CoreCalls core;
    private final SecureRandom random = new SecureRandom();

    private SettingsEdits(CoreCalls core) {
        this.core = core;
    }

    static SettingsEdits of(CoreCalls core) {
        return new SettingsEdits(core);
    }

    /**
     * Creates an access key for a workspace.
     *
     * @param subtree the subtree of the workspace
     * @return the key, of which no other copy exists; an error signal carries an {@link AcaciafoldException}
     */
    Mono<CreatedKey> createKey(String subtree) {
        NewKey key = Keys.create(random);
        return edit(
                        subtree,
                        found -> SubtreeEdits.addKey(existing(found, "unknown-workspace"), key.hash()),
                        MAX_ATTEMPTS)
                .flatMap(reply -> switch (reply) {
                    case ClientReply.EditState state ->
                        Mono.just(new CreatedKey(key.text(), key.hash().id(), state));
                    case ClientReply.Failed failed -> Mono.error(new AcaciafoldException(failed.failure()));
                    default -> Mono.error(rejection("conflict", "others keep changing " + subtree));
                });
    }

    /**
     * Takes a failure domain out of service or returns it to service.
     *
     * @param subtree the subtree of the failure domain
     * @param out true to take it out of service
     * @return the state of the edit, a conflict or a failure
     */
    Mono<ClientReply> takeOut(String subtree, boolean out) {
        return edit(subtree, found -> SubtreeEdits.takeOut(found.text(), out), MAX_ATTEMPTS);
    }

    /**
     * Withdraws an access key of a workspace.
     *
     * @param subtree the subtree of the workspace
     * @param id the identifier of the key
     * @return the state of the edit, a conflict or a failure
     */
    Mono<ClientReply> withdrawKey(String subtree, String id) {
        return edit(
                subtree,
                found -> SubtreeEdits.withdrawKey(existing(found, "unknown-workspace"), id)
                        .orElseThrow(() -> rejection("unknown-key", "the workspace has no key " + id)),
                MAX_ATTEMPTS);
    }

    private Mono<ClientReply> edit(String subtree, Change change, int attempts) {
        return core.call(new ClientCall.QuerySettings(subtree)).flatMap(reply -> {
            if (!(reply instanceof ClientReply.SettingsFound found)) {
                return Mono.just(reply);
            }
            return write(found, change).flatMap(written -> {
                boolean retry = written instanceof ClientReply.EditConflict && attempts > 1;
                return retry ? edit(subtree, change, attempts - 1) : Mono.just(written);
            });
        });
    }

    private Mono<ClientReply> write(ClientReply.SettingsFound found, Change change) {
        try {
            String text = change.apply(found);
            return core.call(new ClientCall.EditSettings(
                    UUID.randomUUID().toString(), found.subtree(), found.version(), Optional.of(text)));
        } catch (AcaciafoldException e) {
            return Mono.error(e);
        }
    }

    private static String existing(ClientReply.SettingsFound found, String code) throws AcaciafoldException {
        if (found.version() == 0) {
            throw rejection(code, "there is no subtree " + found.subtree());
        }
        return found.text();
    }

    private static AcaciafoldException rejection(String code, String message) {
        return new AcaciafoldException(Failure.notRun(Step.SETTINGS, OPERATOR, code, message));
    }

    /**
     * A newly created key.
     *
     * @param key the whole key, {@code ID.SECRET}, which is never stored
     * @param id the public part of the key
     * @param edit the state of the edit that adds it
     */
    record CreatedKey(String key, String id, ClientReply.EditState edit) {}

    /** Changes the text of a subtree. */
    @FunctionalInterface
    private interface Change {
        String apply(ClientReply.SettingsFound found) throws AcaciafoldException;
    }
}
