package org.beechhoist.floor;

/**
 * What was asked and served of a group of jobs.
 *
 * @param asked jobs whose time was up lately
 * @param served those of them that were over in time
 */
public record Share(int asked, int served) {
    /** Returns the part that was served, from 0 to 1; 1 if nothing was asked. */
    public double value() {
        return asked == 0 ? 1 : (double) served / asked;
    }

    Share plus(Share other) {
        return new Share(asked + other.asked, served + other.served);
    }
}
