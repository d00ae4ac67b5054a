package elmsail.inner.words;

/** One vote of a set: who holds it, and which life of whose disk. */
public final class Seat {
  public String address = "";
  public String station = "";
  public long life;
  /** Goes up by one with each new holder or life; the higher one is right. */
  public int incarnation;
  /** Who held the seat one incarnation earlier, as the claim's maker knew: life 0 if that isn't known. */
  public String beforeAddress = "";
  public long beforeLife;
  public int beforeIncarnation;
}
