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
 * Measures the cost of state, messages and decisions at three sizes each, and fits a line to the
 * values.
 *
 * <p>Use: {@code bin/bench capacity}. Bytes are counted, processor time is that of the measuring
 * thread, and memory is the live heap after garbage collection. {@code docs/CAPACITY.md} uses the
 * fitted lines.
 */
final class Capacity {

    private static final int COLLECTIONS = 4;
    private static final int MEASURED_REPETITIONS = 2_000;
    private static final int WARM_UP_REPETITIONS = 4_000;
    private static final double NANOS_PER_MICROSECOND = 1_000;
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    private Capacity() {}

    static void print(PrintStream out) throws FormatException, FrameException {
        out.println("memory, bytes of live heap for each unit");
        printMemory(
                out,
                "worker and its cells (3 indexes)",
                Capacity::createCapacityState,
                2_000,
                4_000,
                8_000);
        printMemory(
                out,
                "running job (allocation, 1 worker)",
                Capacity::createAllocations,
                4_000,
                8_000,
                16_000);
        printMemory(out, "open job (table)", Capacity::createJobTable, 4_000, 8_000, 16_000);
        printMemory(out, "claimed key", Capacity::createClaimTable, 20_000, 40_000, 80_000);
        printMemory(
                out,
                "team with plan and grant",
                size -> Workload.configuration(size, 17),
                200,
                400,
                800);
        out.println("bytes of a message, by leases on the worker");
        printLine(out, "report", size -> bytes(Json.write(report((int) size))), 0, 8, 32);
        printLine(out, "poll with renewals", size -> bytes(Json.write(poll((int) size))), 0, 8, 32);
        out.println("bytes of a snapshot, by teams");
        printLine(out, "snapshot", size -> bytes(snapshotJson((int) size)), 100, 300, 600);
        out.printf(Locale.ROOT, "bytes of a heartbeat frame: %d%n", heartbeatBytes());
        out.printf(Locale.ROOT, "bytes of an edit of one data centre: %d%n", editJson(1).length());
        out.println("processor time, microseconds");
        printLine(out, "fold of one edit, by teams", Capacity::foldMicros, 100, 300, 600);
        printLine(out, "reading a report, by leases", Capacity::readMicros, 0, 8, 32);
        printLine(
                out,
                "one placement and release, by workers",
                Capacity::placeMicros,
                1_000,
                5_000,
                25_000);
        out.println("processor time of a dispatch round on a full fleet, milliseconds");
        printLine(
                out,
                "1,000 jobs waiting, by workers",
                workers -> new RoundCost((int) workers, 1_000).medianMillis(),
                1_000,
                5_000,
                25_000);
        printLine(
                out,
                "25,000 workers, by jobs waiting",
                jobs -> new RoundCost(25_000, (int) jobs).medianMillis(),
                100,
                300,
                1_000);
    }

    private static void printMemory(
            PrintStream out, String name, IntFunction<Object> factory, int... sizes) {
        printLine(out, name, size -> heapBytes(factory, (int) size), toDoubles(sizes));
    }

