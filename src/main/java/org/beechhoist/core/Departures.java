package org.beechhoist.core;

import java.util.ArrayList;
import org.beechhoist.store.Placement;
import org.beechhoist.wire.HostId;
import org.beechhoist.wire.Order;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Takes tasks off machines in the book, once it is certain that they are not there or were never sent. */
final class Departures {
    private static final Logger LOG = LoggerFactory.getLogger(Departures.class);
    private final Book book;
    private final Stopping stopping;
    private final Recovery recovery;

    Departures(Book book, Stopping stopping, Recovery recovery) {
        this.recovery = recovery;
        this.book = book;
        this.stopping = stopping;
    }

    /** Sends a committed placement on its way, unless its job was cancelled meanwhile or its machine is about to go. */
    void launch(Placement p) {
        Job j = book.job(p.task.job());
        if (j == null || j.record.live.get(p.task.index()) != p) {
            return;
        }
        if (j.cancelled() || j.held() || !p.sent && book.host(p.host).going()) {
            remove(j, p);
            return;
        }
        LOG.info("{} try {} goes to {}", p.task, p.attempt, p.host);
        book.host(p.host).outbox.add(Order.launch(p.task, p.attempt));
    }

    /** The task is certainly not there. */
    void remove(Job j, Placement p) {
        j.leaving.remove(p);
        if (j.record.live.remove(p.task.index(), p) && !p.committed) {
            j.uncommitted--;
        }
        if (j.spec().gang() && !j.record.done.contains(p.task.index())) {
            j.record.live.values().forEach(stopping::endWithGang);
        }
        book.host(p.host).placements.remove(p.task, p);
        book.touch(j);
        book.replan();
    }

    /** The cloud has confirmed that the machine and all on it are gone. */
    void hostGone(HostId id) {
        Host h = book.drop(id);
        if (h != null) {
            clear(h, "the machine is gone");
        }
    }

    void clear(Host h, String why) {
        for (Placement p : new ArrayList<>(h.placements.values())) {
            Job j = book.job(p.task.job());
            h.placements.remove(p.task);
            if (j != null && j.record.live.get(p.task.index()) == p) {
                LOG.info("{} try {} left {}: {}", p.task, p.attempt, h.id, why);
                j.record.live.remove(p.task.index());
                recovery.lost(j, p);
                stopping.lostWithMachine(p);
                j.leaving.remove(p);
                j.uncommitted -= p.committed ? 0 : 1;
                if (j.spec().gang()) {
                    j.record.live.values().forEach(stopping::endWithGang);
                }
                book.touch(j);
            }
        }
        book.replan();
    }
}
