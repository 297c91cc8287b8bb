package org.beechhoist.wire;

/** One task of a job; on the wire {@code job-000412/3}. */
public record TaskId(JobId job, int index) {
    /** The id in {@code text}, or null where it is not one. */
    public static TaskId parse(String text) {
        int slash = text == null ? -1 : text.indexOf('/');
        if (slash < 0 || !JobId.isValid(text.substring(0, slash))) {
            return null;
        }
        String digits = text.substring(slash + 1);
        if (digits.isEmpty() || digits.length() > 6 || !digits.chars().allMatch(c -> c >= '0' && c <= '9')) {
            return null;
        }
        return new TaskId(new JobId(text.substring(0, slash)), Integer.parseInt(digits));
    }

    @Override
    public String toString() {
        return job.text() + "/" + index;
    }
}
