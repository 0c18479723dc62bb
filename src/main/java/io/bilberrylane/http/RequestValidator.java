package io.bilberrylane.http;

import io.bilberrylane.base.ErrorCode;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.util.List;
import java.util.Optional;

/** Validates the syntax of a request. */
final class RequestValidator {
    private static final int MAX_IDEMPOTENCY_KEY_CHARS = 256;

    private RequestValidator() {}

    /** Returns the error that a request is refused with, or empty if it is valid. */
    static Optional<ErrorCode> validate(final HttpRequest request, final HeaderNames names) {
        if (request.decoderResult().isFailure()) {
            return Optional.of(errorCodeOf(request.decoderResult().cause()));
        }
        return isValid(request, names) ? Optional.empty() : Optional.of(ErrorCode.BAD_REQUEST);
    }

    static ErrorCode errorCodeOf(final Throwable cause) {
        return cause instanceof TooLongHttpHeaderException
                        || cause instanceof TooLongHttpLineException
                ? ErrorCode.HEADERS_TOO_LARGE
                : ErrorCode.BAD_REQUEST;
    }

    private static boolean isValid(final HttpRequest request, final HeaderNames names) {
        final boolean supportedVersion =
                request.protocolVersion().equals(HttpVersion.HTTP_1_1)
                        || request.protocolVersion().equals(HttpVersion.HTTP_1_0);
        return supportedVersion
                && !request.method().equals(HttpMethod.CONNECT)
                && isOriginOrAsteriskForm(request.uri())
                && hasOneHost(request)
                && hasSupportedTransferCoding(request)
                && hasAtMostOneIdentity(request, names)
                && hasValidIdempotencyKey(request, names);
    }

    private static boolean isOriginOrAsteriskForm(final String uri) {
        return uri.startsWith("/") || uri.equals("*");
    }

    private static boolean hasOneHost(final HttpRequest request) {
        final int hostCount = request.headers().getAll(HttpHeaderNames.HOST).size();
        return hostCount == 1
                || hostCount == 0 && request.protocolVersion().equals(HttpVersion.HTTP_1_0);
    }

    private static boolean hasSupportedTransferCoding(final HttpRequest request) {
        final List<String> codings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        return codings.isEmpty()
                || codings.size() == 1 && codings.get(0).trim().equalsIgnoreCase("chunked");
    }

    /** A target may take another one of several identities than the node. */
    private static boolean hasAtMostOneIdentity(
            final HttpRequest request, final HeaderNames names) {
        return !names.isRequestIdSetByCaller()
                || request.headers().getAll(names.requestId()).size() <= 1;
    }

    private static boolean hasValidIdempotencyKey(
            final HttpRequest request, final HeaderNames names) {
        if (names.idempotencyKey().isEmpty()) {
            return true;
        }
        final List<String> keys = request.headers().getAll(names.idempotencyKey());
        return keys.isEmpty()
                || keys.size() == 1
                        && !keys.get(0).isBlank()
                        && keys.get(0).length() <= MAX_IDEMPOTENCY_KEY_CHARS;
    }
}
