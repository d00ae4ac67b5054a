package elmsail.inner.words;

/** The blob, or that there is none here; the latter counts only from a seat under the asker's seating. */
public final class BlobTold {
  public boolean known;
  public byte[] bytes;
  public boolean seated;
  /** Filled where the asker's is another. */
  public Seating seating = new Seating();
}
