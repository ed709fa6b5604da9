package org.acaciafold.settings;

import java.security.SecureRandom;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class KeysTest {
    private final SecureRandom random = new SecureRandom();

    // -- create

    @Test
    void shouldVerifyItsOwnSecretAndNoOtherWhenAKeyIsCreated() {
        NewKey key = Keys.create(random);
        NewKey other = Keys.create(random);

        String secret = Keys.parse(key.text()).orElseThrow().secret();
        assertTrue(Keys.verify(key.hash(), secret));
        assertFalse(Keys.verify(other.hash(), secret));
        assertFalse(Keys.verify(key.hash(), secret.substring(1)));
        assertNotEquals(key.hash().id(), other.hash().id());
    }

    @Test
    void shouldNotShowTheSecretWhenAKeyIsPrinted() {
        NewKey key = Keys.create(random);
        PresentedKey presented = Keys.parse(key.text()).orElseThrow();

        assertFalse(key.toString().contains(presented.secret()));
        assertFalse(presented.toString().contains(presented.secret()));
    }

    // -- parseHash

    @Test
    void shouldReturnTheSameHashWhenItIsWrittenAndRead() {
        KeyHash hash = Keys.create(random).hash();

        assertEquals(Optional.of(hash), Keys.parseHash(Keys.formatHash(hash)));
    }

    // -- parse

    @ParameterizedTest
    @ValueSource(strings = {"", ".", "id", "id.", ".secret", "a.b.c", "id .secret", "id.sec ret", "id.sécret"})
    void shouldReturnNoKeyWhenTheFormIsInvalid(String text) {
        assertEquals(Optional.empty(), Keys.parse(text));
    }
}
