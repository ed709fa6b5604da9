package org.acaciafold.core.model;

/**
 * An amount of processors, memory and accelerators.
 *
 * @param cpuMillis processors in thousandths of a core
 * @param memoryMib memory in MiB
 * @param accelerators whole accelerators
 */
public record Resources(long cpuMillis, long memoryMib, long accelerators) {
    private static final Resources EMPTY = new Resources(0, 0, 0);

    /**
     * Returns the amount of nothing.
     *
     * @return zero of each resource
     */
    public static Resources empty() {
        return EMPTY;
    }

    /**
     * Creates an amount.
     *
     * @param cpuMillis processors in thousandths of a core
     * @param memoryMib memory in MiB
     * @param accelerators whole accelerators
     * @return the amount
     */
    public static Resources of(long cpuMillis, long memoryMib, long accelerators) {
        return new Resources(cpuMillis, memoryMib, accelerators);
    }

    /**
     * Returns the largest fraction that this amount takes of any resource of a total.
     *
     * @param total the total; a resource of which it has none is ignored when this amount has none either
     * @return the dominant share, 0 or more, infinite when this amount needs what the total lacks
     */
    public double dominantShare(Resources total) {
        double cpu = fraction(cpuMillis, total.cpuMillis);
        double memory = fraction(memoryMib, total.memoryMib);
        double accelerator = fraction(accelerators, total.accelerators);
        return Math.max(cpu, Math.max(memory, accelerator));
    }

    /**
     * Tells whether this amount fits into an available one.
     *
     * @param available what is available
     * @return true when no resource of this amount exceeds the available one
     */
    public boolean fitsIn(Resources available) {
        return cpuMillis <= available.cpuMillis
                && memoryMib <= available.memoryMib
                && accelerators <= available.accelerators;
    }

    /**
     * Returns the larger of each resource.
     *
     * @param that the other amount
     * @return the amount that covers both
     */
    public Resources max(Resources that) {
        return new Resources(
                Math.max(cpuMillis, that.cpuMillis),
                Math.max(memoryMib, that.memoryMib),
                Math.max(accelerators, that.accelerators));
    }

    /**
     * Returns the smaller of each resource.
     *
     * @param that the other amount
     * @return the amount that both cover
     */
    public Resources min(Resources that) {
        return new Resources(
                Math.min(cpuMillis, that.cpuMillis),
                Math.min(memoryMib, that.memoryMib),
                Math.min(accelerators, that.accelerators));
    }

    /**
     * Returns the amount without another.
     *
     * @param that the amount to take off
     * @return the difference, which may be negative
     */
    public Resources minus(Resources that) {
        return new Resources(cpuMillis - that.cpuMillis, memoryMib - that.memoryMib, accelerators - that.accelerators);
    }

    /**
     * Returns one of equal parts, rounded down.
     *
     * @param parts into how many parts, above 0
     * @return the part
     */
    public Resources part(long parts) {
        return new Resources(cpuMillis / parts, memoryMib / parts, accelerators / parts);
    }

    /**
     * Returns the sum of this amount and another.
     *
     * @param that the amount to add
     * @return the sum
     */
    public Resources plus(Resources that) {
        return new Resources(cpuMillis + that.cpuMillis, memoryMib + that.memoryMib, accelerators + that.accelerators);
    }

    /**
     * Returns the amount taken several times.
     *
     * @param factor how many times
     * @return the product
     */
    public Resources times(long factor) {
        return new Resources(cpuMillis * factor, memoryMib * factor, accelerators * factor);
    }

    private static double fraction(long part, long whole) {
        if (part <= 0) {
            return 0;
        }
        return whole <= 0 ? Double.POSITIVE_INFINITY : (double) part / whole;
    }
}
