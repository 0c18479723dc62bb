import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * A small deployment on loopback: the platform's store (the project's stand-in), and for each
 * machine a node, started with the command of the deploy file, and a worker. Run in the root of the
 * repository.
 */
final class Fleet implements AutoCloseable {
    private static final long READY_MILLIS = 20_000;
    private static final int FIRST_PORT = 12_000;
    private static final int PORTS = 18_000;
    private static final Random RANDOM = new Random();
    private static final Set<Integer> USED_PORTS = new HashSet<>();
    static final double HEARTBEAT_SECONDS = 1.5;
    static final String LIMITS =
            "{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutS\":3,\"idleTimeoutS\":15}";

    /** One machine. */
    static final class Machine {
        final String name;
        final String zone;
        final String service;
        final int outbound = freePort();
        final int inbound = freePort();
        final int readiness = freePort();
        final int control = freePort();
        final int peer = freePort();
        final int operator = freePort();
        Worker worker;
        StoreProxy storeProxy;
        Process node;

        Machine(final String name, final String zone, final String service) {
            this.name = name;
            this.zone = zone;
            this.service = service;
        }
    }

    final List<Machine> machines = new ArrayList<>();
    private final PrintWriter mRecord;
    private final long mStartNanos = System.nanoTime();
    private final Path mFolder;
    private final List<Process> mProcesses = new ArrayList<>();
    private Process mStore;
    private int mStorePort;
    private long mConfigVersion = 100;
    private long mConfigRevision;
    private String mTenants = "";

