package io.cardamomshelf.sessions;

import io.cardamomshelf.sessions.SoakEvent.Acknowledged;
import io.cardamomshelf.sessions.SoakEvent.Began;
import io.cardamomshelf.sessions.SoakEvent.Call;
import io.cardamomshelf.sessions.SoakEvent.Called;
import io.cardamomshelf.sessions.SoakEvent.Disruption;
import io.cardamomshelf.sessions.SoakEvent.Down;
import io.cardamomshelf.sessions.SoakEvent.Ended;
import io.cardamomshelf.sessions.SoakEvent.Leased;
import io.cardamomshelf.sessions.SoakEvent.Up;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks a soak's history against the rules.
 *
 * <p>Goes by what clients and workers have seen, never by the logs of the instances. Use: {@code
 * new SoakJudge(jobs, true).judge(events, isOver)}. Not thread-safe; use it once.
 */
final class SoakJudge {

    /** The order in which events are judged; of one moment, ends go first. */
    static final Comparator<SoakEvent> ORDER =
            Comparator.comparingLong(SoakEvent::at).thenComparingInt(SoakJudge::rank);

    /** How long an instance is without disruption before bounds in time hold for it. */
    static final long CONTACT_MILLIS = 4_000;

    private static final long CANCEL_MILLIS = 3_000;
    private static final long VISIBLE_MILLIS = 3_000;
    private static final long SHOWN_SLACK_MILLIS = 1_000;
    private static final long GANG_TIMEOUT_MILLIS = 3_000;
    private static final int ACCELERATORS = 8;
    private static final int CPU_MILLIS = 128_000;
    private static final int MEMORY_MB = 512_000;

    /** A broken rule. */
    record Violation(String rule, long at, String text) {

        @Override
        public String toString() {
            return rule + " at " + at + ": " + text;
        }
    }

    /** A run that a worker has begun and, as far as is known, not ended. */
    private record Run(Began start, SoakJob job) {}

    /** An end {@code done}, and whether it was taken note of while the worker's lease lasted. */
    private static final class Done {
        private final Ended end;
        private boolean isOpen = true;
        private boolean isAcknowledged;
        private final List<Began> laterStarts = new ArrayList<>();

        private Done(Ended end) {
            this.end = end;
        }
    }

    private static final class Worker {
        private final Map<String, Run> runs = new HashMap<>();
        private final List<Done> dones = new ArrayList<>();
        private long leaseEnd;

        /** Ends what ran when the lease lapsed; ends not acknowledged by then never count. */
        private void lapseBefore(long at) {
            if (leaseEnd < at) {
                runs.clear();
                long lapsed = leaseEnd;
                dones.stream()
                        .filter(done -> done.isOpen && done.end.at() <= lapsed)
                        .forEach(done -> done.isOpen = false);
            }
        }

        private void reset() {
            runs.clear();
            dones.clear();
            leaseEnd = 0;
        }
    }

    private final Map<String, SoakJob> jobs;
    private final boolean isTimed;
    private final Map<String, Worker> workers = new HashMap<>();
    private final Map<String, List<Done>> donesByTask = new HashMap<>();
    private final Map<Long, String> callersByToken = new HashMap<>();
    private final Map<String, Long> accepted = new HashMap<>();
    private final Map<String, Long> shownCompleted = new HashMap<>();
    private final Map<String, Long> cancelSent = new HashMap<>();
    private final Map<String, Long> cancelAcknowledged = new HashMap<>();
    private final Map<String, Integer> attempts = new HashMap<>();
    private final Map<String, Integer> rejections = new HashMap<>();
    private final Map<String, Began> firstStarts = new HashMap<>();
    private final Set<String> ended = new HashSet<>();
    private final List<Disruption> disruptions = new ArrayList<>();
    private int starts;
    private final List<Violation> violations = new ArrayList<>();

    /**
     * Creates a judge.
     *
     * @param jobs all jobs that clients have sent or are about to send, by identifier, not null
     * @param isTimed whether rules with a bound in time are checked
     */
    SoakJudge(Map<String, SoakJob> jobs, boolean isTimed) {
        this.jobs = Map.copyOf(jobs);
        this.isTimed = isTimed;
    }

    private static int rank(SoakEvent event) {
        if (event instanceof Ended || event instanceof Up || event instanceof Down) {
            return 0;
        }
        return event instanceof Leased ? 1 : 2;
    }

