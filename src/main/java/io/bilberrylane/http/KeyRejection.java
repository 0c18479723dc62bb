package io.bilberrylane.http;

import io.bilberrylane.base.DecisionLog;
import io.bilberrylane.policy.CallerIdentity;
import io.bilberrylane.policy.Credential;

/** Records a request that is refused for want of a key. The key itself is not recorded. */
final class KeyRejection {
    /** The key was valid when the request arrived, and is not any more. */
    private static final String WITHDRAWN = "withdrawn";

    private KeyRejection() {}

    static void record(
            final CallerPermit permit, final String requestId, final IngressMetrics metrics) {
        final String reason =
                permit.identity() instanceof CallerIdentity.Rejected rejected
                        ? rejected.reason().wireName()
                        : WITHDRAWN;
        DecisionLog.event("key-refused")
                .with("request", requestId)
                .with("host", permit.host())
                .with("path", permit.path())
                .with("reason", reason)
                .with("keyDigest", shortDigest(permit.credential()))
                .with("organisation", permit.organisation())
                .write();
        metrics.recordUnknownKey(reason);
    }

    private static String shortDigest(final Credential credential) {
        return credential instanceof Credential.Key key ? key.digest().shortHex() : "";
    }
}
