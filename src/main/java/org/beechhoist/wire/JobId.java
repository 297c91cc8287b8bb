package org.beechhoist.wire;

/** A job's id, as its user chose it: {@code job-} and digits. */
public record JobId(String text) implements Comparable<JobId> {
    private static final int MAX_DIGITS = 40;

    /** Whether the text has the form of a job id: {@code job-} and 1 to 40 digits. */
    public static boolean isValid(String text) {
        if (text == null || !text.startsWith("job-") || text.length() < 5 || text.length() > 4 + MAX_DIGITS) {
            return false;
        }
        return text.chars().skip(4).allMatch(c -> c >= '0' && c <= '9');
    }

    @Override
    public int compareTo(JobId other) {
        return text.compareTo(other.text);
    }

    @Override
    public String toString() {
        return text;
    }
}