    /**
     * Checks a history.
     *
     * @param events the events in any order, not null
     * @param isOver whether all jobs must have ended
     * @return the broken rules, never null
     */
    List<Violation> judge(List<SoakEvent> events, boolean isOver) {
        readCalls(events);
        events.stream().sorted(ORDER).forEach(this::apply);
        donesByTask.values().forEach(dones -> dones.forEach(this::checkStartsAfterDone));
        if (isOver) {
            checkEnds();
        }
        return List.copyOf(violations);
    }

    /** Returns how much of what was judged there was. */
    String counts() {
        return ("%d jobs accepted, %d completed, %d cancelled, %d starts, %d schedulers,"
                        + " %d disruptions")
                .formatted(
                        accepted.size(),
                        shownCompleted.size(),
                        cancelSent.size(),
                        starts,
                        callersByToken.size(),
                        disruptions.size());
    }

    private void readCalls(List<SoakEvent> events) {
        for (SoakEvent event : events) {
            if (event instanceof Disruption disruption) {
                disruptions.add(disruption);
            } else if (event instanceof Call call) {
                readCall(call);
            }
        }
    }

    private void readCall(Call call) {
        String job = call.job();
        if (call.method().equals("POST")) {
            attempts.merge(job, 1, Integer::sum);
            rejections.merge(job, call.isRejected() ? 1 : 0, Integer::sum);
            if (call.isSuccess()) {
                accepted.merge(job, call.answeredAt(), Math::min);
            }
        } else if (call.method().equals("DELETE")) {
            cancelSent.merge(job, call.at(), Math::min);
            if (call.isSuccess()) {
                cancelAcknowledged.merge(job, call.answeredAt(), Math::min);
            }
        } else if (call.state().equals("completed")) {
            shownCompleted.merge(job, call.answeredAt(), Math::min);
        }
        if (call.state().matches("completed|failed|cancelled")) {
            ended.add(job);
        }
    }

    private void apply(SoakEvent event) {
        if (event instanceof Up up) {
            worker(up.worker()).reset();
        } else if (event instanceof Down down) {
            worker(down.worker()).reset();
        } else if (event instanceof Leased leased) {
            Worker worker = worker(leased.worker());
            worker.lapseBefore(leased.at());
            worker.leaseEnd = Math.max(worker.leaseEnd, leased.until());
        } else if (event instanceof Began began) {
            begin(began);
        } else if (event instanceof Ended end) {
            end(end);
        } else if (event instanceof Acknowledged acknowledged) {
            acknowledge(acknowledged);
        } else if (event instanceof Called called) {
            checkToken(called);
        } else if (event instanceof Call call) {
            checkCall(call);
        }
    }

    private Worker worker(String id) {
        return workers.computeIfAbsent(id, key -> new Worker());
    }

    private void begin(Began start) {
        starts++;
        SoakJob job = jobs.get(start.job());
        firstStarts.putIfAbsent(start.job(), start);
        if (job == null || !job.spec().equals(start.spec())) {
            report("UNASKED", start.at(), "not submitted so: " + start);
            return;
        }
        checkOverlap(start);
        donesByTask.getOrDefault(start.task(), List.of()).forEach(d -> d.laterStarts.add(start));
        checkShownState(start);
        Worker worker = worker(start.worker());
        worker.lapseBefore(start.at());
        worker.runs.put(start.task(), new Run(start, job));
        checkCapacity(start, worker);
    }

    private void checkOverlap(Began start) {
        workers.forEach(
                (id, worker) -> {
                    Run other = worker.runs.get(start.task());
                    if (other != null && worker.leaseEnd > start.at()) {
                        report("TWICE", start.at(), start + " while it runs: " + other.start());
                    }
                });
    }

    private void checkCapacity(Began start, Worker worker) {
        int accelerators = 0;
        int cpu = 0;
        int memory = 0;
        for (Run run : worker.runs.values()) {
            accelerators += run.job().accelerators();
            cpu += run.job().cpuMillis();
            memory += SoakJob.MEMORY_MB;
        }
        if (accelerators > ACCELERATORS || cpu > CPU_MILLIS || memory > MEMORY_MB) {
            report(
                    "LIMIT",
                    start.at(),
                    start + " brings its worker to " + accelerators + " accelerators, cpu " + cpu);
        }
    }

