package elmsail.inner.words;

/** A page of all that a set's member keeps, behind a name in order. */
public final class CopyAsk {
  public String set = "";
  public String after = "";
  public int mostBytes;
  public Seating seating = new Seating();
  /** Blobs' names without their bytes. */
  public boolean bare;
  /** Also from one that knows to be replaced: its successor in the seat isn't seated. */
  public boolean ofReplaced;
}
