package io.cardamomshelf.bench;

import io.cardamomshelf.client.ConfigJson;
import io.cardamomshelf.client.FormatException;
import io.cardamomshelf.client.Json;
import io.cardamomshelf.client.WorkerCommand;
import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.InstanceId;
import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.config.Availability;
import io.cardamomshelf.core.config.Change;
import io.cardamomshelf.core.config.ConfigState;
import io.cardamomshelf.core.config.Edit;
import io.cardamomshelf.core.config.EntryKey;
import io.cardamomshelf.core.fleet.Allocation;
import io.cardamomshelf.core.fleet.Placement;
import io.cardamomshelf.core.fleet.Slice;
import io.cardamomshelf.core.fleet.Worker;
import io.cardamomshelf.core.job.CapacityState;
import io.cardamomshelf.core.job.Decision;
import io.cardamomshelf.core.job.JobRecord;
import io.cardamomshelf.core.job.JobTable;
import io.cardamomshelf.core.lease.GangNote;
import io.cardamomshelf.core.lease.Lease;
import io.cardamomshelf.core.lease.LeaseState;
import io.cardamomshelf.core.lease.WorkerReport;
import io.cardamomshelf.core.request.ClaimRecord;
import io.cardamomshelf.core.request.ClaimTable;
import io.cardamomshelf.wire.FrameCodec;
import io.cardamomshelf.wire.FrameException;
import io.cardamomshelf.wire.PeerMessage;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.DoubleUnaryOperator;
import java.util.function.IntFunction;

/**
 * Measures what state, messages and decisions cost at three sizes each, and fits lines through
 * them.
 *
 * <p>Use: {@code bin/bench capacity}. Bytes are counted, processor time is the thread's own, memory
 * is the live heap after a collection. {@code docs/CAPACITY.md} works with these lines.
 */
final class Capacity {

    private static final int COLLECTIONS = 4;
    private static final int REPEATS = 2_000;
    private static final int WARM_UP = 4_000;
    private static final double NANOS_PER_MICRO = 1_000;
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    private Capacity() {}

    static void print(PrintStream out) throws FormatException, FrameException {
        out.println("memory, bytes of live heap for each unit");
        memory(out, "worker and its cells (3 indexes)", Capacity::books, 2_000, 4_000, 8_000);
        memory(
                out,
                "running job (allocation, 1 worker)",
                Capacity::allocations,
                4_000,
                8_000,
                16_000);
        memory(out, "open job (table)", Capacity::table, 4_000, 8_000, 16_000);
        memory(out, "claimed key", Capacity::claims, 20_000, 40_000, 80_000);
        memory(out, "team with plan and grant", count -> Workload.lists(count, 17), 200, 400, 800);
        out.println("bytes of a message, by leases on the worker");
        line(out, "report", leases -> bytes(Json.write(report((int) leases))), 0, 8, 32);
        line(out, "poll with renewals", leases -> bytes(Json.write(poll((int) leases))), 0, 8, 32);
        out.println("bytes of a snapshot, by teams");
        line(out, "snapshot", teams -> bytes(snapshot((int) teams)), 100, 300, 600);
        out.printf(Locale.ROOT, "bytes of a heartbeat frame: %d%n", heartbeat());
        out.printf(Locale.ROOT, "bytes of an edit of one data centre: %d%n", edit(1).length());
        out.println("processor time, microseconds");
        line(out, "fold of one edit, by teams", Capacity::foldMicros, 100, 300, 600);
        line(out, "reading a report, by leases", Capacity::readMicros, 0, 8, 32);
        line(
                out,
                "one placement and release, by workers",
                Capacity::placeMicros,
                1_000,
                5_000,
                25_000);
        out.println("processor time of a dispatch round on a full fleet, milliseconds");
        line(
                out,
                "1,000 jobs waiting, by workers",
                workers -> new RoundCost((int) workers, 1_000).millis(),
                1_000,
                5_000,
                25_000);
        line(
                out,
                "25,000 workers, by jobs waiting",
                jobs -> new RoundCost(25_000, (int) jobs).millis(),
                100,
                300,
                1_000);
    }

    private static void memory(
            PrintStream out, String name, IntFunction<Object> make, int... sizes) {
        line(out, name, size -> heapOf(make, (int) size), toDoubles(sizes));
    }

    private static void line(
            PrintStream out, String name, DoubleUnaryOperator measure, double... sizes) {
        double[] values = new double[sizes.length];
        for (int index = 0; index < sizes.length; index++) {
            values[index] = measure.applyAsDouble(sizes[index]);
        }
        Slope slope = Slope.of(sizes, values);
        out.printf(
                Locale.ROOT,
                "  %-40s %10.3f each, base %10.1f, error %.1f%%, at %s: %s%n",
                name,
                slope.perUnit(),
                slope.base(),
                slope.errorPercent(),
                text(sizes),
                text(values));
    }

    private static String text(double[] values) {
        StringBuilder text = new StringBuilder();
        for (double value : values) {
            text.append(String.format(Locale.ROOT, "%.1f ", value));
        }
        return text.toString().trim();
    }

    private static double[] toDoubles(int[] sizes) {
        double[] doubles = new double[sizes.length];
        for (int index = 0; index < sizes.length; index++) {
            doubles[index] = sizes[index];
        }
        return doubles;
    }

