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

/** Decides whether the syntax of a request lets it pass. */
final class RequestCheck {
    private static final int MAX_KEY_CHARS = 256;

    private RequestCheck() {}

    /** Returns why a request is refused, or nothing when it may pass. */
    static Optional<ErrorCode> refusal(final HttpRequest request) {
        if (request.decoderResult().isFailure()) {
            return Optional.of(codeOf(request.decoderResult().cause()));
        }
        return isAcceptable(request) ? Optional.empty() : Optional.of(ErrorCode.BAD_REQUEST);
    }

    static ErrorCode codeOf(final Throwable cause) {
        return cause instanceof TooLongHttpHeaderException
                        || cause instanceof TooLongHttpLineException
                ? ErrorCode.HEADERS_TOO_LARGE
                : ErrorCode.BAD_REQUEST;
    }

    private static boolean isAcceptable(final HttpRequest request) {
        final boolean known =
                request.protocolVersion().equals(HttpVersion.HTTP_1_1)
                        || request.protocolVersion().equals(HttpVersion.HTTP_1_0);
        return known
                && !request.method().equals(HttpMethod.CONNECT)
                && isPath(request.uri())
                && hasOneHost(request)
                && hasKnownCoding(request)
                && hasShortKey(request);
    }

    private static boolean isPath(final String uri) {
        return uri.startsWith("/") || uri.equals("*");
    }

    private static boolean hasOneHost(final HttpRequest request) {
        final int hosts = request.headers().getAll(HttpHeaderNames.HOST).size();
        return hosts == 1 || hosts == 0 && request.protocolVersion().equals(HttpVersion.HTTP_1_0);
    }

    private static boolean hasKnownCoding(final HttpRequest request) {
        final List<String> codings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        return codings.isEmpty()
                || codings.size() == 1 && codings.get(0).trim().equalsIgnoreCase("chunked");
    }

    private static boolean hasShortKey(final HttpRequest request) {
        final List<String> keys = request.headers().getAll(Headers.IDEMPOTENCY_KEY);
        return keys.isEmpty()
                || keys.size() == 1
                        && !keys.get(0).isBlank()
                        && keys.get(0).length() <= MAX_KEY_CHARS;
    }
}
