/**
 * The model behind the lab: virtual-time scheduler, seeded random streams, upstream servers,
 * traffic and fault descriptions, and the named worlds.
 *
 * <p>Threads: One thread per run.
 *
 * <p>May depend on: {@code pumicekeel} only.
 */
package pumicekeel.lab.world;