    /** Checks a start against what its job's clients were told long enough before. */
    private void checkShownState(Began start) {
        String instance = instanceAt(start.caller());
        // A call that was held up on its way may be carried out after its sender knew better.
        boolean isTimely =
                isCalm(instance, start.at(), start.at())
                        && isCalm(start.worker(), start.at(), start.at());
        Long shown = shownCompleted.get(start.job());
        if (isTimely && shown != null && start.at() > shown + SHOWN_SLACK_MILLIS) {
            report("TWICE", start.at(), start + " after its job was shown as completed");
        }
        Long cancelled = cancelAcknowledged.get(start.job());
        if (isTimely && cancelled != null && start.at() > cancelled + CANCEL_MILLIS) {
            report("UNASKED", start.at(), start + " after its cancelling was acknowledged");
        }
    }

    private static String instanceAt(String address) {
        for (int i = 0; i < SoakDeployment.INSTANCES; i++) {
            if (SoakDeployment.sourceAddress(i).equals(address)) {
                return SoakDeployment.instanceName(i);
            }
        }
        return address;
    }

    private void end(Ended end) {
        Worker worker = worker(end.worker());
        worker.runs.remove(end.task());
        if (end.outcome().equals("alone")) {
            checkAlone(end);
        }
        if (end.outcome().equals("done")) {
            Done done = new Done(end);
            worker.dones.add(done);
            donesByTask.computeIfAbsent(end.task(), key -> new ArrayList<>()).add(done);
        }
    }

    private void checkAlone(Ended end) {
        String job = end.task().substring(0, end.task().indexOf('.'));
        long from = end.at() - GANG_TIMEOUT_MILLIS - CONTACT_MILLIS;
        boolean isQuiet =
                isTimed
                        && disruptions.stream()
                                .noneMatch(d -> d.at() <= end.at() && d.until() >= from);
        if (isQuiet && cancelSent.getOrDefault(job, Long.MAX_VALUE) > end.at()) {
            report("GANG", end.at(), "its other members never came: " + end);
        }
    }

    private void acknowledge(Acknowledged acknowledged) {
        Worker worker = worker(acknowledged.worker());
        worker.lapseBefore(acknowledged.at());
        worker.dones.removeIf(
                done -> {
                    boolean isNoted = done.end.number() <= acknowledged.number();
                    done.isAcknowledged = isNoted && done.isOpen;
                    return isNoted;
                });
    }

    private void checkStartsAfterDone(Done done) {
        if (done.isAcknowledged) {
            done.laterStarts.forEach(
                    start -> report("TWICE", start.at(), start + " after " + done.end));
        }
    }

    private void checkToken(Called called) {
        String first = callersByToken.putIfAbsent(called.token(), called.caller());
        if (first != null && !first.equals(called.caller())) {
            report("FENCE", called.at(), called + ", which " + first + " uses, too");
        }
    }

    private void checkCall(Call call) {
        SoakJob job = jobs.get(call.job());
        boolean isCalm = isCalm(call.instance(), call.at(), call.answeredAt());
        if (call.status() == 0 && isCalm) {
            report("LOST", call.at(), "no answer in a calm time: " + call);
        }
        boolean isCancelled =
                cancelSent.getOrDefault(call.job(), Long.MAX_VALUE) <= call.answeredAt();
        Long acceptedAt = accepted.get(call.job());
        if (!call.method().equals("GET") || isCancelled || acceptedAt == null) {
            return;
        }
        if (call.status() == 410 && isCalm && call.at() > acceptedAt + VISIBLE_MILLIS) {
            report("LOST", call.at(), "an accepted job isn't known: " + call);
        }
        boolean isFailedWithoutCause = call.state().equals("failed") && !job.isFailing();
        if (isFailedWithoutCause || call.state().equals("cancelled")) {
            report("LOST", call.at(), "ended without cause: " + call);
        }
    }

    private void checkEnds() {
        attempts.forEach(
                (job, count) -> {
                    Began start = firstStarts.get(job);
                    if (count.equals(rejections.get(job)) && start != null) {
                        report("REFUSED", start.at(), "every submission was refused: " + start);
                    }
                });
        accepted.forEach(
                (job, at) -> {
                    if (!ended.contains(job) && !cancelSent.containsKey(job)) {
                        report("LOST", at, "doesn't end: " + jobs.get(job));
                    }
                });
    }

    /** Checks that neither a target nor the store was disrupted in a span or shortly before it. */
    private boolean isCalm(String target, long from, long until) {
        return isTimed
                && disruptions.stream()
                        .filter(d -> d.target().equals(target) || d.target().equals("store"))
                        .noneMatch(d -> d.at() <= until && d.until() >= from - CONTACT_MILLIS);
    }

    private void report(String rule, long at, String text) {
        violations.add(new Violation(rule, at, text));
    }
}
