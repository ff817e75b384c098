package io.cardamomshelf.node.schedule;

import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.schedule.ClockReading;
import io.cardamomshelf.core.schedule.ElectionTimer;
import io.cardamomshelf.core.schedule.FleetLoad;
import io.cardamomshelf.core.schedule.LeaderLease;
import io.cardamomshelf.core.schedule.WorkerInfo;
import io.cardamomshelf.node.Clock;
import io.cardamomshelf.node.Timers;
import io.cardamomshelf.node.event.EventLog;
import io.cardamomshelf.node.event.NodeEvent;
import io.cardamomshelf.node.metric.ServiceMetrics;
import io.cardamomshelf.node.metric.ServiceMetrics.Name;
import io.cardamomshelf.node.port.AppendOutcome;
import io.cardamomshelf.node.port.KeyedStore;
import io.cardamomshelf.node.port.KeyedStore.Writer;
import io.cardamomshelf.node.port.PlacementAdvice;
import io.cardamomshelf.node.port.RecordDecoder;
import io.cardamomshelf.node.port.StoredRecord;
import io.cardamomshelf.node.port.WorkerOrders;
import io.cardamomshelf.node.settings.NodeSettings;
import io.cardamomshelf.node.store.JobRecords;
import io.cardamomshelf.node.store.JobsView;
import io.cardamomshelf.node.store.OperatorsView;
import io.cardamomshelf.node.store.SchedulerLog;
import io.cardamomshelf.node.store.WorkersView;
import io.smallrye.mutiny.Uni;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.LongSupplier;

