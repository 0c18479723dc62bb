package io.bilberrylane.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.bilberrylane.base.BilberrylaneException;
import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.membership.ConfigurationVersion;
import io.bilberrylane.membership.Member;
import io.bilberrylane.membership.MemberStatus;
import io.bilberrylane.membership.SwimMessage;
import io.bilberrylane.membership.TargetRecord;
import io.bilberrylane.outcome.CallPhase;
import io.bilberrylane.policy.RolloutPhase;
import io.bilberrylane.policy.RolloutRow;
import io.bilberrylane.policy.RolloutSummary;
import io.bilberrylane.policy.RouteCounts;
import io.bilberrylane.policy.TargetLoad;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.value.Value;
import org.msgpack.value.ValueFactory;

final class PeerCodecTest {
    private static final TargetLoad LOAD = new TargetLoad(3, 2, 6, 1500, true, 700, 5);

    @Provide
    Arbitrary<PeerMessage> messages() {
        final Arbitrary<String> text = Arbitraries.strings().ofMaxLength(40);
        final Arbitrary<Integer> small = Arbitraries.integers();
        final Arbitrary<Long> large = Arbitraries.longs();
        final Arbitrary<CallHead> heads =
                Combinators.combine(text, text, large, small, Arbitraries.of(true, false))
                        .as(
                                (a, b, millis, attempt, flag) ->
                                        new CallHead(
                                                a,
                                                b,
                                                "GET",
                                                a,
                                                List.of(new HeaderField(a, b)),
                                                millis,
                                                attempt,
                                                flag,
                                                b,
                                                millis,
                                                a,
                                                attempt,
                                                millis,
                                                attempt,
                                                millis,
                                                flag,
                                                b,
                                                flag));
        final Arbitrary<ConfigurationVersion> versions =
                Combinators.combine(large, large, large).as(ConfigurationVersion::new);
        final Arbitrary<Member> members =
                Combinators.combine(text, text, large, Arbitraries.of(MemberStatus.values()))
                        .as(
                                (host, dataCentre, number, status) ->
                                        new Member(
                                                host,
                                                dataCentre,
                                                "127.0.0.1:1",
                                                number,
                                                number,
                                                status,
                                                target(host, number),
                                                number % 2 == 0));
        return Arbitraries.oneOf(
                Combinators.combine(small, text, large)
                        .as(
                                (version, host, incarnation) ->
                                        new PeerMessage.Hello(version, host, incarnation)),
                large.map(PeerMessage.Ping::new),
                large.map(PeerMessage.Pong::new),
                Combinators.combine(small, heads).as(PeerMessage.Open::new),
                small.map(id -> new PeerMessage.Admit(id, LOAD)),
                Combinators.combine(small, Arbitraries.of(ErrorCode.values()), text)
                        .as(
                                (id, code, holder) ->
                                        new PeerMessage.Refuse(
                                                id, new Refusal(code, 5, holder), LOAD)),
                Combinators.combine(small, text)
                        .as(
                                (id, t) ->
                                        new PeerMessage.Head(
                                                id,
                                                ResponseHead.of(
                                                        200, List.of(new HeaderField(t, t))))),
                small.map(id -> new PeerMessage.End(id, LOAD)),
                Combinators.combine(small, small).as(PeerMessage.Credit::new),
                Combinators.combine(small, Arbitraries.of(CallPhase.values()))
                        .as((id, phase) -> new PeerMessage.Fail(id, ErrorCode.LINK_LOST, phase)),
                small.map(PeerMessage.Cancel::new),
                large.map(PeerMessage.Probe::new),
                large.map(id -> new PeerMessage.ProbeReply(id, LOAD)),
                Combinators.combine(large, large, text).as(PeerMessage.CrashNotice::new),
                large.map(PeerMessage.CrashAck::new),
                Combinators.combine(large, text, large).as(PeerMessage.OutcomeQuery::new),
                Combinators.combine(large, text, small).as(PeerMessage.QuotaRequest::new),
                Combinators.combine(large, small, large).as(PeerMessage.QuotaReply::new),
                Combinators.combine(large, Arbitraries.of(CallPhase.values()))
                        .as(PeerMessage.OutcomeReply::new),
                Combinators.combine(large, versions).as(PeerMessage.ConfigurationPull::new),
                Combinators.combine(
                                large,
                                versions,
                                text.map(CompressedText::of),
                                text.list().ofMaxSize(3),
                                text.list().ofMaxSize(3))
                        .as(PeerMessage.ConfigurationReply::new),
                Combinators.combine(
                                large, summaries().list().ofMaxSize(3), rows().list().ofMaxSize(3))
                        .as(PeerMessage.RolloutSync::new),
                Combinators.combine(
                                large, summaries().list().ofMaxSize(3), rows().list().ofMaxSize(3))
                        .as(PeerMessage.RolloutSyncReply::new),
                Combinators.combine(large, members.list().ofMaxSize(4))
                        .as(PeerMessage.SyncRequest::new),
                Combinators.combine(large, members.list().ofMaxSize(4))
                        .as(PeerMessage.SyncReply::new));
    }

    @Property
    void shouldRoundTripWholeResponses(@ForAll final byte[] bytes, @ForAll final boolean flag) {
        final PeerMessage.Response response =
                new PeerMessage.Response(
                        7,
                        new ResponseHead(
                                404, List.of(new HeaderField("Name", "value")), flag, !flag),
                        bytes,
                        LOAD);
        final PeerMessage.Response decoded =
                (PeerMessage.Response) PeerCodec.decode(PeerCodec.encode(response));
        assertThat(decoded.streamId()).isEqualTo(7);
        assertThat(decoded.head()).isEqualTo(response.head());
        assertThat(decoded.bytes()).isEqualTo(bytes);
        assertThat(decoded.load()).isEqualTo(LOAD);
    }

