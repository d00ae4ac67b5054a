package elmsail.clerk.requests;

/** A request under way, as its client's connection sees it. */
public interface Taken {
  /** The client has left: what it asked for is cancelled. */
  void left();

  /** The client reads on, or does not for now. */
  void writable(boolean now);

  /** One that needs neither. */
  Taken NONE = new Taken() {
    @Override
    public void left() {
    }

    @Override
    public void writable(boolean now) {
    }
  };
}
