package elmsail.inner.words;

/** One vote of a set: who holds it, and which life of whose disk. */
public final class Seat {
  public String address = "";
  public String station = "";
  public long life;
  /** Goes up by one with each new holder or life; the higher one is right. */
  public int incarnation;
}