    private static void printLine(
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
                format(sizes),
                format(values));
    }

    private static String format(double[] values) {
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

    private static double heapBytes(IntFunction<Object> factory, int size) {
        factory.apply(size);
        long bytesBefore = liveHeapBytes();
        Object created = factory.apply(size);
        long bytesAfter = liveHeapBytes();
        // Uses the object after the second reading, so that it is not collected before
        if (created.hashCode() == bytesBefore) {
            throw new IllegalStateException(
                    "Heap measurement aborted, hash code equals heap size: " + bytesBefore);
        }
        return bytesAfter - bytesBefore;
    }

    private static long liveHeapBytes() {
        for (int collection = 0; collection < COLLECTIONS; collection++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    private static CapacityState createCapacityState(int workers) {
        CapacityState capacityState = new CapacityState();
        capacityState.reconfigure(Workload.configuration(4, 1));
        Workload.workers(workers).forEach(capacityState.fleet()::put);
        return capacityState;
    }

    private static Object createAllocations(int jobs) {
        CapacityState capacityState = createCapacityState(jobs);
        List<SimJob> workload = new Workload(1).jobs(1, 1, jobs, 4);
        for (int number = 0; number < jobs; number++) {
            SimJob job = workload.get(number % workload.size());
            JobId id = JobId.of("j-" + number);
            Slice slice = new Slice(Workload.workers(1).get(0).id(), 1);
            Placement placement = new Placement(Workload.dataCentre(0), List.of(slice));
            capacityState.allocate(
                    new Allocation(
                            id,
                            job.spec().organisation(),
                            job.spec().demand(),
                            placement,
                            List.of(),
                            1,
                            1));
        }
        return capacityState;
    }

    private static Object createJobTable(int jobs) {
        JobTable table = new JobTable();
        List<SimJob> workload = new Workload(1).jobs(1, 1, jobs, 4);
        for (int number = 0; number < jobs; number++) {
            SimJob job = workload.get(number % workload.size());
            JobId id = JobId.of("j-" + number);
            table.fold(
                    number + 1L,
                    new JobRecord.Accepted(id, job.spec(), InstanceId.of("entry-" + number)));
        }
        return table;
    }

    private static Object createClaimTable(int keys) {
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
        List<Lease> heldLeases = new ArrayList<>();
        SimJob job = new Workload(1).jobs(1, 1, 8, 1).get(0);
        Placement placement =
                new Placement(worker.dataCentre(), List.of(new Slice(worker.id(), 1)));
        for (int number = 0; number < leases; number++) {
            JobId id = JobId.of("j-0123456789abcdef");
            GangNote annotation = new GangNote(id, job.spec(), placement, List.of());
            heldLeases.add(new Lease(id, 1L << 40, 1, LeaseState.RUNNING, 10_000, annotation));
        }
        return new WorkerReport(worker, 1, heldLeases, 8);
    }

    private static WorkerCommand.Poll poll(int leases) {
        List<WorkerCommand.Renewal> renewals = new ArrayList<>();
        for (int number = 0; number < leases; number++) {
            renewals.add(new WorkerCommand.Renewal(JobId.of("j-0123456789abcdef"), 1L << 40));
        }
        return new WorkerCommand.Poll(1, 10_000, renewals);
    }

    private static String snapshotJson(int organisations) {
        return ConfigJson.write(Workload.configuration(organisations, 17));
    }

    private static int heartbeatBytes() throws FrameException {
        PeerMessage heartbeat =
                new PeerMessage.Heartbeat(
                        "entry-1.0123456789abcdef", 1_800_000_000_000L, 1, 55_000, true, false);
        return new FrameCodec().encode(heartbeat).length;
    }

    private static String editJson(int number) {
        return ConfigJson.write(createEdit(number, 0));
    }

    private static Edit createEdit(int number, long basedOn) {
        EntryKey key = EntryKey.dataCentre(DataCentreId.of("site-0"));
        Change change = new Change(key, basedOn, Optional.of(new Availability(true, "")));
        return new Edit(Edit.FORMAT, "e-" + number, "bench", List.of(change));
    }

    private static double foldMicros(double organisations) {
        ConfigState[] state = {Workload.configuration((int) organisations, 17)};
        int[] editNumber = {1};
        return averageMicros(
                () -> {
                    long offset = state[0].offset();
                    long basedOn = editNumber[0] == 1 ? 0 : offset;
                    state[0] =
                            state[0].fold(offset + 1, createEdit(++editNumber[0], basedOn)).state();
                });
    }

    private static double readMicros(double leases) {
        String text = Json.write(report((int) leases));
        return averageMicros(
                () -> {
                    try {
                        Json.read(text, WorkerReport.class);
                    } catch (FormatException e) {
                        throw new IllegalStateException(e);
                    }
                });
    }

    private static double placeMicros(double workers) {
        CapacityState capacityState = createCapacityState((int) workers);
        List<SimJob> jobs = new Workload(1).jobs(1, 1, 1_000, 4);
        int[] jobNumber = {0};
        return averageMicros(
                () -> {
                    JobId id = JobId.of("j-" + jobNumber[0]);
                    SimJob job = jobs.get(jobNumber[0]++ % jobs.size());
                    Decision decision =
                            capacityState.placer(dataCentre -> true).decide(id, job.spec(), 1);
                    if (decision instanceof Decision.Place place) {
                        capacityState.allocate(place.allocation());
                        capacityState.release(id);
                    }
                });
    }

    private static double averageMicros(Runnable operation) {
        for (int repetition = 0; repetition < WARM_UP_REPETITIONS; repetition++) {
            operation.run();
        }
        long startNanos = THREADS.getCurrentThreadCpuTime();
        for (int repetition = 0; repetition < MEASURED_REPETITIONS; repetition++) {
            operation.run();
        }
        return (THREADS.getCurrentThreadCpuTime() - startNanos)
                / NANOS_PER_MICROSECOND
                / MEASURED_REPETITIONS;
    }

    private static double bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8).length;
    }
}