    private static double heapOf(IntFunction<Object> make, int size) {
        make.apply(size);
        long before = liveHeap();
        Object made = make.apply(size);
        long after = liveHeap();
        if (made.hashCode() == before) {
            throw new IllegalStateException("keeps the object alive until here");
        }
        return after - before;
    }

    private static long liveHeap() {
        for (int round = 0; round < COLLECTIONS; round++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    private static CapacityState books(int workers) {
        CapacityState books = new CapacityState();
        books.reconfigure(Workload.lists(4, 1));
        Workload.workers(workers).forEach(books.fleet()::put);
        return books;
    }

    private static Object allocations(int jobs) {
        CapacityState books = books(jobs);
        List<SimJob> work = new Workload(1).jobs(1, 1, jobs, 4);
        for (int number = 0; number < jobs; number++) {
            SimJob job = work.get(number % work.size());
            JobId id = JobId.of("j-" + number);
            Slice slice = new Slice(Workload.workers(1).get(0).id(), 1);
            Placement cells = new Placement(Workload.site(0), List.of(slice));
            books.allocate(
                    new Allocation(
                            id,
                            job.spec().organisation(),
                            job.spec().demand(),
                            cells,
                            List.of(),
                            1,
                            1));
        }
        return books;
    }

    private static Object table(int jobs) {
        JobTable table = new JobTable();
        List<SimJob> work = new Workload(1).jobs(1, 1, jobs, 4);
        for (int number = 0; number < jobs; number++) {
            SimJob job = work.get(number % work.size());
            JobId id = JobId.of("j-" + number);
            table.fold(
                    number + 1L,
                    new JobRecord.Accepted(id, job.spec(), InstanceId.of("entry-" + number)));
        }
        return table;
    }

    private static Object claims(int keys) {
        ClaimTable table = new ClaimTable(keys);
        for (int number = 0; number < keys; number++) {
            table.fold(
                    number + 1L,
                    new ClaimRecord(
                            Workload.organisation(0),
                            "payout-" + number,
                            "attempt-" + number,
                            InstanceId.of("entry-1")));
        }
        return table;
    }

    private static WorkerReport report(int leases) {
        Worker worker = Workload.workers(1).get(0);
        List<Lease> held = new ArrayList<>();
        SimJob job = new Workload(1).jobs(1, 1, 8, 1).get(0);
        Placement cells = new Placement(worker.dataCentre(), List.of(new Slice(worker.id(), 1)));
        for (int number = 0; number < leases; number++) {
            JobId id = JobId.of("j-0123456789abcdef");
            GangNote note = new GangNote(id, job.spec(), cells, List.of());
            held.add(new Lease(id, 1L << 40, 1, LeaseState.RUNNING, 10_000, note));
        }
        return new WorkerReport(worker, 1, held, 8);
    }

    private static WorkerCommand.Poll poll(int leases) {
        List<WorkerCommand.Renewal> renewals = new ArrayList<>();
        for (int number = 0; number < leases; number++) {
            renewals.add(new WorkerCommand.Renewal(JobId.of("j-0123456789abcdef"), 1L << 40));
        }
        return new WorkerCommand.Poll(1, 10_000, renewals);
    }

    private static String snapshot(int teams) {
        return ConfigJson.write(Workload.lists(teams, 17));
    }

    private static int heartbeat() throws FrameException {
        PeerMessage beat =
                new PeerMessage.Heartbeat(
                        "entry-1.0123456789abcdef", 1_800_000_000_000L, 1, 55_000, true, false);
        return new FrameCodec().encode(beat).length;
    }

    private static String edit(int number) {
        return ConfigJson.write(editOf(number, 0));
    }

    private static Edit editOf(int number, long basedOn) {
        EntryKey key = EntryKey.dataCentre(DataCentreId.of("site-0"));
        Change change = new Change(key, basedOn, Optional.of(new Availability(true, "")));
        return new Edit(Edit.FORMAT, "e-" + number, "bench", List.of(change));
    }

    private static double foldMicros(double teams) {
        ConfigState[] state = {Workload.lists((int) teams, 17)};
        int[] number = {1};
        return micros(
                () -> {
                    long offset = state[0].offset();
                    long basedOn = number[0] == 1 ? 0 : offset;
                    state[0] = state[0].fold(offset + 1, editOf(++number[0], basedOn)).state();
                });
    }

    private static double readMicros(double leases) {
        String text = Json.write(report((int) leases));
        return micros(
                () -> {
                    try {
                        Json.read(text, WorkerReport.class);
                    } catch (FormatException e) {
                        throw new IllegalStateException(e);
                    }
                });
    }

    private static double placeMicros(double workers) {
        CapacityState books = books((int) workers);
        List<SimJob> jobs = new Workload(1).jobs(1, 1, 1_000, 4);
        int[] number = {0};
        return micros(
                () -> {
                    JobId id = JobId.of("j-" + number[0]);
                    SimJob job = jobs.get(number[0]++ % jobs.size());
                    Decision made = books.placer(site -> true).decide(id, job.spec(), 1);
                    if (made instanceof Decision.Place place) {
                        books.allocate(place.allocation());
                        books.release(id);
                    }
                });
    }

    private static double micros(Runnable step) {
        for (int round = 0; round < WARM_UP; round++) {
            step.run();
        }
        long before = THREADS.getCurrentThreadCpuTime();
        for (int round = 0; round < REPEATS; round++) {
            step.run();
        }
        return (THREADS.getCurrentThreadCpuTime() - before) / NANOS_PER_MICRO / REPEATS;
    }

    private static double bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8).length;
    }
}
