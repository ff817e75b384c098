package io.cardamomshelf.node.schedule;

import io.cardamomshelf.core.schedule.ClockReading;
import io.cardamomshelf.node.port.KeyedStore.Writer;
import io.cardamomshelf.node.port.StoredRecord;
import io.cardamomshelf.node.store.JobRecords;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * One attempt of a process to be elected scheduler.
 *
 * <p>Immutable and thread-safe.
 *
 * @param holder the name of the process's node, not null
 * @param id a random number that distinguishes the candidacies of that node
 * @param writer identifies the append that stores its record, not null
 * @param sentAt when that append was first sent, not null
 * @param predecessorsEnded whether no earlier scheduler grants leases any more
 */
record Candidacy(
        String holder, long id, Writer writer, ClockReading sentAt, boolean predecessorsEnded) {

    /** The bound of the random part of the first sequence number. */
    private static final long FIRST_SEQUENCE_BOUND = 1L << 30;

    /**
     * The distance between first sequence numbers. The store would accept the append of a second
     * candidate for an epoch if its sequence number were the next after one of the first one's. The
     * distance rules that out for the first million appends of a term.
     */
    private static final long FIRST_SEQUENCE_STEP = 1L << 20;

    /**
     * Makes a candidacy for the epoch after the last scheduler's, with a random identifier and
     * first sequence number. A record with the holder's own name is from a process that has ended,
     * as only a process that isn't elected is a candidate.
     */
    static Candidacy after(
            Optional<JobRecords.Leader> last,
            String holder,
            ClockReading now,
            RandomGenerator random) {
        long epoch = last.map(JobRecords.Leader::epoch).orElse(0L) + 1;
        long sequence = random.nextLong(FIRST_SEQUENCE_BOUND) * FIRST_SEQUENCE_STEP;
        boolean predecessorsEnded =
                last.map(
                                leader ->
                                        leader.settled()
                                                && (leader.resigned()
                                                        || leader.holder().equals(holder)))
                        .orElse(true);
        return new Candidacy(
                holder, random.nextLong(), new Writer(epoch, sequence), now, predecessorsEnded);
    }

    long epoch() {
        return writer.epoch();
    }

    /** Makes the leader record of the candidacy, or of the term that it led to. */
    StoredRecord leaderRecord(boolean resigned, boolean settled) {
        return JobRecords.leader(leader(resigned, settled));
    }

    /**
     * Returns whether a leader record is of this candidacy, or of the term that it led to. An
     * answer of the store can't show that, as it may be the answer to another candidate's append.
     */
    boolean hasWritten(JobRecords.Leader leader) {
        return leader.equals(leader(leader.resigned(), leader.settled()));
    }

    private JobRecords.Leader leader(boolean resigned, boolean settled) {
        return new JobRecords.Leader(holder, epoch(), resigned, settled, id);
    }
}