    private static Optional<TargetRecord> target(final String service, final long number) {
        return number % 2 == 0
                ? Optional.empty()
                : Optional.of(new TargetRecord(service, number, 6, true, "v" + number));
    }

    private static Arbitrary<RolloutSummary> summaries() {
        return Combinators.combine(
                        Arbitraries.strings().ofMaxLength(9),
                        Arbitraries.longs(),
                        Arbitraries.of(RolloutPhase.values()),
                        Arbitraries.of(true, false))
                .as(
                        (text, number, phase, known) ->
                                new RolloutSummary(text, text, number, phase, number, known, text));
    }

    private static Arbitrary<RolloutRow> rows() {
        return Combinators.combine(
                        Arbitraries.strings().ofMaxLength(9),
                        Arbitraries.longs(),
                        Arbitraries.integers(),
                        Arbitraries.integers().between(0, 2_000_000))
                .as(
                        (text, number, route, micros) ->
                                new RolloutRow(
                                        text,
                                        text,
                                        number,
                                        number,
                                        text,
                                        number,
                                        number,
                                        List.of(
                                                RouteCounts.none(route),
                                                RouteCounts.none(route + 1)
                                                        .plusCall(true, micros))));
    }

    @Group
    class RoundTrip {
        @Property(seed = "11", tries = 2_000)
        void shouldReturnTheSameMessageWhenItWasEncoded(
                @ForAll("messages") final PeerMessage message) {
            assertThat(PeerCodec.decode(PeerCodec.encode(message))).isEqualTo(message);
        }

        @Provide
        Arbitrary<PeerMessage> messages() {
            return PeerCodecTest.this.messages();
        }

        @Example
        void shouldReturnTheSameBytesWhenDataIsEncoded() {
            final byte[] bytes = {1, 2, 3};
            final PeerMessage decoded =
                    PeerCodec.decode(PeerCodec.encode(new PeerMessage.Data(7, bytes)));
            assertThat(((PeerMessage.Data) decoded).bytes()).containsExactly(bytes);
        }

        @Example
        void shouldReturnTheSameDatagramWhenItWasEncoded() {
            final SwimMessage ping =
                    new SwimMessage.PingRequest(
                            "a", 3, "b", new ConfigurationVersion(9, 2), List.of());
            assertThat(GossipCodec.decode(GossipCodec.encode(ping))).isEqualTo(ping);
        }
    }

    @Group
    class OtherVersions {
        @Example
        void shouldSkipUnknownFieldsWhenALaterVersionSendsThem() throws IOException {
            final MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();
            packer.packArrayHeader(2).packInt(MessageType.PING).packMapHeader(2);
            packer.packInt(1).packLong(5).packInt(60).packString("later");
            assertThat(PeerCodec.decode(packer.toByteArray())).isEqualTo(new PeerMessage.Ping(5));
        }

        @Example
        void shouldNotKnowTheProcessWhenAnEarlierVersionQueriesAnOutcome() throws IOException {
            final MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();
            packer.packArrayHeader(2).packInt(MessageType.OUTCOME_QUERY).packMapHeader(2);
            packer.packInt(1).packLong(5).packInt(2).packString("call");
            assertThat(PeerCodec.decode(packer.toByteArray()))
                    .isEqualTo(
                            new PeerMessage.OutcomeQuery(
                                    5, "call", NodeIdentity.UNKNOWN_INCARNATION));
        }

        @Example
        void shouldAssumeThatAMemberReadsThePlatformWhenAnEarlierVersionSendsIt() {
            final Value member =
                    ValueFactory.newArray(
                            ValueFactory.newString("host"),
                            ValueFactory.newString("dc"),
                            ValueFactory.newString("127.0.0.1:1"),
                            ValueFactory.newInteger(1),
                            ValueFactory.newInteger(2),
                            ValueFactory.newInteger(MemberStatus.ALIVE.ordinal()),
                            ValueFactory.newNil());
            assertThat(ValueFormats.readMember(member).readsPlatform()).isTrue();
        }

        @Example
        void shouldNameTheTypeWhenItIsUnknown() throws IOException {
            final MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();
            packer.packArrayHeader(2).packInt(999).packMapHeader(0);
            assertThat(PeerCodec.decode(packer.toByteArray()))
                    .isEqualTo(new PeerMessage.Unknown(999));
        }
    }

    @Group
    class BadBytes {
        @Property(seed = "12", tries = 3_000)
        void shouldDecodeOrReportAViolationWhenBytesAreChanged(
                @ForAll("messages") final PeerMessage message, @ForAll final long seed) {
            final byte[] bytes = PeerCodec.encode(message);
            final Random random = new Random(seed);
            final byte[] changed = Arrays.copyOf(bytes, 1 + random.nextInt(bytes.length + 3));
            for (int i = 0; i < 3; i++) {
                changed[random.nextInt(changed.length)] = (byte) random.nextInt();
            }
            try {
                assertThat(PeerCodec.decode(changed)).isNotNull();
            } catch (BilberrylaneException e) {
                assertThat(e.code()).isEqualTo(ErrorCode.PROTOCOL_VIOLATION);
            }
        }

        @Provide
        Arbitrary<PeerMessage> messages() {
            return PeerCodecTest.this.messages();
        }

        @Example
        void shouldReportAViolationWhenAFieldIsMissing() throws IOException {
            final MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();
            packer.packArrayHeader(2).packInt(MessageType.PING).packMapHeader(0);
            assertThatThrownBy(() -> PeerCodec.decode(packer.toByteArray()))
                    .isInstanceOf(BilberrylaneException.class)
                    .hasMessageContaining("lacks field 1");
        }
    }
}
