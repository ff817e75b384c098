import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** The tasks that have ended done on any worker, and the starts that came after such an end. */
final class DoneTasks {

    /** How long after a worker has listed an end it counts as taken note of, in milliseconds. */
    private static final long NOTED_AFTER_MILLIS = 100;

    private final Journal journal;
    private final Set<String> done = new HashSet<>();
    private final Map<String, Long> listedMillis = new HashMap<>();
    private int startsAfterEnd;
    private int startsAfterListedEnd;

    DoneTasks(Journal journal) {
        this.journal = journal;
    }

    synchronized void ended(String task) {
        done.add(task);
    }

    /** Records that a worker has listed the end of a run that ended done. */
    synchronized void listed(String task) {
        listedMillis.putIfAbsent(task, journal.millis());
    }

    synchronized void begun(String task) {
        if (done.contains(task)) {
            startsAfterEnd++;
            Long listed = listedMillis.get(task);
            if (listed != null && journal.millis() > listed + NOTED_AFTER_MILLIS) {
                startsAfterListedEnd++;
                journal.write(
                        "TWICE: %s begins %d ms after its end was listed",
                        task, journal.millis() - listed);
            }
        }
    }

    /** Returns the jobs' tasks that ended done. */
    synchronized Set<String> tasks() {
        return Set.copyOf(done);
    }

    /** Returns how many starts came after a run of the same task had ended done. */
    synchronized int startsAfterEnd() {
        return startsAfterEnd;
    }

    /** Returns how many of these came after that end counted as taken note of. */
    synchronized int startsAfterListedEnd() {
        return startsAfterListedEnd;
    }
}
