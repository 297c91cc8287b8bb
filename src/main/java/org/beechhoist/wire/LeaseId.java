package org.beechhoist.wire;

/**
 * The id of a lease of the state service; 0 stands for "no lease".
 *
 * @param value the bits of an unsigned integer
 */
public record LeaseId(long value) {
    /** No lease. */
    public static final LeaseId NONE = new LeaseId(0);

    /** Returns the number in digits. */
    public String text() {
        return Long.toUnsignedString(value);
    }
}
