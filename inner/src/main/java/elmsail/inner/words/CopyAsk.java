package elmsail.inner.words;

/** A page of all that a set's member keeps, behind a name in order. */
public final class CopyAsk {
  public String set = "";
  public String after = "";
  public int mostBytes;
  public Seating seating = new Seating();
  /** Blobs' names without their bytes. */
  public boolean bare;
}
