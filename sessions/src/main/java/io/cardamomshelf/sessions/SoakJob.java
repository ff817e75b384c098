package io.cardamomshelf.sessions;

import io.cardamomshelf.standin.platform.TaskJobBody;

/**
 * A job that the soak's clients submit.
 *
 * @param id its identifier, 16 hexadecimal digits
 * @param queue {@code low} or {@code urgent}
 * @param count the number of its tasks
 * @param accelerators what each task needs
 * @param cpuMillis what each task needs, in thousandths of a core
 * @param runMillis how long a task runs
 * @param isGang whether its tasks run together only
 * @param isFailing whether its tasks end as failed
 */
record SoakJob(
        String id,
        String queue,
        int count,
        int accelerators,
        int cpuMillis,
        int runMillis,
        boolean isGang,
        boolean isFailing) {

    /** The memory that each task needs. */
    static final int MEMORY_MB = 4_000;

    private static final int ESTIMATE_MARGIN_MILLIS = 400;

    /** Returns the text that workers get with each start. */
    String spec() {
        return "ms="
                + runMillis
                + " job="
                + id
                + (isGang ? " gang" : "")
                + (isFailing ? " fail" : "");
    }

    /** Returns the path of the job at the instances. */
    String path() {
        return "/" + queue + "/" + id;
    }

    /** Returns the body of its submission. */
    String body() {
        return TaskJobBody.of(
                spec(),
                count,
                cpuMillis,
                MEMORY_MB,
                accelerators,
                runMillis + ESTIMATE_MARGIN_MILLIS,
                isGang);
    }
}
