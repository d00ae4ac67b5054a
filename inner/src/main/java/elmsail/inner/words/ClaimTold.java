package elmsail.inner.words;

/** Whether the claim holds here, and the seating as it now is here. */
public final class ClaimTold {
  public boolean held;
  public Seating seating = new Seating();
}
