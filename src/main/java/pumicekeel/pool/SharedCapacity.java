package pumicekeel.pool;

/**
 * One kind of room (sockets, open requests, bytes of bodies) divided over owners. Each is guaranteed a part that is
 * there for it at any moment, since nobody else may have it; beyond that it borrows of what no guarantee holds back,
 * up to its own most. Nothing is ever taken back: a guarantee needs no reclaiming. All steps are O(1).
 */
public final class SharedCapacity {

  /** One that has a share. */
  public final class Owner {
    private long guaranteed;
    private long most;
    private long used;

    private Owner() {}

    /** Takes so much, all or nothing. */
    public boolean tryAcquire(long amount) {
      if (amount > most - used || amount > total - reserved + Math.max(0, guaranteed - used)) {
        return false;
      }
      acquire(amount);
      return true;
    }

    /** Takes what is there already, such as a socket that was accepted. */
    public void acquire(long amount) {
      long before = held();
      used += amount;
      reserved += held() - before;
    }

    /** Gives so much back; at most what was taken. */
    public void release(long amount) {
      if (amount > used) {
        throw new IllegalStateException("gave back " + amount + " of " + used);
      }
      long before = held();
      used -= amount;
      reserved += held() - before;
    }

    /** New figures; what is out beyond them stays out until it is given back. */
    public void resize(long newGuaranteed, long newMost) {
      long before = held();
      guaranteed = newGuaranteed;
      most = newMost;
      reserved += held() - before;
    }

    /** Has more than is guaranteed to it. */
    public boolean isBorrowing() {
      return used > guaranteed;
    }

    public long used() {
      return used;
    }

    /** Ends this owner; what it still has out may be given back as ever. */
    public void close() {
      resize(0, 0);
    }

    private long held() {
      return Math.max(used, guaranteed);
    }
  }

  private long total;
  /** The sum, over all owners, of what each has out or is guaranteed, whichever is more. */
  private long reserved;

  public SharedCapacity(long total) {
    this.total = total;
  }

  public Owner add(long guaranteed, long most) {
    Owner owner = new Owner();
    owner.resize(guaranteed, most);
    return owner;
  }

  public long total() {
    return total;
  }
}
