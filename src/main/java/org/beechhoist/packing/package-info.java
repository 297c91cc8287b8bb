/**
 * Fragmentation of GPUs: how many free GPUs a placement makes useless for larger tasks ({@link
 * org.beechhoist.packing.GpuSizeDistribution}), and the cheapest moves after which a large task fits on a machine ({@link
 * org.beechhoist.packing.DefragmentationSearch}). Both work on a snapshot; the package owns no state and depends on
 * {@code wire} only. {@code plan} and {@code controller.MigrationController} use the distribution; {@code
 * controller.MigrationSearch} calls the search, and {@code controller.MigrationController} carries out its result.
 */
package org.beechhoist.packing;
