package elmsail.inner.words;

/** Who answers, and the seats of "head" as it knows them (none before the founding). */
public final class HelloTold {
  public String station = "";
  public String address = "";
  public long life;
  /** Whether this life began at the first start of the whole system, on an empty disk. */
  public boolean firstStart;
  public Seating seating = new Seating();
}
