import java.io.File;
import java.io.IOException;
import java.net.BindException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment on loopback: the platform's stand-in, and one node and one worker for each
 * machine. Nodes are started with the command and the settings template of the deploy file.
 */
final class Fleet implements AutoCloseable {
    private static final int PORTS_PER_MACHINE = 6;
    private static final int START_MILLIS = 20_000;
    private static final int FIRST_PORT = 12_000;
    private static final int PORT_RANGES = 190;
    private static final int PORTS_PER_RANGE = 100;

    private static int sNextPort =
            FIRST_PORT
                    + (int) (ProcessHandle.current().pid() % PORT_RANGES) * PORTS_PER_RANGE;


    /** One machine: a node and, unless it has none, the worker beside it. */
    static final class Machine {
        final String name;
        final String zone;
        final String service;
        final int[] ports;
        Path settings;
        Process process;
        Worker worker;

        Machine(final String name, final String zone, final String service, final int[] ports) {
            this.name = name;
            this.zone = zone;
            this.service = service;
            this.ports = ports;
        }

        InetSocketAddress outbound() {
            return local(ports[0]);
        }

        InetSocketAddress control() {
            return local(ports[2]);
        }

        InetSocketAddress readiness() {
            return local(ports[4]);
        }
    }

    private final Record mRecord;
    private final Path mFolder;
    private final List<Machine> mMachines = new ArrayList<>();
    private final Map<String, String> mZones = new TreeMap<>();
    private final InetSocketAddress mStore;
    private Process mPlatform;

