package org.acaciafold.daemon;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.Step;
import org.acaciafold.core.model.WorkspaceId;
import org.acaciafold.settings.FleetSettings;
import org.acaciafold.settings.KeyHash;
import org.acaciafold.settings.Keys;
import org.acaciafold.settings.PresentedKey;

/** Looks up the workspace of the key that a request carries, by the settings currently in force. */
final class AccessKeys {
    private static final String SCHEME = "Bearer ";
    private static final String CALLER = "caller";

    private final Supplier<FleetSettings> settings;
    private volatile Index index = Index.of(FleetSettings.empty());

    private AccessKeys(Supplier<FleetSettings> settings) {
        this.settings = settings;
    }

    static AccessKeys of(Supplier<FleetSettings> settings) {
        return new AccessKeys(settings);
    }

    /**
     * Checks that a request carries a given key.
     *
     * @param authorization the value of the header {@code Authorization}, null when absent
     * @param key the hash of the required key
     * @throws AcaciafoldException when the request carries another key or none
     */
    static void require(String authorization, KeyHash key) throws AcaciafoldException {
        PresentedKey presented = parse(authorization);
        if (!presented.id().equals(key.id()) || !Keys.verify(key, presented.secret())) {
            throw wrongKey();
        }
    }

    /**
     * Returns the workspace of a request that need not carry a key.
     *
     * @param authorization the value of the header {@code Authorization}, null when absent
     * @return the workspace, empty when the request carries no key
     * @throws AcaciafoldException when the key is not in force
     */
    Optional<WorkspaceId> optionalWorkspace(String authorization) throws AcaciafoldException {
        return authorization == null ? Optional.empty() : Optional.of(workspace(authorization));
    }

    /**
     * Returns the workspace of a request.
     *
     * @param authorization the value of the header {@code Authorization}, null when absent
     * @return the workspace
     * @throws AcaciafoldException when the request carries no key or one that is not in force
     */
    WorkspaceId workspace(String authorization) throws AcaciafoldException {
        PresentedKey presented = parse(authorization);
        WorkspaceKey key = current().keys().get(presented.id());
        if (key == null || !Keys.verify(key.hash(), presented.secret())) {
            throw wrongKey();
        }
        return key.workspace();
    }

    private Index current() {
        FleetSettings inForce = settings.get();
        Index cached = index;
        if (cached.settings() != inForce) {
            cached = Index.of(inForce);
            index = cached;
        }
        return cached;
    }

    private static PresentedKey parse(String authorization) throws AcaciafoldException {
        if (authorization == null) {
            throw rejection("no-key", "the header Authorization: Bearer KEYID.SECRET is missing");
        }
        if (!authorization.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
            throw wrongKey();
        }
        return Keys.parse(authorization.substring(SCHEME.length()).trim()).orElseThrow(AccessKeys::wrongKey);
    }

    private static AcaciafoldException rejection(String code, String message) {
        return new AcaciafoldException(Failure.notRun(Step.AUTHORIZATION, CALLER, code, message));
    }

    private static AcaciafoldException wrongKey() {
        return rejection("wrong-key", "the key is unknown or withdrawn");
    }

    private record Index(FleetSettings settings, Map<String, WorkspaceKey> keys) {
        static Index of(FleetSettings settings) {
            Map<String, WorkspaceKey> keys = new HashMap<>();
            settings.workspaces()
                    .forEach((workspace, terms) ->
                            terms.keys().forEach(hash -> keys.put(hash.id(), new WorkspaceKey(workspace, hash))));
            return new Index(settings, keys);
        }
    }

    private record WorkspaceKey(WorkspaceId workspace, KeyHash hash) {}
}
