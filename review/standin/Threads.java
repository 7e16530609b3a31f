/** Threads of the stand-ins: daemons with small stacks. */
final class Threads {
  private Threads() {}

  static Thread start(Runnable task) {
    Thread thread = new Thread(null, task, "stand-in", 256 << 10);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }
}
