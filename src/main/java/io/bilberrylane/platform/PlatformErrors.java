package io.bilberrylane.platform;

import io.bilberrylane.base.BilberrylaneException;
import io.bilberrylane.base.ErrorCode;
import java.util.concurrent.CompletionException;

/** The errors of the platform. */
public final class PlatformErrors {
    private static final int MAX_QUOTED_CHARS = 200;

    private PlatformErrors() {}

    static BilberrylaneException of(final int status, final String body) {
        final ErrorCode code =
                switch (status) {
                    case 404 -> ErrorCode.PLATFORM_NOT_FOUND;
                    case 409 -> ErrorCode.PLATFORM_CONFLICT;
                    case 410 -> ErrorCode.PLATFORM_GONE;
                    case 429 -> ErrorCode.PLATFORM_THROTTLED;
                    default -> ErrorCode.PLATFORM_UNAVAILABLE;
                };
        final String quoted = body.substring(0, Math.min(body.length(), MAX_QUOTED_CHARS));
        return new BilberrylaneException(code, "the platform answered " + status + ": " + quoted);
    }

    /**
     * Returns whether a request failed because the platform did not serve this node.
     *
     * @param failure the failure of the request
     * @return false if the platform answered with an error that concerns the request alone
     */
    public static boolean isOutage(final Throwable failure) {
        final Throwable cause =
                failure instanceof CompletionException ? failure.getCause() : failure;
        if (!(cause instanceof BilberrylaneException exception)) {
            return true;
        }
        return exception.code() == ErrorCode.PLATFORM_UNAVAILABLE
                || exception.code() == ErrorCode.PLATFORM_THROTTLED;
    }
}
