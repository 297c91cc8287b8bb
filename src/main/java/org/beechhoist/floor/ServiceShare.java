package org.beechhoist.floor;

/**
 * What was asked and served of a group of jobs.
 *
 * @param asked jobs whose time was up lately
 * @param served those of them that were over in time
 */
public record ServiceShare(int asked, int served) {
    /** Returns the part that was served, from 0 to 1; 1 if nothing was asked. */
    public double fraction() {
        return asked == 0 ? 1 : (double) served / asked;
    }

    ServiceShare plus(ServiceShare other) {
        return new ServiceShare(asked + other.asked, served + other.served);
    }
}
