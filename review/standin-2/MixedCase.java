import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Answers are lost while one machine freezes and wakes again; calls may run again. */
final class MixedCase {
    private static final int ANSWER_BYTES = 90_000;
    private static final int PIECE_BYTES = 12_000;
    private static final int SLOTS = 3;

    /** The clients at the machines of zone c, which have no worker of the service beside them. */
    private static final int CLIENTS = 8;

    /** The clients at each machine of the other zones, which keep their workers busy. */
    private static final int CLIENTS_ELSEWHERE = 5;

    /** In windows, two of four workers lose a part of their answers and one machine freezes. */
    private static final double LOST_SHARE = 0.3;

    private static final double WINDOW_SECONDS = 3;
    private static final double CALM_SECONDS = 4;
    private static final int STOP_MILLIS = 200;
    private static final int WAKE_MILLIS = 200;
    private static final double END_SECONDS = 106;

    private MixedCase() {}

    public static void main(final String[] arguments) {
        Cases.run(arguments, MixedCase::isBroken);
    }

    private static boolean isBroken(final Fleet fleet, final boolean trouble) throws Exception {
        fleet.setTenants(
                "[{\"name\":\"north\",\"apiKeys\":[\"key-of-north\"],\"priority\":1,\"ratePerS\":0,"
                        + "\"burst\":0}]");
        fleet.putConfig(
                "[" + Fleet.service("records") + "," + Fleet.service("other") + "]",
                "["
                        + Fleet.host(
                                "clinic.example",
                                Fleet.route("/bundle/", "download", "records", 4, 1.3)
                                        .replace("\"attempts\":2", "\"attempts\":3"))
                        + "]");
        fleet.addMachine("side-c-1", "zone-c", "records");
        fleet.addMachine("side-c-5", "zone-c", "records");
        fleet.addMachine("side-b-1", "zone-b", "records");
        fleet.addMachine("side-a-1", "zone-a", "records");
        fleet.addMachine("side-c-2", "zone-c", "other");
        fleet.addMachine("side-c-3", "zone-c", "other");
        fleet.addMachine("side-c-4", "zone-c", "other");
        final AtomicBoolean lost = new AtomicBoolean();
        for (final Fleet.Machine machine : fleet.machines) {
            final boolean losesAnswers = machine.zone.equals("zone-c");
            machine.worker.setSlots(SLOTS);
            machine.worker.setAnswers(ANSWER_BYTES, PIECE_BYTES);
            machine.worker.setJob(
                    run -> {
                        final ThreadLocalRandom random = ThreadLocalRandom.current();
                        if (losesAnswers && lost.get() && random.nextDouble() < LOST_SHARE) {
                            Thread.sleep(2);
                            return -1;
                        }
                        Thread.sleep(random.nextInt(losesAnswers ? 10 : 20, losesAnswers ? 40 : 140));
                        return 200;
                    });
        }
        fleet.startNodes();
        final AtomicInteger sent = new AtomicInteger();
        final AtomicInteger mixed = new AtomicInteger();
        final AtomicInteger spoiled = new AtomicInteger();
        final AtomicInteger served = new AtomicInteger();
        final AtomicBoolean over = new AtomicBoolean();
        for (int i = 0; i < CLIENTS + 2 * CLIENTS_ELSEWHERE; i++) {
            final Fleet.Machine machine =
                    fleet.machines.get(i < CLIENTS ? 4 + i % 3 : 2 + i % 2);
            Thread.ofVirtual()
                    .start(
                            () -> {
                                while (!over.get()) {
                                    sent.incrementAndGet();
                                    play(fleet, machine, mixed, spoiled, served, over);
                                }
                            });
        }
        final Process frozen = fleet.machines.get(0).node;
        while (fleet.seconds() < END_SECONDS && mixed.get() == 0) {
            final double windowEnd = Math.min(END_SECONDS, fleet.seconds() + WINDOW_SECONDS);
            lost.set(trouble);
            while (trouble && fleet.seconds() < windowEnd) {
                Fleet.signal(frozen, "STOP");
                Thread.sleep(STOP_MILLIS);
                Fleet.signal(frozen, "CONT");
                Thread.sleep(WAKE_MILLIS);
            }
            lost.set(false);
            final double calmSeconds = Math.min(CALM_SECONDS, END_SECONDS - fleet.seconds());
            Thread.sleep((long) Math.max(0, calmSeconds * 1_000));
        }
        over.set(true);
        fleet.note(
                "%d requests, %d served; %d got a whole 200 whose body is not that of the worker that"
                        + " signed it; %d more got such bytes and a visible break",
                sent.get(), served.get(), mixed.get(), spoiled.get());
        return mixed.get() > 0;
    }

    private static void pause() {
        try {
            Thread.sleep(100);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static List<String> headers(final String id) {
        final List<String> headers = new ArrayList<>(Client.headers("clinic.example", id, 4_000));
        headers.add("Authorization: Token key-of-north");
        return headers;
    }

    private static void play(
            final Fleet fleet,
            final Fleet.Machine machine,
            final AtomicInteger mixed,
            final AtomicInteger spoiled,
            final AtomicInteger served,
            final AtomicBoolean over) {
        final String id = Client.newId();
        final Client.Partial answer =
                Client.callPartial(
                        machine.outbound,
                        "GET /bundle/1 HTTP/1.1",
                        headers(id),
                        5_000);
        if (over.get()) {
            return;
        }
        if (answer.head() == null || answer.head().status() != 200) {
            fleet.note(
                    "client at %s, id %s: %s",
                    machine.name, id, answer.head() == null ? "no answer" : answer.head().status());
            pause();
            return;
        }
        final String signature = answer.head().header("x-response-signature");
        final String worker = signature.substring(0, signature.indexOf('.'));
        final byte[] whole = Worker.answer(worker, id, ANSWER_BYTES);
        final byte[] begin = Arrays.copyOf(whole, Math.min(whole.length, answer.body().length));
        if (Arrays.equals(begin, answer.body()) && answer.body().length <= whole.length) {
            served.addAndGet(answer.body().length == whole.length ? 1 : 0);
            fleet.note(
                    "client at %s, id %s: 200 signed by %s, %d bytes of its answer",
                    machine.name, id, worker, answer.body().length);
            return;
        }
        final boolean isWhole = answer.body().length >= whole.length;
        (isWhole ? mixed : spoiled).incrementAndGet();
        final int at = Arrays.mismatch(begin, answer.body());
        final int to = Math.min(answer.body().length, at + 120);
        fleet.note(
                "client at %s, id %s: 200 signed by %s, %d of %d bytes; from byte %d on: '%s'",
                machine.name,
                id,
                worker,
                answer.body().length,
                whole.length,
                at,
                new String(Arrays.copyOfRange(answer.body(), at, to)).replace('\n', '|'));
    }
}
