package io.cardamomshelf.node.schedule;

import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.schedule.ElectionTimer;
import io.cardamomshelf.core.schedule.LeaderLease;
import io.cardamomshelf.core.schedule.SchedulerState;
import io.cardamomshelf.core.schedule.WorkerInfo;
import io.cardamomshelf.node.Clock;
import io.cardamomshelf.node.Timers;
import io.cardamomshelf.node.event.EventLog;
import io.cardamomshelf.node.event.NodeEvent;
import io.cardamomshelf.node.metric.ServiceMetrics;
import io.cardamomshelf.node.metric.ServiceMetrics.Name;
import io.cardamomshelf.node.port.AppendOutcome;
import io.cardamomshelf.node.port.KeyedStore;
import io.cardamomshelf.node.port.PlacementAdvice;
import io.cardamomshelf.node.port.RecordDecoder;
import io.cardamomshelf.node.port.WorkerOrders;
import io.cardamomshelf.node.settings.NodeSettings;
import io.cardamomshelf.node.store.JobRecords;
import io.cardamomshelf.node.store.JobsView;
import io.cardamomshelf.node.store.OperatorsView;
import io.cardamomshelf.node.store.SchedulerAppender;
import io.cardamomshelf.node.store.WorkersView;
import io.smallrye.mutiny.Uni;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/**
 * One process's candidacy for scheduler: runs for election when there is no scheduler, and starts a
 * {@link SchedulerTerm} once elected.
 *
 * <p>Use: {@link io.cardamomshelf.node.Node} calls {@code start()} once, feeds {@code jobs()} and
 * {@code workers()} from followers of their streams, calls {@code operatorsChanged()} when the
 * operators' settings change, and {@code resign()} before the process ends.
 *
 * <p>The order of appends in the store decides an election: the first append with an epoch wins it.
 * From then on the store refuses appends of older epochs, and a worker that has seen the new epoch
 * refuses orders of older ones. An answer of success doesn't show which append was the first, as
 * the store answers one with a known sequence number as a repeat. A candidate has won once it reads
 * its own record.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
public final class SchedulerCandidate implements JobsView.Listener, WorkersView.Listener {

    /** The interval between heartbeats, in milliseconds: three fit into the leader timeout. */
    private static final long HEARTBEAT_INTERVAL_MILLIS = 500;

    /** How often the election timer is checked, in milliseconds. */
    private static final long ELECTION_CHECK_MILLIS = 100;

    /**
     * The time without a heartbeat before an election, in milliseconds: three missed heartbeats.
     */
    private static final long LEADER_TIMEOUT_MILLIS = 1_500;

    /**
     * The random addition to the leader timeout, in milliseconds, so that candidates don't collide.
     */
    private static final int MAX_JITTER_MILLIS = 300;

    /**
     * The processor time that a scheduler of 246 workers uses at its peak, in cores
     * (docs/CAPACITY.md).
     */
    private static final double SCHEDULER_CORES = 0.7;

    /**
     * How much later a node with fewer than {@link #SCHEDULER_CORES} cores runs for election, in
     * milliseconds. The delay covers the jitter of larger nodes and the duration of an election.
     */
    private static final long SMALL_NODE_DELAY_MILLIS = 700;

    /** The timeout of the append by which a candidate runs for election, in milliseconds. */
    private static final long CANDIDACY_TIMEOUT_MILLIS = 1_500;

    private static final int MAX_CANDIDACY_ATTEMPTS = 3;

    private final Timers timers;
    private final KeyedStore store;
    private final WorkerOrders orders;
    private final PlacementAdvice advice;
    private final Clock clock;
    private final NodeSettings settings;
    private final ServiceMetrics metrics;
    private final LongSupplier jobsPosition;
    private final RandomGenerator random;
    private final ElectionTimer electionTimer;
    private final JobsView jobs;
    private final WorkersView workers;
    private final OperatorsView operators;
    private final ObservedRestarts restarts = new ObservedRestarts();
    private final ViewLag viewLag = new ViewLag();
    private JobRecords.Leader lastLeaderRecord;
    private boolean candidacyInFlight;
    private boolean stopped;
    private long electionOffset = -1;

    /** The newest candidacy of this process; null before the first. */
    private Candidacy candidacy;

    /**
     * The term of a candidacy that the store answered with success, until all jobs stored before
     * its record are read, and the record shows whether it is of this candidacy.
     */
    private SchedulerTerm pendingTerm;

    /** The current term; null unless this process is the scheduler. */
    private SchedulerTerm term;

    private Runnable onResigned = () -> {};

    /**
     * Creates a candidate.
     *
     * @param timers the event loop's timers, not null
     * @param store the store, not null
     * @param orders sends calls to workers, not null
     * @param advice calls the placement advice, not null
     * @param decoder decodes the workers' records, not null
     * @param operators the operators' settings, not null
     * @param clock the clock, not null
     * @param settings the node's settings, not null
     * @param metrics the metrics to update, not null
     * @param jobsPosition returns the position up to which the jobs' stream was read, not null
     * @param random the source of randomness, not null
     */
    public SchedulerCandidate(
            Timers timers,
            KeyedStore store,
            WorkerOrders orders,
            PlacementAdvice advice,
            RecordDecoder decoder,
            OperatorsView operators,
            Clock clock,
            NodeSettings settings,
            ServiceMetrics metrics,
            LongSupplier jobsPosition,
            RandomGenerator random) {
        this.timers = timers;
        this.store = store;
        this.orders = orders;
        this.advice = advice;
        this.clock = clock;
        this.settings = settings;
        this.metrics = metrics;
        this.jobsPosition = jobsPosition;
        this.random = random;
        this.electionTimer =
                new ElectionTimer(
                        LEADER_TIMEOUT_MILLIS + random.nextInt(MAX_JITTER_MILLIS),
                        settings.cores() < SCHEDULER_CORES ? SMALL_NODE_DELAY_MILLIS : 0);
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

    /** Starts to check for elections and, while elected, to send heartbeats. */
    public void start() {
        timers.every(ELECTION_CHECK_MILLIS, this::checkElection);
        timers.every(HEARTBEAT_INTERVAL_MILLIS, this::sendHeartbeat);
    }

    /**
     * Transfers leadership if this process is or is about to be elected, and doesn't run for
     * election any more.
     *
     * @return completes once the resignation is stored or another scheduler has been elected, or at
     *     once if there is nothing to transfer
     */
    public Uni<Void> resign() {
        stopped = true;
        return Uni.createFrom()
                .emitter(
                        emitter -> {
                            onResigned = () -> emitter.complete(null);
                            if (!candidacyInFlight && pendingTerm == null) {
                                transferLeadership();
                            }
                        });
    }

    /**
     * Returns whether this process is the scheduler, as far as it knows.
     *
     * @return true from the start of its term until it resigns or is deposed
     */
    public boolean isLeading() {
        return term != null;
    }

    /**
     * Reads from the scheduler's state.
     *
     * @param reader reads the value, not null
     * @param otherwise the value unless this process is the scheduler
     * @param <T> the type of the value
     * @return the value as of the last round
     */
    public <T> T read(Function<SchedulerState, T> reader, T otherwise) {
        return term == null ? otherwise : term.read(reader);
    }

    /** Applies a change of the configuration or of the withdrawn data centres. */
    public void operatorsChanged() {
        if (term != null) {
            term.configure();
        }
    }

    @Override
    public void jobChanged(JobsView.Entry entry) {
        if (term != null) {
            term.jobChanged(entry);
        }
    }

    @Override
    public void leaderRecordRead(JobRecords.Leader leader) {
        electionTimer.signReceived(clock.now());
        boolean neitherElectedNorCandidate =
                term == null && pendingTerm == null && !candidacyInFlight;
        if (leader.resigned()
                || neitherElectedNorCandidate && leader.holder().equals(settings.name())) {
            // This process hasn't written it, so an earlier process of the same node has, and has
            // ended.
            electionTimer.schedulerResigned();
        }
        if (!leader.equals(lastLeaderRecord)) {
            lastLeaderRecord = leader;
            EventLog.of(NodeEvent.LEADER_SEEN)
                    .with("holder", leader.holder())
                    .with("epoch", leader.epoch())
                    .with("resigned", leader.resigned())
                    .write();
        }
        if (term != null && leader.epoch() > term.epoch()) {
            EventLog.of(NodeEvent.LEADERSHIP_LOST)
                    .with("epoch", term.epoch())
                    .with("cause", leader.holder() + " was elected with epoch " + leader.epoch())
                    .write();
            deposed(term.epoch());
        }
        if (pendingTerm != null && leader.epoch() > pendingTerm.epoch()) {
            electionMissed(leader);
        }
    }

    @Override
    public void schedulerRecordRead(long offset) {
        if (term != null) {
            term.appender().recordRead(offset);
        }
    }

    @Override
    public void caughtUp() {
        viewLag.readCompleted(clock.monotonicMillis());
        electionTimer.readCompleted(clock.now());
        beginPendingTerm();
    }

    /**
     * Begins the pending term, if there is one, once the record of its election has been read and
     * is of this process's candidacy.
     */
    private void beginPendingTerm() {
        if (pendingTerm == null || jobsPosition.getAsLong() <= electionOffset) {
            return;
        }
        if (jobs.leader().filter(candidacy::hasWritten).isEmpty()) {
            electionMissed(jobs.leader().map(JobRecords.Leader::toString).orElse("no record"));
            return;
        }
        metrics.count(Name.ELECTIONS, "won");
        EventLog.of(NodeEvent.LEADERSHIP_WON).with("epoch", candidacy.epoch()).write();
        term = pendingTerm;
        pendingTerm = null;
        if (stopped) {
            transferLeadership();
        } else {
            term.begin();
        }
    }

    @Override
    public void workerRegistered(WorkerInfo info) {
        restarts.record(info, clock.monotonicMillis());
        if (term != null) {
            term.workerRegistered(info);
        }
    }

    @Override
    public void workerUnregistered(WorkerId id) {
        if (term != null) {
            term.workerUnregistered(id);
        }
    }

    private void sendHeartbeat() {
        if (term != null) {
            term.appendHeartbeat(candidacy.leaderRecord(false, term.havePredecessorLeasesLapsed()));
        }
    }

    private void checkElection() {
        if (term != null && viewLag.isExcessive(term)) {
            transferLeadership();
        }
        boolean available = term == null && pendingTerm == null && !candidacyInFlight && !stopped;
        boolean ready = operators.configuration().isPresent() && !workers.registered().isEmpty();
        if (electionTimer.isCandidacyDue(clock.now(), available && ready)) {
            candidacyInFlight = true;
            candidacy = Candidacy.after(jobs.leader(), settings.name(), clock.now(), random);
            appendCandidacy(1);
        }
    }

    private void appendCandidacy(int attempt) {
        store.append(
                        List.of(candidacy.leaderRecord(false, false)),
                        Optional.of(candidacy.writer()),
                        CANDIDACY_TIMEOUT_MILLIS)
                .subscribe()
                .with(outcome -> candidacyAnswered(outcome, attempt));
    }

    private void candidacyAnswered(AppendOutcome outcome, int attempt) {
        if (outcome instanceof AppendOutcome.Stored stored) {
            candidacyInFlight = false;
            electionOffset = stored.offset();
            pendingTerm = createTerm();
            beginPendingTerm();
        } else if (outcome instanceof AppendOutcome.Unknown && attempt < MAX_CANDIDACY_ATTEMPTS) {
            appendCandidacy(attempt + 1);
        } else {
            candidacyInFlight = false;
            electionMissed(outcome);
        }
    }

    /** Returns to waiting for an election after one that this process hasn't won. */
    private void electionMissed(Object cause) {
        pendingTerm = null;
        electionTimer.signReceived(clock.now());
        if (cause instanceof AppendOutcome.Unknown
                && jobs.leader().filter(candidacy::hasWritten).isPresent()) {
            // Its record was stored unanswered and is the newest one, so nobody leads.
            electionTimer.schedulerResigned();
        }
        metrics.count(Name.ELECTIONS, "missed");
        EventLog.of(NodeEvent.LEADERSHIP_MISSED)
                .with("epoch", candidacy.epoch())
                .with("outcome", cause)
                .write();
        if (stopped) {
            onResigned.run();
        }
    }

    private SchedulerTerm createTerm() {
        long epoch = candidacy.epoch();
        Runnable onDeposed = () -> deposed(epoch);
        SchedulerAppender appender =
                new SchedulerAppender(
                        timers, store, epoch, candidacy.writer().sequence() + 1, onDeposed);
        SchedulerTermContext context =
                new SchedulerTermContext(
                        timers,
                        clock,
                        orders,
                        advice,
                        SchedulerSettings.of(settings.bounds()),
                        metrics,
                        epoch,
                        new LeaderLease(candidacy.sentAt(), candidacy.predecessorsEnded()),
                        store.limits(),
                        restarts);
        return new SchedulerTerm(context, appender, jobs, operators, workers, onDeposed);
    }

    /**
     * Stores the resignation of the current term. A term that hasn't begun resigns too, as other
     * candidates would wait for its heartbeats otherwise.
     */
    private void transferLeadership() {
        SchedulerTerm endingTerm = term;
        term = null;
        if (endingTerm == null) {
            onResigned.run();
            return;
        }
        endingTerm.retire();
        endingTerm
                .appender()
                .append(
                        List.of(
                                candidacy.leaderRecord(
                                        true, endingTerm.havePredecessorLeasesLapsed())),
                        () -> {
                            EventLog.of(NodeEvent.LEADERSHIP_RESIGNED)
                                    .with("epoch", endingTerm.epoch())
                                    .write();
                            endingTerm.end();
                            onResigned.run();
                        });
    }

    private void deposed(long epoch) {
        if (term != null && term.epoch() == epoch) {
            term.end();
            term = null;
            electionTimer.signReceived(clock.now());
        }
        if (stopped) {
            onResigned.run();
        }
    }
}
