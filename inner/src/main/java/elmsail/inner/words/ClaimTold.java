package elmsail.inner.words;

/** Whether the claim holds here, and the seating as it now is here. */
public final class ClaimTold {
  public boolean held;
  /** The life that answers. */
  public long life;
  /** Holds no seat, but has the claim on its disk, and will vote under no older seating. */
  public boolean noted;
  /** With {@code noted}: has all its votes in the seat whose present holder names it as the one before. */
  public boolean replaced;
  public Seating seating = new Seating();
}
