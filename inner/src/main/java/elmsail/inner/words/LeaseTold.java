package elmsail.inner.words;

/** Whether the lease is granted by this voter; if not, how long it is taken yet, in ms. */
public final class LeaseTold {
  public boolean granted;
  public long leftMs;
}
