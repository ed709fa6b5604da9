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
    private static final Resources LARGEST = new Resources(1_000_000_000, 1_000_000_000_000L, 1_000_000);

    /**
     * Returns an amount of zero.
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
     * Returns the dominant share: the largest fraction of a total that this amount uses of any one resource.
     *
     * @param total the total; a resource that is zero both in it and in this amount is ignored
     * @return the dominant share, 0 or more, infinite if this amount needs a resource that the total lacks
     */
    public double dominantShare(Resources total) {
        double cpu = fraction(cpuMillis, total.cpuMillis);
        double memory = fraction(memoryMib, total.memoryMib);
        double accelerator = fraction(accelerators, total.accelerators);
        return Math.max(cpu, Math.max(memory, accelerator));
    }

    /**
     * Returns whether this amount fits into the available one.
     *
     * @param available the available amount
     * @return true if no resource of this amount exceeds the available one
     */
    public boolean fitsIn(Resources available) {
        return cpuMillis <= available.cpuMillis
                && memoryMib <= available.memoryMib
                && accelerators <= available.accelerators;
    }

    /**
     * Returns the largest amount that one worker or one task can have; sums over a million of them do not overflow.
     *
     * @return a million processors, 10^12 MiB of memory and a million accelerators
     */
    public static Resources largest() {
        return LARGEST;
    }

    /**
     * Returns whether this amount is one that a worker or a task can have.
     *
     * @return true if no resource is negative or exceeds that of {@link #largest}
     */
    public boolean inRange() {
        return EMPTY.fitsIn(this) && fitsIn(LARGEST);
    }

    /**
     * Returns the maximum of this amount and another, resource by resource.
     *
     * @param that the other amount
     * @return the smallest amount into which both fit
     */
    public Resources max(Resources that) {
        return new Resources(
                Math.max(cpuMillis, that.cpuMillis),
                Math.max(memoryMib, that.memoryMib),
                Math.max(accelerators, that.accelerators));
    }

    /**
     * Returns the minimum of this amount and another, resource by resource.
     *
     * @param that the other amount
     * @return the largest amount that fits into both
     */
    public Resources min(Resources that) {
        return new Resources(
                Math.min(cpuMillis, that.cpuMillis),
                Math.min(memoryMib, that.memoryMib),
                Math.min(accelerators, that.accelerators));
    }

    /**
     * Returns the difference of this amount and another.
     *
     * @param that the amount to subtract
     * @return the difference, which may be negative
     */
    public Resources minus(Resources that) {
        return new Resources(cpuMillis - that.cpuMillis, memoryMib - that.memoryMib, accelerators - that.accelerators);
    }

    /**
     * Returns this amount divided into equal parts, rounded down.
     *
     * @param parts the number of parts, above 0
     * @return one part
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
     * Returns this amount multiplied by a factor.
     *
     * @param factor the factor
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
