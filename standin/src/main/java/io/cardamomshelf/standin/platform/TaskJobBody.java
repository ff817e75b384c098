package io.cardamomshelf.standin.platform;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * The bodies with which clients submit jobs on the platform.
 *
 * <p>Thread-safe.
 */
public final class TaskJobBody {

    private TaskJobBody() {}

    /**
     * Makes the body of a job with one step.
     *
     * @param spec the text that workers get with each start, not null
     * @param count the number of tasks
     * @param cpuMillis what each task needs, in thousandths of a core
     * @param memoryMb the memory that each task needs
     * @param accelerators the accelerators that each task needs
     * @param estimateMillis the estimate of a task's duration, in milliseconds
     * @param isGang whether the tasks run together only
     * @return the body, never null
     */
    public static String of(
            String spec,
            int count,
            int cpuMillis,
            int memoryMb,
            int accelerators,
            long estimateMillis,
            boolean isGang) {
        JsonObject step =
                new JsonObject()
                        .put("count", count)
                        .put("cpu", cpuMillis)
                        .put("mem_mb", memoryMb)
                        .put("gpus", accelerators)
                        .put("est_runtime_ms", estimateMillis);
        if (isGang) {
            step.put("gang", true);
        }
        return new JsonObject().put("spec", spec).put("phases", new JsonArray().add(step)).encode();
    }
}
