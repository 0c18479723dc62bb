package io.bilberrylane.node;

import com.google.common.flogger.FluentLogger;
import io.bilberrylane.base.GuardedTask;
import io.bilberrylane.base.LockRank;
import io.bilberrylane.base.RankedLock;
import io.bilberrylane.membership.ConfigurationVersion;
import io.bilberrylane.membership.Member;
import io.bilberrylane.membership.MemberStatus;
import io.bilberrylane.membership.MemberTable;
import io.bilberrylane.membership.OutgoingDatagram;
import io.bilberrylane.membership.Swim;
import io.bilberrylane.membership.SwimMessage;
import io.bilberrylane.membership.SwimSettings;
import io.bilberrylane.membership.TargetRecord;
import io.bilberrylane.net.Ticker;
import io.bilberrylane.net.Transport;
import io.bilberrylane.peer.GossipCodec;
import io.bilberrylane.peer.NodeIdentity;
import io.bilberrylane.policy.Candidate;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;

/** Runs the SWIM membership protocol over UDP and maintains an index of targets by service. */
public final class MembershipService implements AutoCloseable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** The targets of each service, as of a change count of the member table. */
    private record TargetIndex(long changeCount, Map<String, List<TargetRef>> targets) {
        private static final TargetIndex NONE = new TargetIndex(Long.MIN_VALUE, Map.of());
    }

    private final Transport mTransport;
    private final RankedLock mLock = RankedLock.of(LockRank.MEMBERSHIP);
    private final MemberTable mTable;
    private final Swim mSwim;
    private final LongAdder mSentBytes = new LongAdder();
    private final LongAdder mReceivedBytes = new LongAdder();
    private volatile long mChangeCount = -1;
    private volatile TargetIndex mIndex = TargetIndex.NONE;
    private volatile BiConsumer<InetSocketAddress, ConfigurationVersion> mVersionListener =
            (address, version) -> {};
    private Channel mChannel;
    private Runnable mStopTicks;

    private MembershipService(final Transport transport, final Member self) {
        mTransport = transport;
        mTable = MemberTable.of(SwimSettings.DEFAULT, self, System.nanoTime());
        mSwim = Swim.of(SwimSettings.DEFAULT, mTable, new Random(self.incarnation()));
    }

    /**
     * Starts a service.
     *
     * @param transport the threads and channel types
     * @param identity the identity of this process
     * @param address the IP address and port of both the TCP server for peers and the UDP socket
     * @return the running service
     */
    public static MembershipService start(
            final Transport transport,
            final NodeIdentity identity,
            final InetSocketAddress address) {
        final Member self =
                new Member(
                        identity.host(),
                        identity.dataCentre(),
                        Addresses.format(address),
                        identity.incarnation(),
                        1,
                        MemberStatus.ALIVE,
                        Optional.empty());
        final MembershipService service = new MembershipService(transport, self);
        service.listen(address);
        return service;
    }

    private void listen(final InetSocketAddress address) {
        mChannel =
                mTransport
                        .datagramBootstrap()
                        .handler(
                                new SimpleChannelInboundHandler<DatagramPacket>() {
                                    @Override
                                    protected void channelRead0(
                                            final ChannelHandlerContext ctx,
                                            final DatagramPacket packet) {
                                        onPacket(packet);
                                    }

                                    @Override
                                    public void exceptionCaught(
                                            final ChannelHandlerContext ctx,
                                            final Throwable cause) {
                                        LOGGER.atInfo().atMostEvery(10, TimeUnit.SECONDS).log(
                                                "datagram ignored: %s", cause);
                                    }
                                })
                        .bind(address)
                        .syncUninterruptibly()
                        .channel();
        mStopTicks =
                mTransport
                        .ticker()
                        .every(Ticker.TICK_MILLIS, GuardedTask.of("membership tick", this::tick));
    }

    // -- protocol

    private void tick() {
        send(updateTable(() -> mSwim.tick(System.nanoTime())));
    }

    /** Runs an action that may change the member table, holding the lock. */
    private <T> T updateTable(final Supplier<T> action) {
        return mLock.get(
                () -> {
                    final T result = action.get();
                    mChangeCount = mTable.changeCount();
                    return result;
                });
    }

    /**
     * Returns how often the members' records have changed.
     *
     * @return the count; an unchanged count means unchanged members
     */
    long changeCount() {
        return mChangeCount;
    }

    private void onPacket(final DatagramPacket packet) {
        final byte[] bytes = new byte[packet.content().readableBytes()];
        packet.content().readBytes(bytes);
        mReceivedBytes.add(bytes.length);
        final SwimMessage message = GossipCodec.decode(bytes);
        send(updateTable(() -> mSwim.receive(message, System.nanoTime())));
        mVersionListener.accept(packet.sender(), message.configurationVersion());
    }

    private void send(final List<OutgoingDatagram> messages) {
        for (final OutgoingDatagram datagram : messages) {
            final byte[] bytes = GossipCodec.encode(datagram.message());
            mSentBytes.add(bytes.length);
            mChannel.writeAndFlush(
                    new DatagramPacket(
                            Unpooled.wrappedBuffer(bytes),
                            Addresses.parse(datagram.peerAddress())));
        }
    }

    /**
     * Sets the listener for the configuration versions of other nodes.
     *
     * @param listener receives the peer address and the active version of a node
     */
    public void setVersionListener(
            final BiConsumer<InetSocketAddress, ConfigurationVersion> listener) {
        mVersionListener = listener;
    }

    /**
     * Sets the configuration version that is sent to other nodes.
     *
     * @param version the active version of this node
     */
    public void updateConfigurationVersion(final ConfigurationVersion version) {
        mLock.run(() -> mSwim.updateConfigurationVersion(version));
    }

    /** Announces immediately to other nodes that this node has a newer configuration. */
    public void announceConfiguration() {
        mLock.run(mSwim::announceConfiguration);
        tickNow();
    }

    // -- members

    /**
     * Returns all known members.
     *
     * @return a copy that includes dead members
     */
    public List<Member> members() {
        return mLock.get(mTable::members);
    }

    /**
     * Returns the number of nodes that may serve calls, including this one.
     *
     * @return the number, at least 1
     */
    public int presentCount() {
        return Math.max(1, mLock.get(mTable::presentCount));
    }

    /**
     * Returns the record of a host.
     *
     * @param host the host
     * @return the record; empty if the host is unknown
     */
    public Optional<Member> member(final String host) {
        return mLock.get(() -> mTable.member(host));
    }

    /**
     * Merges the member records of another node and announces this node to members that are new
     * here.
     *
     * @param members the records
     */
    public void merge(final List<Member> members) {
        final boolean hasNewMembers =
                updateTable(() -> mSwim.mergeTable(members, System.nanoTime()));
        if (hasNewMembers) {
            tickNow();
        }
    }

    private void tickNow() {
        mChannel.eventLoop().execute(GuardedTask.of("membership tick", this::tick));
    }

    /**
     * Announces a change of the target beside this node to all nodes.
     *
     * @param target the record of the target; empty if there is none
     */
    public void announceTarget(final Optional<TargetRecord> target) {
        updateSelf(self -> self.withStatus(MemberStatus.ALIVE).withTarget(target));
    }

    /** Announces to all nodes that this node is leaving. */
    public void announceLeave() {
        updateSelf(self -> self.withStatus(MemberStatus.LEFT).withTarget(Optional.empty()));
    }

    /** Announces to all nodes whether the platform answers the reads of this node. */
    void announceReadsPlatform(final boolean readsPlatform) {
        updateSelf(self -> self.withReadsPlatform(readsPlatform));
    }

    private void updateSelf(final UnaryOperator<Member> change) {
        updateTable(
                () -> {
                    mTable.updateSelf(change.apply(mTable.self()), System.nanoTime());
                    mSwim.announceSelf();
                    return mTable.self();
                });
        tickNow();
    }

    /**
     * Returns the local health multiplier of this node: how unreliable its own failure detection
     * is.
     *
     * @return 0 if healthy, at most 8
     */
    public int localHealthMultiplier() {
        return mLock.get(mSwim::localHealthMultiplier);
    }

    /**
     * Returns the number of datagram bytes sent and received since the start.
     *
     * @return the number of bytes
     */
    public long datagramBytes() {
        return mSentBytes.sum() + mReceivedBytes.sum();
    }

    // -- targets

    List<TargetRef> targets(final String service) {
        TargetIndex index = mIndex;
        if (index.changeCount() != mChangeCount) {
            index =
                    mLock.get(
                            () ->
                                    new TargetIndex(
                                            mTable.changeCount(),
                                            indexByService(mTable.members())));
            mIndex = index;
        }
        return index.targets().getOrDefault(service, List.of());
    }

    private static Map<String, List<TargetRef>> indexByService(final List<Member> members) {
        final Map<String, List<TargetRef>> index = new HashMap<>();
        for (final Member member : members) {
            if (member.isPresent() && Addresses.isValid(member.peerAddress())) {
                member.target()
                        .filter(TargetRecord::accepting)
                        .ifPresent(
                                target ->
                                        index.computeIfAbsent(
                                                        target.service(),
                                                        service -> new ArrayList<>())
                                                .add(toTargetRef(member, target)));
            }
        }
        return index;
    }

    private static TargetRef toTargetRef(final Member member, final TargetRecord target) {
        return new TargetRef(
                new Candidate(member.host(), member.dataCentre(), target.slots()),
                Addresses.parse(member.peerAddress()),
                target.version());
    }

    @Override
    public void close() {
        mStopTicks.run();
        mChannel.close().syncUninterruptibly();
    }
}
