package pumicekeel.pool;

/**
 * The capacity of one kind of resource (sockets, open requests, bytes of bodies) divided between owners. Each owner's
 * guaranteed part is reserved for it alone; beyond that it borrows unreserved capacity up to its own maximum. Reserved
 * capacity is not lent, so borrowed capacity never has to be reclaimed from its user. All operations are O(1).
 */
public final class SharedCapacity {

  /** An owner of a part of the capacity. */
  public final class Owner {
    private long guaranteed;
    private long max;
    private long used;

    private Owner() {}

    /** Acquires an amount completely or not at all. */
    public boolean tryAcquire(long amount) {
      if (amount > max - used || amount > total - reserved + Math.max(0, guaranteed - used)) {
        return false;
      }
      acquire(amount);
      return true;
    }

    /** Acquires without a check what is in use already, such as an accepted socket. */
    public void acquire(long amount) {
      long before = reservedForOwner();
      used += amount;
      reserved += reservedForOwner() - before;
    }

    /** Releases an amount, at most what is in use. */
    public void release(long amount) {
      if (amount > used) {
        throw new IllegalStateException("cannot release " + amount + ", in use: " + used);
      }
      long before = reservedForOwner();
      used -= amount;
      reserved += reservedForOwner() - before;
    }

    /** Changes the limits; what is in use beyond them stays in use until it is released. */
    public void resize(long newGuaranteed, long newMax) {
      long before = reservedForOwner();
      guaranteed = newGuaranteed;
      max = newMax;
      reserved += reservedForOwner() - before;
    }

    /** Returns whether it uses more than its guarantee. */
    public boolean isBorrowing() {
      return used > guaranteed;
    }

    public long used() {
      return used;
    }

    /** Removes the guarantee of this owner; what is still in use can be released later. */
    public void close() {
      resize(0, 0);
    }

    private long reservedForOwner() {
      return Math.max(used, guaranteed);
    }
  }

  private long total;
  /** The sum over all owners of the larger of usage and guarantee. */
  private long reserved;

  public SharedCapacity(long total) {
    this.total = total;
  }

  public Owner add(long guaranteed, long max) {
    Owner owner = new Owner();
    owner.resize(guaranteed, max);
    return owner;
  }

  public long total() {
    return total;
  }
}
