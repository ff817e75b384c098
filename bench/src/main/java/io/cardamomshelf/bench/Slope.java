package io.cardamomshelf.bench;

/**
 * A straight line fitted to measured points, with its error.
 *
 * @param base the value at size 0
 * @param perUnit the increase of the value for each unit of size
 * @param errorPercent the largest distance of a point from the line, in percent of the largest
 *     value
 */
record Slope(double base, double perUnit, double errorPercent) {

    /** Fits a line to values at the given sizes by least squares. */
    static Slope of(double[] sizes, double[] values) {
        int count = sizes.length;
        double sumX = 0;
        double sumY = 0;
        double sumXx = 0;
        double sumXy = 0;
        for (int index = 0; index < count; index++) {
            sumX += sizes[index];
            sumY += values[index];
            sumXx += sizes[index] * sizes[index];
            sumXy += sizes[index] * values[index];
        }
        double perUnit = (count * sumXy - sumX * sumY) / (count * sumXx - sumX * sumX);
        double base = (sumY - perUnit * sumX) / count;
        double largestValue = 0;
        double largestDistance = 0;
        for (int index = 0; index < count; index++) {
            largestValue = Math.max(largestValue, Math.abs(values[index]));
            largestDistance =
                    Math.max(
                            largestDistance,
                            Math.abs(base + perUnit * sizes[index] - values[index]));
        }
        return new Slope(
                base, perUnit, 100 * largestDistance / Math.max(largestValue, Double.MIN_NORMAL));
    }

    double valueAt(double size) {
        return base + perUnit * size;
    }
}
