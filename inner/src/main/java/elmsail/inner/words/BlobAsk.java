package elmsail.inner.words;

/** A blob kept beside a key. */
public final class BlobAsk {
  public String set = "";
  public String key = "";
  public String name = "";
  public Seating seating = new Seating();
  /** Also from one that knows to be replaced: its successor in the seat isn't seated. */
  public boolean ofReplaced;
}