    Fleet(final Record record) throws IOException {
        mRecord = record;
        mFolder = Files.createTempDirectory("bilberrylane-review");
        mStore = local(freePorts(1)[0]);
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    static InetSocketAddress local(final int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    /**
     * Returns free ports from a range of this process, below those that the system gives to
     * outgoing connections.
     */
    static synchronized int[] freePorts(final int count) throws IOException {
        final int[] ports = new int[count];
        for (int i = 0; i < count; ) {
            final int port = sNextPort++;
            try (ServerSocket tcp = new ServerSocket(port, 1, InetAddress.getLoopbackAddress());
                    DatagramSocket udp = new DatagramSocket(local(port))) {
                if (tcp.isBound() && udp.isBound()) {
                    ports[i++] = port;
                }
            } catch (BindException e) {
                continue;
            }
        }
        return ports;
    }

    // -- start

    Machine add(final String name, final String zone, final String service) throws IOException {
        final Machine machine = new Machine(name, zone, service, freePorts(PORTS_PER_MACHINE));
        mZones.put(zone, "region");
        mMachines.add(machine);
        return machine;
    }

    List<Machine> machines() {
        return mMachines;
    }

    /** Starts the platform and every node, and writes the configuration. */
    void start(final String configuration) throws IOException {
        final List<String> words = command();
        words.set(words.size() - 1, "platform-standin");
        words.add("--address");
        words.add("127.0.0.1:" + mStore.getPort());
        mPlatform = spawn(words, null, "platform");
        await("the platform", () -> Http.call(mStore, "GET", "/-/objects/config", "", 500).status());
        final Http.Message written =
                Http.call(
                        mStore,
                        "POST",
                        "/-/objects/config",
                        "{\"metadata\":{\"name\":\"main\"},\"spec\":" + configuration + "}",
                        2_000);
        if (written.status() != 200) {
            throw new IOException("the configuration was not accepted: " + written.first());
        }
        for (final Machine machine : mMachines) {
            startNode(machine);
        }
        for (final Machine machine : mMachines) {
            awaitReady(machine);
        }
    }

    void awaitReady(final Machine machine) throws IOException {
        await(
                machine.name,
                () -> Http.call(machine.readiness(), "GET", "/readyz", "", 500).status());
    }

    private interface Check {
        int status() throws IOException;
    }

    private void await(final String name, final Check check) throws IOException {
        final long endMillis = mRecord.millis() + START_MILLIS;
        while (mRecord.millis() < endMillis) {
            try {
                if (check.status() == 200) {
                    return;
                }
            } catch (IOException e) {
                Cases.sleep(20);
                continue;
            }
            Cases.sleep(20);
        }
        throw new IOException(name + " is not ready after " + START_MILLIS + " ms");
    }

    void startNode(final Machine machine) throws IOException {
        machine.settings = mFolder.resolve(machine.name + ".yaml");
        Files.writeString(machine.settings, settings(machine));
        machine.process = spawn(command(), machine.settings, machine.name);
        mRecord.log("START    node %s, process %d", machine.name, machine.process.pid());
    }

    private Process spawn(final List<String> words, final Path settings, final String name)
            throws IOException {
        final ProcessBuilder builder = new ProcessBuilder(words);
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        if (settings != null) {
            builder.environment().put("BILBERRYLANE_CONFIG", settings.toString());
        }
        final File log = mFolder.resolve(name + ".log").toFile();
        return builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
                .start();
    }

    /** Returns the words of the command under 'run' in the deploy file. */
    private static List<String> command() throws IOException {
        final String deploy = Files.readString(Path.of("deploy/system.toml"));
        final Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
        if (!run.find()) {
            throw new IOException("deploy/system.toml has no 'run'");
        }
        return new ArrayList<>(List.of(run.group(1).split(" ")));
    }

    /** Fills in the template of the deploy file, as the platform does. */
    private String settings(final Machine machine) throws IOException {
        String text = Files.readString(Path.of("deploy/node.yaml"));
        final StringBuilder regions = new StringBuilder();
        mZones.forEach(
                (zone, region) ->
                        regions.append(regions.isEmpty() ? "" : ",")
                                .append(zone)
                                .append('=')
                                .append(region));
        text = text.replaceAll("(?m)^regions: .*$", "regions: \"" + regions + "\"");
        final Map<String, String> values =
                Map.ofEntries(
                        Map.entry("node|json", "\"" + machine.name + "\""),
                        Map.entry("zone|json", "\"" + machine.zone + "\""),
                        Map.entry("service|json", "\"" + machine.service + "\""),
                        Map.entry("listenAddrs.outbound|json", address(machine.ports[0])),
                        Map.entry("ip", "127.0.0.1"),
                        Map.entry("internalPorts.0", "" + machine.ports[1]),
                        Map.entry("listenAddrs.control|json", address(machine.ports[2])),
                        Map.entry("internalPorts.1", "" + machine.ports[3]),
                        Map.entry("listenAddrs.readinessAddr|json", address(machine.ports[4])),
                        Map.entry("provider.address", "127.0.0.1:" + mStore.getPort()),
                        Map.entry("appAddr|json", address(machine.ports[5])),
                        Map.entry("heartbeatS", "1.5"),
                        Map.entry("bounds.graceS", "6"),
                        Map.entry("bounds.coldOverage", "1.5"),
                        Map.entry("bounds.coldSlack", "5"),
                        Map.entry("bounds.retryBudgetRatio", "0.2"),
                        Map.entry("bounds.budgetWindowS", "10"),
                        Map.entry("bounds.budgetSlack", "60"),
                        Map.entry("bounds.probesPerS", "60"));
        for (final Map.Entry<String, String> value : values.entrySet()) {
            text = text.replace("{{" + value.getKey() + "}}", value.getValue());
        }
        if (text.contains("{{")) {
            throw new IOException("a placeholder of deploy/node.yaml is not known here: " + text);
        }
        return text;
    }

    private static String address(final int port) {
        return "\"127.0.0.1:" + port + "\"";
    }

    /** Starts the worker beside a machine's node. */
    Worker startWorker(
            final Machine machine,
            final InetSocketAddress control,
            final long workMillis,
            final long seed)
            throws IOException {
        machine.worker =
                new Worker(
                        mRecord,
                        machine.name,
                        machine.service,
                        machine.zone,
                        machine.ports[5],
                        control,
                        workMillis,
                        seed);
        machine.worker.start();
        return machine.worker;
    }

    // -- disruptions

    void kill(final Machine machine) {
        mRecord.log("TROUBLE  node %s killed", machine.name);
        machine.process.destroyForcibly();
    }

    void freeze(final Machine machine) throws IOException {
        mRecord.log("TROUBLE  node %s stopped (SIGSTOP)", machine.name);
        signal(machine, "STOP");
    }

    void wake(final Machine machine) throws IOException {
        mRecord.log("TROUBLE  node %s goes on (SIGCONT)", machine.name);
        signal(machine, "CONT");
    }

    private static void signal(final Machine machine, final String name) throws IOException {
        final Process kill =
                new ProcessBuilder("kill", "-" + name, String.valueOf(machine.process.pid()))
                        .start();
        try {
            kill.waitFor(2, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // -- end

    @Override
    public void close() {
        for (final Machine machine : mMachines) {
            if (machine.worker != null) {
                machine.worker.close();
            }
            if (machine.process != null) {
                machine.process.destroyForcibly();
            }
        }
        if (mPlatform != null) {
            mPlatform.destroyForcibly();
        }
        if (System.getenv("KEEP_LOGS") != null) {
            return;
        }
        try (Stream<Path> files = Files.walk(mFolder)) {
            files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        } catch (IOException e) {
            System.err.println("temporary folder not removed: " + e);
        }
    }
}
