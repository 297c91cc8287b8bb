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
    void launch(Placement placement) {
        Job job = book.job(placement.task.job());
        if (job == null || job.record.live.get(placement.task.index()) != placement) {
            return;
        }
        if (job.cancelled()
                || job.held()
                || !placement.sent && book.host(placement.host).going()) {
            remove(job, placement);
            return;
        }
        LOG.info("{} try {} goes to {}", placement.task, placement.attempt, placement.host);
        book.host(placement.host).outbox.add(Order.launch(placement.task, placement.attempt));
    }

    /** The task is certainly not there. */
    void remove(Job job, Placement placement) {
        job.leaving.remove(placement);
        if (job.record.live.remove(placement.task.index(), placement) && !placement.committed) {
            job.uncommitted--;
        }
        if (job.spec().gang() && !job.record.done.contains(placement.task.index())) {
            job.record.live.values().forEach(stopping::endWithGang);
        }
        book.host(placement.host).placements.remove(placement.task, placement);
        book.touch(job);
        book.replan();
    }

    /** The cloud has confirmed that the machine and all on it are gone. */
    void hostGone(HostId id) {
        Host machine = book.drop(id);
        if (machine != null) {
            clear(machine, "the machine is gone");
        }
    }

    void clear(Host machine, String why) {
        for (Placement placement : new ArrayList<>(machine.placements.values())) {
            Job job = book.job(placement.task.job());
            machine.placements.remove(placement.task);
            if (job != null && job.record.live.get(placement.task.index()) == placement) {
                LOG.info("{} try {} left {}: {}", placement.task, placement.attempt, machine.id, why);
                job.record.live.remove(placement.task.index());
                recovery.lost(job, placement);
                stopping.lostWithMachine(placement);
                job.leaving.remove(placement);
                job.uncommitted -= placement.committed ? 0 : 1;
                if (job.spec().gang()) {
                    job.record.live.values().forEach(stopping::endWithGang);
                }
                book.touch(job);
            }
        }
        book.replan();
    }
}
