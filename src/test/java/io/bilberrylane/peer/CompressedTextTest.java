package io.bilberrylane.peer;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

final class CompressedTextTest {
    @Property(seed = "61", tries = 200)
    void shouldReturnTheTextThatWasCompressed(@ForAll final String text) {
        final String valid = text.replaceAll("[\\ud800-\\udfff]", "?");
        assertThat(CompressedText.of(valid).text()).contains(valid);
        assertThat(CompressedText.ofBytes(CompressedText.of(valid).toBytes()))
                .isEqualTo(CompressedText.of(valid));
    }

    /**
     * At this size a configuration of a thousand routes is sent over a link of 7 Mbit/s to 20 nodes
     * in less than a second.
     */
    @Example
    void shouldCompressAConfigurationOfAThousandRoutesToAFifth() {
        final StringBuilder text = new StringBuilder();
        for (int i = 0; i < 1_200; i++) {
            text.append("{\"host\":\"h").append(i % 7).append(".example\",\"pathPrefix\":\"/p");
            text.append(Integer.toHexString(i * 7_919)).append("/\",\"type\":\"safe\",");
            text.append("\"service\":\"calendar\",\"timeoutS\":1.5,\"attempts\":2},\n");
        }
        assertThat(CompressedText.of(text.toString()).toBytes().length)
                .isLessThan(text.length() / 5)
                .isLessThan(40_000);
    }

    @Example
    void shouldReturnNothingWhenBytesAreNotACompressedText() {
        assertThat(CompressedText.ofBytes(new byte[] {1, 2, 3}).text()).isEmpty();
        final byte[] truncated = CompressedText.of("a text that is cut").toBytes();
        assertThat(
                        CompressedText.ofBytes(
                                        java.util.Arrays.copyOf(truncated, truncated.length / 2))
                                .text())
                .isEmpty();
        assertThat(CompressedText.EMPTY.text()).contains("");
    }
}
