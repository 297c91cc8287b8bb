/**
 * Fragmentation of GPUs: by how much a placement makes free GPUs useless for larger tasks ({@link org.beechhoist.packing.GpuSizeDistribution}), and
 * the cheapest moves after which a large task fits on a machine ({@link org.beechhoist.packing.DefragmentationSearch}). Both are decisions over a
 * snapshot; the package owns no state and depends on {@code wire} only. {@code plan} and {@code controller.MigrationController} use
 * the first; {@code controller.MigrationSearch} asks for the second, which {@code controller.MigrationController} carries out.
 */
package org.beechhoist.packing;
