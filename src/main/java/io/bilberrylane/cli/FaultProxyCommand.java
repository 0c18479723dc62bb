package io.bilberrylane.cli;

import com.google.common.flogger.FluentLogger;
import io.bilberrylane.base.BilberrylaneException;
import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.net.Transport;
import io.bilberrylane.soak.FaultProxy;
import io.bilberrylane.soak.ProxyControl;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/** Runs proxies that inject faults into the connections that pass through them. */
final class FaultProxyCommand implements Command {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    @Override
    public String name() {
        return "fault-proxy";
    }

    @Override
    public String help() {
        return "run proxies on loopback that delay, reset, silence or cut connections one way";
    }

    @Override
    public List<Flag> flags() {
        return List.of(
                Flag.required("listen", "IP:PORT,...", "where the proxies listen"),
                Flag.required("server", "IP:PORT,...", "where each of them connects, in order"),
                Flag.required("control-address", "IP:PORT", "accepts POST /fault/INDEX/FAULT"));
    }

    @Override
    public int run(final Settings settings, final List<String> arguments) {
        final List<InetSocketAddress> listenAddresses = settings.addresses("listen");
        final List<InetSocketAddress> serverAddresses = settings.addresses("server");
        final InetSocketAddress controlAddress = settings.address("control-address");
        settings.orThrow();
        if (listenAddresses.size() != serverAddresses.size()) {
            throw new BilberrylaneException(
                    ErrorCode.SETTINGS_INVALID,
                    "--listen and --server must name the same number of addresses");
        }
        final Transport transport = Transport.of(1);
        final List<FaultProxy> proxies = new ArrayList<>();
        for (int i = 0; i < listenAddresses.size(); i++) {
            proxies.add(
                    FaultProxy.start(transport, listenAddresses.get(i), serverAddresses.get(i)));
        }
        final ProxyControl proxyControl = ProxyControl.start(transport, controlAddress, proxies);
        LOGGER.atInfo().log("%d proxies ready", proxies.size());
        return Daemon.runUntilStopped(
                () -> {
                    proxyControl.close();
                    proxies.forEach(FaultProxy::close);
                });
    }
}
