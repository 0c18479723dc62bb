package io.bilberrylane.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.http.HeaderNames;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

final class PlatformProfileTest {
    private static final List<Integer> NOT_RUN_STATUSES = List.of(408, 421, 429, 503);

    private final HeaderNames mHeaderNames = PlatformProfile.of("", 1_500).names();

    @ParameterizedTest
    @EnumSource
    void shouldNotReturnANotRunStatusWhenTheCallMayHaveRun(final ErrorCode code) {
        assertThat(mHeaderNames.statusOf(code, false)).isNotIn(NOT_RUN_STATUSES);
        assertThat(mHeaderNames.statusOf(code, true)).isEqualTo(code.httpStatus());
    }

    @ParameterizedTest
    @CsvSource({"503, true, true", "503, false, false", "421, false, true", "200, true, false"})
    void shouldTreatAResponseAsNotRunOnlyWhenItIsMarked(
            final int status, final boolean marked, final boolean notRun) {
        final HttpHeaders headers = new DefaultHttpHeaders();
        if (marked) {
            headers.set("X-Not-Executed", "1");
        }
        assertThat(mHeaderNames.isNotRun(status, headers)).isEqualTo(notRun);
    }

    @ParameterizedTest
    @CsvSource({
        "a, 200, a, false, true",
        "a, 200, b, false, false",
        "a, 200, , false, false",
        "a, 503, , false, true",
        "a, 503, b, false, false",
        "'', 200, , false, true",
        "a, 200, a, true, true",
        "a, 200, , true, false",
        "a, 503, a, true, true",
        "a, 503, , true, false",
        "a, 503, b, true, false",
        "'', 503, b, false, false",
    })
    void shouldMatchAResponseToItsRequestById(
            final String id,
            final int status,
            final String echoed,
            final boolean reused,
            final boolean matching) {
        final HttpHeaders headers = new DefaultHttpHeaders();
        if (echoed != null) {
            headers.set("X-Request-Id", echoed);
        }
        assertThat(mHeaderNames.isResponseTo(id, status, headers, reused)).isEqualTo(matching);
    }

    @Test
    void shouldRequireASignatureWhenTheResponseIsSuccessful() {
        final HttpHeaders headers = new DefaultHttpHeaders();
        assertThat(mHeaderNames.hasRequiredSignature(200, headers)).isFalse();
        assertThat(mHeaderNames.hasRequiredSignature(500, headers)).isTrue();
        headers.set("X-Response-Signature", "s");
        assertThat(mHeaderNames.hasRequiredSignature(200, headers)).isTrue();
    }
}
