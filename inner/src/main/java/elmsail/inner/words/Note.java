package elmsail.inner.words;

/** A call that needs no more words: a kind and its bytes, for what one module alone speaks. */
public final class Note {
  public String kind = "";
  public byte[] bytes = {};
}
