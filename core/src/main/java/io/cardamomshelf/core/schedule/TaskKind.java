package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.task.Resources;

/**
 * Names the kind of a step's tasks, by which {@link Interference} distinguishes them: their image,
 * or their queue and shape if the image is unknown.
 */
final class TaskKind {

    /** Longer images are shortened, as clients choose them and kinds are kept in memory. */
    private static final int MAX_IMAGE_LENGTH = 64;

    /** How much of a longer image is kept, before a hash of it. */
    private static final int KEPT_IMAGE_LENGTH = 40;

    private TaskKind() {}

    static String of(TaskGroup group) {
        String image = group.spec().image();
        return image.isEmpty()
                ? ofShape(group.owner().job().queue().name(), group.spec().demand())
                : ofImage(image);
    }

    static String ofImage(String image) {
        return image.length() <= MAX_IMAGE_LENGTH
                ? image
                : image.substring(0, KEPT_IMAGE_LENGTH)
                        + '#'
                        + Integer.toHexString(image.hashCode());
    }

    /**
     * Cores and memory are rounded down to a power of two, as jobs of a queue that differ by a few
     * percent are alike, and would be too many kinds.
     */
    private static String ofShape(String queue, Resources demand) {
        return String.format(
                "%s/%dm/%dMB/%d",
                queue,
                Long.highestOneBit(demand.cpuMillis()),
                Long.highestOneBit(demand.memoryMb()),
                demand.accelerators());
    }
}
