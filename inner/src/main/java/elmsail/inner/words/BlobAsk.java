package elmsail.inner.words;

/** A blob kept beside a key. */
public final class BlobAsk {
  public String set = "";
  public String key = "";
  public String name = "";
  public Seating seating = new Seating();
}
