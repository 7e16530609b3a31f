/**
 * Child processes of the program with fault injection on every network link between them, for
 * tests.
 *
 * <p>Threads: Links run on event loops of the mesh; a thread per process reads its log. Public
 * methods may be called from any thread.
 *
 * <p>May depend on: {@code standin}, {@code demo} and {@code runtime}; used by tests only.
 */
package pumicekeel.mesh;