/**
 * Scheduler in waiting: stands for election when there is none, and schedules while elected.
 *
 * <p>The store's order decides an election: an epoch is taken by its first append, and every later
 * append or order of an older epoch is refused by the store or the worker that gets it.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
public final class Scheduling implements JobsView.Listener, WorkersView.Listener {

    /** The scheduler's sign of life, in milliseconds; several fit into the shortest silence. */
    private static final long HEARTBEAT_MILLIS = 500;

    /** How often standing is considered, in milliseconds. */
    private static final long WATCH_MILLIS = 100;

    /** How long the scheduler must be silent, in milliseconds: three of its signs missed. */
    private static final long SILENCE_MILLIS = 1_500;

    /** Up to this much is added at random, so that candidates don't collide, in milliseconds. */
    private static final int JITTER_MILLIS = 300;

    /** What the scheduler of 246 workers takes at its peak, in cores (docs/CAPACITY.md). */
    private static final double SCHEDULER_CORES = 0.7;

    /**
     * How long a smaller machine lets others first: their jitter and an election, in milliseconds.
     */
    private static final long HANDICAP_MILLIS = 700;

    /** How long an append of a candidate may take, in milliseconds. */
    private static final long STAND_MILLIS = 1_500;

    private static final int STAND_ATTEMPTS = 3;

    /** First sequence numbers are drawn below this, so that two candidates' never follow on. */
    private static final int SEQUENCES = 1 << 30;

    private final Timers timers;
    private final KeyedStore store;
    private final WorkerOrders orders;
    private final PlacementAdvice advice;
    private final Clock clock;
    private final NodeSettings settings;
    private final ServiceMetrics metrics;
    private final LongSupplier position;
    private final Random random;
    private final ElectionTimer election;
    private final JobsView jobs;
    private final WorkersView workers;
    private final OperatorsView operators;
    private JobRecords.Leader lastSeen;
    private boolean standing;
    private boolean predecessorSettled;
    private boolean stopped;
    private long electedAt = -1;
    private SchedulerTerm waiting;
    private SchedulerTerm reign;
    private Runnable whenResigned = () -> {};

    /**
     * Creates a candidate.
     *
     * @param timers the event loop's timers, not null
     * @param store the store, not null
     * @param orders calls to workers, not null
     * @param advice calls to the placement advice, not null
     * @param decoder reads the workers' records, not null
     * @param operators what operators want, not null
     * @param clock the time, not null
     * @param settings the machine's settings, not null
     * @param metrics where to count, not null
     * @param position up to where the jobs' records were read, not null
     */
    public Scheduling(
            Timers timers,
            KeyedStore store,
            WorkerOrders orders,
            PlacementAdvice advice,
            RecordDecoder decoder,
            OperatorsView operators,
            Clock clock,
            NodeSettings settings,
            ServiceMetrics metrics,
            LongSupplier position) {
        this.timers = timers;
        this.store = store;
        this.orders = orders;
        this.advice = advice;
        this.clock = clock;
        this.settings = settings;
        this.metrics = metrics;
        this.position = position;
        this.random = new Random(settings.name().hashCode() * 31L + clock.now().wallMillis());
        this.election =
                new ElectionTimer(
                        SILENCE_MILLIS + random.nextInt(JITTER_MILLIS),
                        settings.cores() < SCHEDULER_CORES ? HANDICAP_MILLIS : 0);
        this.jobs = new JobsView(this);
        this.workers = new WorkersView(decoder, this);
        this.operators = operators;
    }

    /**
     * Returns the view of the jobs, which reports to this candidate.
     *
     * @return the view, never null
     */
    public JobsView jobs() {
        return jobs;
    }

    /**
     * Returns the view of the workers, which reports to this candidate.
     *
     * @return the view, never null
     */
    public WorkersView workers() {
        return workers;
    }

    /** Starts to watch for a scheduler. */
    public void start() {
        timers.every(WATCH_MILLIS, this::watch);
        timers.every(HEARTBEAT_MILLIS, this::beat);
    }

    /**
     * Hands leadership on, if it is here or about to be, and stands no more.
     *
     * @return completes when that is stored, or at once if there is nothing to hand on
     */
    public Uni<Void> resign() {
        stopped = true;
        return Uni.createFrom()
                .emitter(
                        emitter -> {
                            whenResigned = () -> emitter.complete(null);
                            if (!standing) {
                                handOn();
                            }
                        });
    }

    /**
     * Asks whether this process is the scheduler, as far as it knows.
     *
     * @return true from the election until it is deposed
     */
    public boolean isLeading() {
        return reign != null;
    }

    /**
     * Returns how the accelerators are used.
     *
     * @return the load as of the last round, never null; of nothing unless this process leads
     */
    public FleetLoad load() {
        return reign == null ? FleetLoad.NONE : reign.load();
    }

    /** Takes a new configuration or evacuation. */
    public void configured() {
        if (reign != null) {
            reign.configure();
        }
    }

    @Override
    public void jobChanged(JobsView.Entry entry) {
        if (reign != null) {
            reign.jobChanged(entry);
        }
    }

    @Override
    public void leaderSeen(JobRecords.Leader leader) {
        election.heard(clock.steadyMillis());
        boolean idle = reign == null && waiting == null && !standing;
        if (leader.resigned() || idle && leader.holder().equals(settings.name())) {
            // A record of this machine's that isn't of this process is of one that has ended.
            election.resigned();
        }
        if (!leader.equals(lastSeen)) {
            lastSeen = leader;
            EventLog.of(NodeEvent.LEADER_SEEN)
                    .with("holder", leader.holder())
                    .with("epoch", leader.epoch())
                    .with("resigned", leader.resigned())
                    .write();
        }
        if (reign != null && leader.epoch() > reign.epoch()) {
            EventLog.of(NodeEvent.LEADERSHIP_LOST)
                    .with("epoch", reign.epoch())
                    .with("cause", leader.holder() + " took epoch " + leader.epoch())
                    .write();
            deposed(reign.epoch());
        }
        if (waiting != null && leader.epoch() > waiting.epoch()) {
            waiting = null;
        }
    }

    @Override
    public void caughtUp() {
        election.proven(clock.steadyMillis());
        if (waiting != null && position.getAsLong() > electedAt) {
            reign = waiting;
            waiting = null;
            reign.begin();
        }
    }

    @Override
    public void workerListed(WorkerInfo info) {
        if (reign != null) {
            reign.workerListed(info);
        }
    }

    @Override
    public void workerUnlisted(WorkerId id) {
        if (reign != null) {
            reign.workerUnlisted(id);
        }
    }

    private void beat() {
        if (reign != null) {
            reign.prove(leader(reign.epoch(), false, reign.isPredecessorOver()));
        }
    }

    private void watch() {
        boolean free = reign == null && waiting == null && !standing && !stopped;
        boolean ready = operators.configuration().isPresent() && !workers.listed().isEmpty();
        if (election.isDue(clock.steadyMillis(), free && ready)) {
            standing = true;
            predecessorSettled = jobs.leader().map(this::isOver).orElse(true);
            long epoch = jobs.leader().map(JobRecords.Leader::epoch).orElse(0L) + 1;
            stand(new Writer(epoch, random.nextInt(SEQUENCES)), 1, clock.now());
        }
    }

    /** A record of this machine's, read while it doesn't lead, is of a process that has ended. */
    private boolean isOver(JobRecords.Leader last) {
        return last.settled() && (last.resigned() || last.holder().equals(settings.name()));
    }

    private void stand(Writer writer, int attempt, ClockReading sent) {
        store.append(
                        List.of(leader(writer.epoch(), false, false)),
                        Optional.of(writer),
                        STAND_MILLIS)
                .subscribe()
                .with(outcome -> stood(outcome, writer, attempt, sent));
    }

    private void stood(AppendOutcome outcome, Writer writer, int attempt, ClockReading sent) {
        if (outcome instanceof AppendOutcome.Stored stored) {
            standing = false;
            metrics.count(Name.ELECTIONS, "won");
            EventLog.of(NodeEvent.LEADERSHIP_WON).with("epoch", writer.epoch()).write();
            elected(stored.offset(), writer, sent);
        } else if (outcome instanceof AppendOutcome.Unknown && attempt < STAND_ATTEMPTS) {
            stand(writer, attempt + 1, sent);
        } else {
            standing = false;
            election.heard(clock.steadyMillis());
            metrics.count(Name.ELECTIONS, "missed");
            EventLog.of(NodeEvent.LEADERSHIP_MISSED)
                    .with("epoch", writer.epoch())
                    .with("outcome", outcome)
                    .write();
        }
        if (stopped && !standing) {
            handOn();
        }
    }

    private void elected(long offset, Writer writer, ClockReading sent) {
        if (jobs.leader().map(JobRecords.Leader::epoch).orElse(0L) > writer.epoch()) {
            return;
        }
        long epoch = writer.epoch();
        SchedulerLog log =
                new SchedulerLog(timers, store, epoch, writer.sequence() + 1, () -> deposed(epoch));
        SchedulerTermContext parts =
                new SchedulerTermContext(
                        timers,
                        clock,
                        orders,
                        advice,
                        SchedulerSettings.of(settings.bounds()),
                        metrics,
                        epoch,
                        new LeaderLease(sent, predecessorSettled));
        waiting = new SchedulerTerm(parts, log, jobs, operators, workers, () -> deposed(epoch));
        electedAt = offset;
        if (!stopped && position.getAsLong() > offset) {
            caughtUp();
        }
    }

    /**
     * Others wait for the signs of an elected scheduler even if it hasn't begun its first round.
     */
    private void handOn() {
        SchedulerTerm last = reign != null ? reign : waiting;
        reign = null;
        waiting = null;
        if (last == null) {
            whenResigned.run();
            return;
        }
        last.retire();
        last.log()
                .append(
                        List.of(leader(last.epoch(), true, last.isPredecessorOver())),
                        () -> {
                            EventLog.of(NodeEvent.LEADERSHIP_RESIGNED)
                                    .with("epoch", last.epoch())
                                    .write();
                            last.end();
                            whenResigned.run();
                        });
    }

    private void deposed(long epoch) {
        if (reign != null && reign.epoch() == epoch) {
            reign.end();
            reign = null;
            election.heard(clock.steadyMillis());
        }
    }

    private StoredRecord leader(long epoch, boolean resigned, boolean settled) {
        return JobRecords.leader(new JobRecords.Leader(settings.name(), epoch, resigned, settled));
    }
}
