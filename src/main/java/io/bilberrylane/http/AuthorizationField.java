package io.bilberrylane.http;

import io.bilberrylane.catalogue.KeyDigest;
import io.bilberrylane.policy.Credential;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Reads the Authorization field of a request. The key itself is not kept. */
final class AuthorizationField {
    private AuthorizationField() {}

    /**
     * Returns what a request carries to identify its organisation.
     *
     * @param headers the header fields of the request
     * @param scheme the expected scheme, in any case
     * @return the digest of the key, or that there is none or not exactly one
     */
    static Credential read(final HttpHeaders headers, final String scheme) {
        final List<String> values = headers.getAll(HttpHeaderNames.AUTHORIZATION);
        if (values.isEmpty()) {
            return new Credential.Absent();
        }
        if (values.size() > 1) {
            return new Credential.Malformed();
        }
        final String value = values.get(0).strip();
        final int schemeEnd = value.indexOf(' ');
        if (schemeEnd < 0 || !value.substring(0, schemeEnd).equalsIgnoreCase(scheme)) {
            return new Credential.Malformed();
        }
        int keyStart = schemeEnd;
        while (value.charAt(keyStart) == ' ') {
            keyStart++;
        }
        final String key = value.substring(keyStart);
        // The decoder keeps each byte of a field as one character.
        return new Credential.Key(KeyDigest.ofKey(key.getBytes(StandardCharsets.ISO_8859_1)));
    }
}
