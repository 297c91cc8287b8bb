package org.beechhoist.floor;

/** Jobs of a class or team whose time was up lately, and those of them that were over in time. */
public record Share(int asked, int served) {
    /** From 0 to 1; 1 where nothing was asked. */
    public double value() {
        return asked == 0 ? 1 : (double) served / asked;
    }

    Share plus(Share other) {
        return new Share(asked + other.asked, served + other.served);
    }
}
