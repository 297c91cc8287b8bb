package org.beechhoist.floor;

/**
 * The number of jobs of a group that were due recently, and how many of them were served.
 *
 * @param asked jobs that have finished or whose time limit has passed recently
 * @param served those of them that finished in time
 */
public record ServiceShare(int asked, int served) {
    /** Returns the fraction that was served, from 0 to 1; 1 if no job was due. */
    public double fraction() {
        return asked == 0 ? 1 : (double) served / asked;
    }

    ServiceShare plus(ServiceShare other) {
        return new ServiceShare(asked + other.asked, served + other.served);
    }
}
