package elmsail.inner.words;

/** One notary to another before there is a set: who asks. */
public final class HelloAsk {
  public String station = "";
  public String address = "";
}