    Fleet(final Path record) throws IOException {
        mRecord = new PrintWriter(Files.newBufferedWriter(record, StandardCharsets.UTF_8), true);
        mFolder = Files.createTempDirectory("review-");
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    // -- record

    void note(final String format, final Object... values) {
        final double seconds = (System.nanoTime() - mStartNanos) / 1e9;
        final String line =
                String.format(Locale.ROOT, "%8.3f  ", seconds)
                        + String.format(Locale.ROOT, format, values);
        synchronized (mRecord) {
            mRecord.println(line);
        }
    }

    double seconds() {
        return (System.nanoTime() - mStartNanos) / 1e9;
    }

    // -- start

    /**
     * Returns a port that is free for TCP and UDP and was not returned before. It lies below the
     * ports that the system gives to outgoing connections.
     */
    static synchronized int freePort() {
        while (true) {
            final int port = FIRST_PORT + RANDOM.nextInt(PORTS);
            final InetSocketAddress address = new InetSocketAddress("127.0.0.1", port);
            try (ServerSocket tcp = new ServerSocket();
                    DatagramSocket udp = new DatagramSocket(address)) {
                tcp.bind(address);
                if (udp.isBound() && USED_PORTS.add(port)) {
                    return port;
                }
            } catch (IOException e) {
                // Another port is tried.
            }
        }
    }

    void startStore() throws Exception {
        mStorePort = freePort();
        mStore =
                spawn(
                        List.of(
                                "target/bilberrylane",
                                "platform-standin",
                                "--address",
                                "127.0.0.1:" + mStorePort),
                        null,
                        "store");
        awaitTrue("the store answers", () -> storeCall("GET", "/-/objects/config", "") == 200);
    }

    /** Sets the tenants of the configurations that are written from now on. */
    void setTenants(final String tenants) {
        mTenants = tenants;
    }

    /** Writes a configuration; the store's answer is its acknowledgement. */
    void putConfig(final String services, final String virtualHosts) throws Exception {
        mConfigVersion += 3;
        final String spec =
                "{\"version\":"
                        + mConfigVersion
                        + ",\"services\":"
                        + services
                        + ",\"limits\":"
                        + LIMITS
                        + ",\"virtualHosts\":"
                        + virtualHosts
                        + (mTenants.isEmpty() ? "" : ",\"tenants\":" + mTenants)
                        + "}";
        final String object =
                "{\"metadata\":{\"name\":\"main\""
                        + (mConfigRevision > 0 ? ",\"revision\":" + mConfigRevision : "")
                        + "},\"spec\":"
                        + spec
                        + ",\"status\":null}";
        final Client.Answer answer =
                mConfigRevision > 0
                        ? storeRequest("PUT", "/-/objects/config/main", object)
                        : storeRequest("POST", "/-/objects/config", object);
        if (answer.status() / 100 != 2) {
            throw new IllegalStateException("the store refused a configuration: " + answer);
        }
        final String text = new String(answer.body(), StandardCharsets.UTF_8);
        mConfigRevision =
                Long.parseLong(text.replaceAll("(?s).*?\"revision\":\\s*(\\d+).*", "$1"));
        note("configuration version %d acknowledged, %d bytes", mConfigVersion, spec.length());
    }

    private Client.Answer storeRequest(final String method, final String path, final String body) {
        return Client.call(
                mStorePort,
                method + " " + path + " HTTP/1.1",
                List.of("Host: store", "Content-Type: application/json"),
                Http.bytes(body),
                5_000);
    }

    private int storeCall(final String method, final String path, final String body) {
        return storeRequest(method, path, body).status();
    }

    /** Returns whether a worker of a service has run a request. */
    boolean hasRunAt(final String service, final String requestId) {
        return machines.stream()
                .filter(machine -> machine.service.equals(service))
                .flatMap(machine -> machine.worker.runs.stream())
                .anyMatch(run -> run.id().equals(requestId));
    }

    Machine addMachine(final String name, final String zone, final String service)
            throws Exception {
        final Machine machine = new Machine(name, zone, service);
        machine.storeProxy = new StoreProxy(mStorePort);
        machine.worker = new Worker(this, machine);
        machines.add(machine);
        return machine;
    }

    void startNodes() throws Exception {
        for (final Machine machine : machines) {
            startNode(machine);
        }
        for (final Machine machine : machines) {
            machine.worker.start(HEARTBEAT_SECONDS);
        }
        for (final Machine machine : machines) {
            awaitTrue(machine.name + " is ready", () -> isReady(machine));
        }
        Thread.sleep(3_000);
        note("%d nodes are ready", machines.size());
    }

    boolean isReady(final Machine machine) {
        return Client.call(
                                machine.readiness,
                                "GET /readyz HTTP/1.1",
                                List.of("Host: node"),
                                null,
                                1_000)
                        .status()
                == 200;
    }

    /** Starts the node of a machine with the command of the deploy file. */
    void startNode(final Machine machine) throws Exception {
        final Path settings = mFolder.resolve(machine.name + ".yaml");
        Files.writeString(settings, settings(machine));
        String command = null;
        for (final String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                command = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        machine.node = spawn(List.of(command.split(" ")), settings, machine.name);
        note("node %s started, process %d", machine.name, machine.node.pid());
    }

    private String settings(final Machine m) {
        return "interface: platform\n"
                + "host: \"" + m.name + "\"\n"
                + "data-centre: \"" + m.zone + "\"\n"
                + "regions: \"zone-a=region,zone-b=region,zone-c=region\"\n"
                + "service: \"" + m.service + "\"\n"
                + "caller-address: \"127.0.0.1:" + m.outbound + "\"\n"
                + "peer-address: \"127.0.0.1:" + m.peer + "\"\n"
                + "target-address: \"127.0.0.1:" + m.control + "\"\n"
                + "operator-address: \"127.0.0.1:" + m.operator + "\"\n"
                + "readiness-address: \"127.0.0.1:" + m.readiness + "\"\n"
                + "platform: \"http://127.0.0.1:" + m.storeProxy.port() + "\"\n"
                + "served-address: \"127.0.0.1:" + m.worker.port() + "\"\n"
                + "announcement-seconds: 1.5\n"
                + "drain-seconds: 6\n"
                + "cold-overage: 1.5\n"
                + "cold-slack: 5\n"
                + "retry-ratio: 0.2\n"
                + "retry-window-seconds: 10\n"
                + "retry-slack: 58\n"
                + "probes-per-second: 60\n"
                + "quota-window-seconds: 5\n"
                + "quota-overage: 0.1\n"
                + "quota-slack: 20\n";
    }

    private Process spawn(final List<String> command, final Path settings, final String name)
            throws IOException {
        final ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment()
                .keySet()
                .removeIf(key -> !List.of("PATH", "HOME", "JAVA_HOME", "LANG").contains(key));
        if (settings != null) {
            builder.environment().put("BILBERRYLANE_CONFIG", settings.toString());
        }
        final File log = mFolder.resolve(name + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        final Process process = builder.start();
        synchronized (mProcesses) {
            mProcesses.add(process);
        }
        return process;
    }

    /** Sends a signal to a process that this class has started. */
    static void signal(final Process process, final String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
    }

    /** A condition that may fail to be checked. */
    interface Condition {
        boolean holds() throws Exception;
    }

    void awaitTrue(final String what, final Condition condition) throws Exception {
        final long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_MILLIS);
        while (!condition.holds()) {
            if (System.nanoTime() - end > 0) {
                throw new IllegalStateException("waited in vain: " + what);
            }
            Thread.sleep(100);
        }
    }

    // -- end

    /** Copies the logs of the processes to a folder, if one is named. */
    private void keepLogs() throws IOException {
        final String target = System.getenv("REVIEW_LOGS");
        if (target == null || !Files.exists(mFolder)) {
            return;
        }
        Files.createDirectories(Path.of(target));
        try (Stream<Path> files = Files.list(mFolder)) {
            for (final Path file : files.toList()) {
                Files.copy(
                        file,
                        Path.of(target).resolve(file.getFileName()),
                        StandardCopyOption.REPLACE_EXISTING);
            }
        }
    }

    @Override
    public void close() {
        try {
            synchronized (mProcesses) {
                mProcesses.forEach(Process::destroyForcibly);
                for (final Process process : mProcesses) {
                    process.waitFor(5, TimeUnit.SECONDS);
                }
            }
            keepLogs();
            if (Files.exists(mFolder)) {
                try (Stream<Path> files = Files.walk(mFolder)) {
                    files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
                }
            }
        } catch (IOException | InterruptedException e) {
            mRecord.println("end: " + e);
        }
    }

    // -- configurations

    static String service(final String name) {
        return service(name, "/healthz");
    }

    static String service(final String name, final String healthPath) {
        return "{\"name\":\""
                + name
                + "\",\"healthPath\":\""
                + healthPath
                + "\",\"maxConnections\":220,\"protocol\":\"h1\",\"tls\":false,"
                + "\"coldStartS\":3.0,\"coldPerS\":7.1}";
    }

    static String route(
            final String prefix,
            final String type,
            final String service,
            final double timeoutSeconds,
            final double latencySeconds) {
        return "{\"name\":\"r-"
                + Integer.toHexString((prefix + type).hashCode())
                + "\",\"pathPrefix\":\""
                + prefix
                + "\",\"type\":\""
                + type
                + "\",\"timeoutS\":"
                + timeoutSeconds
                + ",\"targetLatencyS\":"
                + latencySeconds
                + ",\"priority\":1,\"service\":\""
                + service
                + "\",\"attempts\":2}";
    }

    static String host(final String name, final String... routes) {
        return "{\"host\":\"" + name + "\",\"paths\":[" + String.join(",", routes) + "]}";
    }
}
