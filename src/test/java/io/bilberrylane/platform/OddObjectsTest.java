package io.bilberrylane.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Odd objects of another writer beside valid ones, in lists and in watch events. */
final class OddObjectsTest {
    private static final int DEPTH = 5_000;
    private static final int LONG = 200_000;

    private static String valid(final String name) {
        return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":3},\"spec\":{}}";
    }

    private static String named(final String spec) {
        return "{\"metadata\":{\"name\":\"odd\",\"revision\":4},\"spec\":" + spec + "}";
    }

    static Stream<Arguments> oddObjects() {
        return Stream.of(
                Arguments.of("null", "null"),
                Arguments.of("a number", "7"),
                Arguments.of("a list", "[1,2]"),
                Arguments.of("no metadata", "{}"),
                Arguments.of("name of another type", "{\"metadata\":{\"name\":[]}}"),
                Arguments.of(
                        "revision of another type",
                        "{\"metadata\":{\"name\":\"odd\",\"revision\":\"x\"}}"),
                Arguments.of("nested deeply", named("[".repeat(DEPTH) + "]".repeat(DEPTH))),
                Arguments.of("long number", named("1" + "0".repeat(LONG))),
                Arguments.of("large exponent", named("1e" + "9".repeat(9))),
                Arguments.of("long key", named("{\"" + "k".repeat(LONG) + "\":1}")));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("oddObjects")
    void shouldKeepTheValidObjectsOfAList(final String name, final String odd) {
        final String text =
                "{\"items\":["
                        + valid("a")
                        + ","
                        + odd
                        + ","
                        + valid("b")
                        + "],\"hasMore\":false,\"currentRev\":9}";
        final ObjectList list = ObjectJson.readList("k", ObjectJson.parse(text));
        assertThat(list.version()).isEqualTo(9);
        assertThat(list.items().stream().map(StoredObject::name)).contains("a", "b");
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("oddObjects")
    void shouldKeepTheValidEventsOfAWatch(final String name, final String odd) {
        final String text =
                "{\"events\":[{\"object\":"
                        + odd
                        + "},{\"object\":"
                        + valid("a")
                        + ",\"deleted\":true}],\"currentRev\":9}";
        final ObjectEvents events = ObjectJson.readEvents("k", ObjectJson.parse(text));
        assertThat(events.version()).isEqualTo(9);
        assertThat(events.events().stream().map(event -> event.object().name())).contains("a");
    }
}
