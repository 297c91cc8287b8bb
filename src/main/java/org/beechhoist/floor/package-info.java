/**
 * That no class of jobs and no team is served less than half of what it asks for while others are far above theirs: what was
 * asked and served lately ({@link org.beechhoist.floor.Ledger}), and which waiting jobs go first for it ({@link
 * org.beechhoist.floor.Floor}). Pure decisions; the leader's room {@code core.ServedFloor} feeds and asks them.
 */
package org.beechhoist.floor;
