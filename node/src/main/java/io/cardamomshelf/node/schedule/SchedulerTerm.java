package io.cardamomshelf.node.schedule;

import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.schedule.ClockReading;
import io.cardamomshelf.core.schedule.FleetLoad;
import io.cardamomshelf.core.schedule.LeaseClock;
import io.cardamomshelf.core.schedule.Order;
import io.cardamomshelf.core.schedule.SchedulerState;
import io.cardamomshelf.core.schedule.WorkerInfo;
import io.cardamomshelf.core.task.JobProgress;
import io.cardamomshelf.core.task.QueuePolicy;
import io.cardamomshelf.node.event.EventLog;
import io.cardamomshelf.node.event.NodeEvent;
import io.cardamomshelf.node.port.Configuration;
import io.cardamomshelf.node.port.StoredRecord;
import io.cardamomshelf.node.store.JobRecords;
import io.cardamomshelf.node.store.JobsView;
import io.cardamomshelf.node.store.OperatorsView;
import io.cardamomshelf.node.store.SchedulerLog;
import io.cardamomshelf.node.store.WorkersView;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * One process's time as scheduler: from its election until it resigns or is deposed.
 *
 * <p>Use: {@code reign.begin()} once every record up to the election has been read; then tell it
 * what changes. It stores progress before it lets workers forget the ends that led to it.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class SchedulerTerm implements WorkerLink.Host {

    /** The starts that one epoch may order, so that run numbers rise over schedulers. */
    private static final long RUNS_PER_EPOCH = 1_000_000;

    /** How often due times and waits are looked at, in milliseconds. */
    private static final long TICK_MILLIS = 100;

    /** How often jobs that are over long enough are dropped from the store, in milliseconds. */
    private static final long CLEANING_MILLIS = 5_000;

    private final SchedulerTermContext parts;
    private final SchedulerLog log;
    private final JobsView jobs;
    private final OperatorsView operators;
    private final WorkersView workers;
    private final Runnable deposed;
    private final SchedulerState board;
    private final AdviceFetcher advisor;
    private final RosterWriter roster;
    private final Map<WorkerId, WorkerLink> links = new LinkedHashMap<>();
    private final Map<WorkerId, Long> sentEnds = new HashMap<>();
    private final Map<JobId, Long> endedSince = new HashMap<>();
    private final RoundReporter notes;
    private final JobReporter ledger;
    private boolean roundDue;
    private boolean signing;
    private boolean over;
    private boolean takingOver = true;
    private boolean granting = true;

    SchedulerTerm(
            SchedulerTermContext parts,
            SchedulerLog log,
            JobsView jobs,
            OperatorsView operators,
            WorkersView workers,
            Runnable deposed) {
        this.parts = parts;
        this.log = log;
        this.jobs = jobs;
        this.operators = operators;
        this.workers = workers;
        this.deposed = deposed;
        this.board = new SchedulerState(parts.epoch() * RUNS_PER_EPOCH);
        this.advisor = new AdviceFetcher(parts, board, this::changed);
        this.notes = new RoundReporter(parts, board, jobs);
        this.ledger = new JobReporter(parts.metrics(), board::rackOf);
        this.roster = new RosterWriter(log, board, this::changed);
    }

    void begin() {
        configure();
        roster.load(jobs.roster());
        for (JobsView.Entry entry : jobs.all()) {
            if (entry.stored().isPresent()) {
                notes.inherit(entry.job().orElseThrow().id());
            }
            jobChanged(entry);
        }
        long inherited =
                parts.clock().steadyMillis()
                        + LeaseClock.worstCaseMillis(parts.settings().leaseMillis());
        workers.listed().forEach(info -> addWorker(info, inherited));
        for (WorkerInfo info : jobs.roster().all()) {
            if (!links.containsKey(info.id())) {
                addWorker(info, inherited);
                board.removeWorker(info.id());
            }
        }
        board.endInheritance();
        links.values().forEach(WorkerLink::kick);
        tick();
        cleanLater();
    }

    /** Ends all calls to workers but not the log, which takes a last record. */
    void retire() {
        over = true;
        advisor.close();
        links.values().forEach(WorkerLink::close);
    }

    void end() {
        retire();
        log.close();
    }

    long epoch() {
        return parts.epoch();
    }

    FleetLoad load() {
        return board.load(parts.clock().now());
    }

    SchedulerLog log() {
        return log;
    }

    /**
     * Stores a sign of life, which shows that no other scheduler was elected before it. It goes
     * along with what is being stored, as a busy scheduler mustn't look dead.
     */
    void prove(StoredRecord sign) {
        if (!signing) {
            signing = true;
            append(List.of(sign), () -> signing = false);
        }
    }

    void configure() {
        board.close(operators.evacuated());
        operators.configuration().ifPresent(this::configure);
    }

    void jobChanged(JobsView.Entry entry) {
        if (entry.job().isEmpty() || entry.progress().state().isEnded()) {
            return;
        }
        board.putJob(entry.job().get(), entry.stored());
        if (entry.isCancelled()) {
            board.cancel(entry.job().get().id());
        }
        changed();
    }

    void workerListed(WorkerInfo info) {
        addWorker(info, parts.clock().steadyMillis());
        links.get(info.id()).kick();
    }

    void workerUnlisted(WorkerId id) {
        board.removeWorker(id);
        EventLog.of(NodeEvent.WORKER_UNLISTED).with("worker", id).write();
        roster.clean(registered());
    }

    @Override
    public void changed() {
        if (!roundDue && !over) {
            roundDue = true;
            parts.timers().after(0, this::round);
        }
    }

    @Override
    public void lost(WorkerId worker) {
        board.loseWorker(worker);
        roster.clean(registered());
        changed();
    }

    @Override
    public boolean mayGrant() {
        return parts.tenure().mayGrant(parts.clock().now(), registered());
    }

    @Override
    public boolean isPredecessorOver() {
        return parts.tenure()
                .isPredecessorOver(parts.clock().now(), parts.settings().leaseMillis());
    }

    @Override
    public void fenced(WorkerInfo worker) {
        if (!over) {
            EventLog.of(NodeEvent.LEADERSHIP_LOST)
                    .with("epoch", epoch())
                    .with("cause", "worker " + worker.id() + " has seen a newer scheduler")
                    .write();
            deposed.run();
        }
    }

    private void tick() {
        if (!over) {
            changed();
            parts.tenure().noteMajority(parts.clock().now(), registered());
            if (parts.tenure().isInDoubt(parts.clock().now())) {
                links.values().forEach(WorkerLink::kick);
            }
            parts.timers().after(TICK_MILLIS, this::tick);
        }
    }

    private void cleanLater() {
        parts.timers()
                .after(
                        CLEANING_MILLIS,
                        () -> {
                            if (!over) {
                                clean();
                                cleanLater();
                            }
                        });
    }

    private void configure(Configuration configuration) {
        Map<String, QueuePolicy> queues = new HashMap<>();
        configuration.routes().forEach(r -> queues.put(r.policy().name(), r.policy()));
        Map<OrganisationId, Integer> guarantees = new HashMap<>();
        configuration
                .organisations()
                .forEach(o -> guarantees.put(o.id(), o.guaranteedAccelerators()));
        board.configure(queues, guarantees);
        changed();
    }

    private void addWorker(WorkerInfo info, long inheritedMillis) {
        board.putWorker(info);
        WorkerLink link = links.get(info.id());
        if (link == null || link.isOlderThan(info)) {
            EventLog.of(NodeEvent.WORKER_SEEN)
                    .with("worker", info.id())
                    .with("bornMillis", info.bornMillis())
                    .with("dataCentre", info.dataCentre())
                    .with("rack", info.rack())
                    .with("capacity", info.capacity())
                    .write();
        }
        if (link == null) {
            links.put(info.id(), new WorkerLink(parts, board, this, info, inheritedMillis));
        } else {
            link.update(info);
        }
        roster.admit(info);
    }

    private void round() {
        roundDue = false;
        if (over) {
            return;
        }
        noteGranting(mayGrant());
        if (granting) {
            board.decide(parts.clock().now()).forEach(this::carryOut);
        }
        advisor.look();
        notes.round();
        store();
        if (takingOver && board.isAccountedFor()) {
            takingOver = false;
            EventLog.of(NodeEvent.TAKEOVER_COMPLETE)
                    .with("epoch", epoch())
                    .with("runs", board.runs())
                    .write();
        }
    }

    private void noteGranting(boolean may) {
        if (may != granting) {
            granting = may;
            EventLog.of(may ? NodeEvent.TENURE_PROVEN : NodeEvent.TENURE_IN_DOUBT)
                    .with("epoch", epoch())
                    .with("workers", registered().size())
                    .write();
        }
    }

    private Set<WorkerId> registered() {
        return workers.listed().stream().map(WorkerInfo::id).collect(Collectors.toSet());
    }

    private void carryOut(Order order) {
        WorkerLink link = links.get(order.worker());
        if (order instanceof Order.Start start) {
            EventLog.of(NodeEvent.RUN_ORDERED)
                    .with("task", start.task())
                    .with("run", start.run())
                    .with("worker", start.worker())
                    .with("waitedMillis", notes.sinceAccepted(start.task().job()))
                    .with("checkpointed", !start.checkpoint().isEmpty())
                    .with("configuration", configurationVersion())
                    .write();
            notes.started(start.task().job());
            ledger.started(start, wallMillis());
            link.start(start);
        } else if (order instanceof Order.Stop stop) {
            EventLog.of(NodeEvent.STOP_ORDERED)
                    .with("task", stop.task())
                    .with("run", stop.run())
                    .with("worker", stop.worker())
                    .with("reason", stop.reason())
                    .write();
            ledger.stopped(stop, notes.priorityOf(stop.task().job()));
            link.stop(stop);
        }
    }

    private long wallMillis() {
        return parts.clock().now().wallMillis();
    }

    private long configurationVersion() {
        return operators.configuration().map(Configuration::version).orElse(-1L);
    }

    /** Stores what has changed, and only then lets the workers forget the ends behind it. */
    private void store() {
        Map<JobId, JobProgress> progress = board.takeChanged();
        Map<WorkerId, Long> ends = new HashMap<>();
        for (WorkerId id : links.keySet()) {
            long last = board.lastEnd(id);
            if (last != sentEnds.getOrDefault(id, 0L)) {
                sentEnds.put(id, last);
                ends.put(id, last);
            }
        }
        if (progress.isEmpty() && ends.isEmpty()) {
            return;
        }
        List<StoredRecord> records = new ArrayList<>();
        progress.forEach((id, value) -> records.add(JobRecords.progress(id, value)));
        append(
                records,
                () -> {
                    progress.forEach(this::progressStored);
                    changed();
                    ends.forEach((id, last) -> links.get(id).stored(last));
                });
    }

    private void append(List<StoredRecord> records, Runnable whenStored) {
        ClockReading sent = parts.clock().now();
        log.append(
                records,
                () -> {
                    if (!records.isEmpty()) {
                        parts.tenure().stored(sent);
                    }
                    whenStored.run();
                });
    }

    private void progressStored(JobId id, JobProgress progress) {
        board.progressStored(id);
        EventLog.of(NodeEvent.PROGRESS_STORED)
                .with("job", id)
                .with("state", progress.state())
                .with(
                        "hosts",
                        progress.hosts().anywhere() ? "any" : progress.hosts().workers().size())
                .write();
        if (progress.state().isEnded()) {
            jobs.find(id)
                    .flatMap(JobsView.Entry::job)
                    .ifPresent(job -> ledger.ended(job, progress.state(), wallMillis()));
        }
    }

    /** Drops the records of jobs that have been over for longer than callers may ask. */
    private void clean() {
        long now = parts.clock().steadyMillis();
        List<StoredRecord> drops = new ArrayList<>();
        for (JobsView.Entry entry : jobs.all()) {
            JobId id = entry.job().orElseThrow().id();
            if (!entry.progress().state().isEnded()) {
                continue;
            }
            board.forget(id);
            notes.forget(id);
            ledger.forget(id);
            long since = endedSince.computeIfAbsent(id, any -> now);
            if (now - since > parts.settings().stateKeptMillis()) {
                drops.addAll(JobRecords.drops(id));
                endedSince.remove(id);
            }
        }
        if (!drops.isEmpty()) {
            log.append(drops, () -> {});
        }
        roster.clean(registered());
    }
}
